use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use skylarkpulley_ledger::WorkerEvent;

use crate::key_convert::to_ms;

/// Timeout of one call. It is shorter than half a lease, so that a renewal that was lost can be
/// sent again before the lease expires.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a checkpoint. It is longer than the grace period of an eviction.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_secs(10);

/// State of a task as reported by the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum TaskState {
    Failed,
    Finished,
    Lapsed,
    Running,
    Stopped,
}

/// Status of a task as reported by the worker.
#[derive(Clone, Debug, Deserialize)]
pub struct TaskStatus {
    /// Id of the gang, which is also the id of the task.
    pub id: String,
    /// Epoch of the task.
    pub epoch: u64,
    state: TaskState,
    /// Memory that the task uses, in MiB.
    pub memory: u64,
    /// Run time that is preserved by the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
}

#[derive(Deserialize)]
struct Usage {
    tasks: Vec<TaskStatus>,
}

impl TaskStatus {
    /// Returns the ledger event for a task that has ended, or `None` while the task is running.
    pub fn event(&self) -> Option<WorkerEvent> {
        match self.state {
            TaskState::Failed => Some(WorkerEvent::Failed),
            TaskState::Finished => Some(WorkerEvent::Finished),
            TaskState::Lapsed | TaskState::Stopped => Some(WorkerEvent::Stopped),
            TaskState::Running => None,
        }
    }
}

/// Result of a command to the worker.
#[derive(Clone, Debug)]
pub enum WorkerReply {
    /// The worker did not answer in time or at all, or answered with an error.
    NoAnswer,
    /// Status of the task after the command.
    Task(TaskStatus),
    /// The worker has no such task, or has fenced the epoch of the command.
    Unknown,
}

/// HTTP client for the commands of an agent to its worker.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    base: String,
    client: Client,
}

impl WorkerClient {
    /// Returns a client for the worker at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .http1_only()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .timeout(CALL_TIMEOUT)
            .build()
            .expect("a client without TLS depends on no system resource that can be missing");
        Self { base: format!("http://{address}"), client }
    }

    /// Starts a task. The worker stops it when its lease expires without a renewal.
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

    /// Renews the lease of a task.
    pub async fn renew(&self, gang: &str, epoch: u64, lease: Duration) -> WorkerReply {
        let body = json!({ "epoch": epoch, "lease_ms": to_ms(lease) });
        self.post(&format!("/tasks/{gang}/renew"), &body).await
    }

    /// Requests a checkpoint and waits until it is written.
    pub async fn checkpoint(&self, gang: &str, epoch: u64) -> WorkerReply {
        let builder = self
            .client
            .post(format!("{}/tasks/{gang}/checkpoint", self.base))
            .timeout(CHECKPOINT_TIMEOUT)
            .json(&json!({ "epoch": epoch }));
        Self::send(builder).await
    }

    /// Sends the command `throttle` or `stop`.
    pub async fn command(&self, gang: &str, epoch: u64, command: &str) -> WorkerReply {
        let body = json!({ "epoch": epoch, "percent": 50 });
        self.post(&format!("/tasks/{gang}/{command}"), &body).await
    }

    /// Returns the status of all tasks. The worker may report figures that are out of date.
    pub async fn usage(&self) -> Option<Vec<TaskStatus>> {
        let response = self.client.get(format!("{}/usage", self.base)).send().await.ok()?;
        Some(response.json::<Usage>().await.ok()?.tasks)
    }

    async fn post(&self, path: &str, body: &Value) -> WorkerReply {
        let builder = self.client.post(format!("{}{path}", self.base)).json(body);
        Self::send(builder).await
    }

    async fn send(builder: reqwest::RequestBuilder) -> WorkerReply {
        let Ok(response) = builder.send().await else { return WorkerReply::NoAnswer };
        if matches!(response.status(), StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return WorkerReply::Unknown;
        }
        match response.json().await {
            Ok(status) => WorkerReply::Task(status),
            Err(_) => WorkerReply::NoAnswer,
        }
    }
}
