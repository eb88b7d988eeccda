use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use skylarkpulley_ledger::WorkerEvent;

use crate::key_convert::to_ms;

/// Time for one call; shorter than half a lease, so that a lost renewal can be repeated.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Time for a checkpoint; longer than the grace period of an eviction.
const CHECKPOINT_LIMIT: Duration = Duration::from_secs(10);

/// State of a task as the worker reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum TaskState {
    Failed,
    Finished,
    Lapsed,
    Running,
    Stopped,
}

/// A task as the worker reports it.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskView {
    /// Id of the gang.
    pub id: String,
    /// Epoch of the task.
    pub epoch: u64,
    state: TaskState,
    /// Memory in use in MiB.
    pub memory: u64,
    /// Run time that the last checkpoint preserves, in milliseconds.
    pub checkpoint_ms: u64,
}

#[derive(Deserialize)]
struct Usage {
    tasks: Vec<TaskView>,
}

impl TaskView {
    /// Returns what the state means for the ledger; `None` while the task runs.
    pub fn event(&self) -> Option<WorkerEvent> {
        match self.state {
            TaskState::Failed => Some(WorkerEvent::Failed),
            TaskState::Finished => Some(WorkerEvent::Finished),
            TaskState::Lapsed | TaskState::Stopped => Some(WorkerEvent::Stopped),
            TaskState::Running => None,
        }
    }
}

/// What came of a command to the worker.
#[derive(Clone, Debug)]
pub enum WorkerReply {
    /// The worker did not answer, or answered with an error.
    NoAnswer,
    /// The task as it is after the command.
    Task(TaskView),
    /// The worker knows no such task, or refuses the epoch as too low.
    Unknown,
}

/// Commands of an agent to its worker, over HTTP.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    base: String,
    client: Client,
}

impl WorkerClient {
    /// Returns the client of the worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .http1_only()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .timeout(CALL_LIMIT)
            .build()
            .expect("a client without TLS needs nothing from the system");
        Self { base: format!("http://{address}"), client }
    }

    /// Starts a task that stops unless its lease is extended.
    pub async fn start(
        &self,
        gang: &str,
        epoch: u64,
        lease: Duration,
        accelerators: u32,
        task: &[u8],
    ) -> WorkerReply {
        let mut body: Value = serde_json::from_slice(task).unwrap_or_else(|_| json!({}));
        body["id"] = json!(gang);
        body["epoch"] = json!(epoch);
        body["lease_ms"] = json!(to_ms(lease));
        body["accelerators"] = json!(accelerators);
        self.post("/tasks", &body).await
    }

    /// Extends the lease of a task.
    pub async fn renew(&self, gang: &str, epoch: u64, lease: Duration) -> WorkerReply {
        let body = json!({ "epoch": epoch, "lease_ms": to_ms(lease) });
        self.post(&format!("/tasks/{gang}/renew"), &body).await
    }

    /// Asks for a checkpoint and waits until it is written.
    pub async fn checkpoint(&self, gang: &str, epoch: u64) -> WorkerReply {
        let call = self
            .client
            .post(format!("{}/tasks/{gang}/checkpoint", self.base))
            .timeout(CHECKPOINT_LIMIT)
            .json(&json!({ "epoch": epoch }));
        Self::read(call).await
    }

    /// Sends `throttle` or `stop`.
    pub async fn command(&self, gang: &str, epoch: u64, command: &str) -> WorkerReply {
        let body = json!({ "epoch": epoch, "percent": 50 });
        self.post(&format!("/tasks/{gang}/{command}"), &body).await
    }

    /// Returns all tasks; the figures may be old.
    pub async fn usage(&self) -> Option<Vec<TaskView>> {
        let response = self.client.get(format!("{}/usage", self.base)).send().await.ok()?;
        Some(response.json::<Usage>().await.ok()?.tasks)
    }

    async fn post(&self, path: &str, body: &Value) -> WorkerReply {
        let call = self.client.post(format!("{}{path}", self.base)).json(body);
        Self::read(call).await
    }

    async fn read(call: reqwest::RequestBuilder) -> WorkerReply {
        let Ok(response) = call.send().await else { return WorkerReply::NoAnswer };
        if matches!(response.status(), StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return WorkerReply::Unknown;
        }
        match response.json().await {
            Ok(view) => WorkerReply::Task(view),
            Err(_) => WorkerReply::NoAnswer,
        }
    }
}
