use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::endpoint::make;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use skylarkpulley_types::{Clock, SystemClock};

use crate::control::handle_control_call;
use crate::{Connections, RunningServer, StandinError};

mod tasks;

pub use tasks::TaskState;
use tasks::{Refusal, Tasks};

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerFault {
    /// Every task that starts fails at once.
    FailTasks,
    /// Requests are accepted and never answered; running tasks continue.
    Silent,
    /// Each checkpoint takes this much longer.
    SlowCheckpoint(Duration),
}

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Number of accelerators that the worker has.
    pub accelerators: u32,
    /// Address to listen on; for port 0 the kernel chooses a free port.
    pub address: SocketAddr,
    /// Time that a checkpoint takes.
    pub checkpoint: Duration,
    /// Age up to which `GET /usage` returns cached figures.
    pub lag: Duration,
    /// Memory that tasks actually use, in percent of the declared memory.
    pub memory_percent: u64,
    /// Actual run time of tasks, in percent of the declared run time.
    pub run_percent: u64,
}

impl WorkerSettings {
    /// Returns settings of a worker whose tasks use exactly what they declare, with checkpoints
    /// of 100 ms and a usage lag of 1 s.
    pub fn new(address: SocketAddr, accelerators: u32) -> Self {
        Self {
            accelerators,
            address,
            checkpoint: Duration::from_millis(100),
            lag: Duration::from_secs(1),
            memory_percent: 100,
            run_percent: 100,
        }
    }

    /// Sets the actual run time and memory of tasks, in percent of the declared values.
    pub fn with_actual(self, run_percent: u64, memory_percent: u64) -> Self {
        Self { memory_percent, run_percent, ..self }
    }

    /// Sets the time that a checkpoint takes.
    pub fn with_checkpoint(self, checkpoint: Duration) -> Self {
        Self { checkpoint, ..self }
    }

    /// Sets the age up to which `GET /usage` returns cached figures.
    pub fn with_lag(self, lag: Duration) -> Self {
        Self { lag, ..self }
    }
}

/// Body of `POST /tasks`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StartCall {
    pub id: String,
    pub epoch: u64,
    pub lease_ms: u64,
    pub accelerators: u32,
    /// Declared run time.
    pub run_ms: u64,
    /// Declared memory in MiB.
    #[serde(default)]
    pub memory: u64,
    /// Progress of the checkpoint to resume from.
    #[serde(default)]
    pub resume_ms: u64,
}

/// Body of `POST /tasks/{id}/{command}`.
#[derive(Clone, Debug, Deserialize)]
struct TaskCall {
    epoch: u64,
    #[serde(default)]
    lease_ms: u64,
    /// New speed in percent of full speed, for `throttle`.
    #[serde(default)]
    percent: u64,
}

/// One task as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Id from the start call.
    pub id: String,
    /// Epoch of the start call.
    pub epoch: u64,
    /// State of the task.
    pub state: TaskState,
    /// Accelerators in use; 0 when the task has ended.
    pub accelerators: u32,
    /// Memory in use in MiB; 0 when the task has ended.
    pub memory: u64,
    /// Work done, in milliseconds of undisturbed run time.
    pub progress_ms: u64,
    /// Work that the last checkpoint saved.
    pub checkpoint_ms: u64,
}

/// Answer of `GET /usage`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Tasks, sorted by id.
    pub tasks: Vec<TaskView>,
}

/// Stand-in of a worker. It starts every task that it is told to start, and counts the starts after
/// which running tasks use more accelerators than the worker has; the agent has to prevent those.
#[derive(Debug)]
pub struct Worker {
    server: RunningServer,
    state: Arc<State>,
}

struct State {
    clock: Arc<dyn Clock>,
    connections: Connections,
    fault: Mutex<Option<WorkerFault>>,
    settings: WorkerSettings,
    tasks: Mutex<Tasks>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Worker {
    /// Starts a worker on the system clock.
    pub async fn start(settings: WorkerSettings) -> Result<Self, StandinError> {
        Self::start_with_clock(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts a worker whose leases and run times follow `clock`.
    pub async fn start_with_clock(
        settings: WorkerSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StandinError> {
        let tasks = Mutex::new(Tasks::new(&settings));
        let address = settings.address;
        let connections = Connections::default();
        let state = Arc::new(State {
            clock,
            connections: connections.clone(),
            fault: Mutex::default(),
            settings,
            tasks,
        });
        let served_state = Arc::clone(&state);
        let endpoint = make(move |request| {
            let state = Arc::clone(&served_state);
            async move { Ok::<_, poem::Error>(state.serve(request).await) }
        });
        let server = RunningServer::start(address, connections, endpoint).await?;
        Ok(Self { server, state })
    }

    /// Returns the server, which gives its address and connection counters and can be stopped.
    pub fn server(&mut self) -> &mut RunningServer {
        &mut self.server
    }

    /// Returns the URL of the worker.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the number of starts after which running tasks used more accelerators than the
    /// worker has.
    pub fn overlaps(&self) -> u64 {
        self.state.with_tasks(|tasks, _| tasks.overlaps())
    }

    /// Returns the highest number of accelerators in use at once.
    pub fn most_accelerators(&self) -> u32 {
        self.state.with_tasks(|tasks, _| tasks.most_accelerators())
    }

    /// Returns the number of tasks that were started.
    pub fn starts(&self) -> u64 {
        self.state.with_tasks(|tasks, _| tasks.starts())
    }

    /// Returns the current state of all tasks, which is not cached.
    pub fn tasks(&self) -> Vec<TaskView> {
        self.state.with_tasks(|tasks, now| tasks.views(now))
    }

    /// Applies `fault` until it is replaced.
    pub fn set_fault(&self, fault: Option<WorkerFault>) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stops the server and waits up to 10 s for open requests to complete. Tasks end when their
    /// leases lapse.
    pub async fn stop(&mut self) {
        self.server.stop().await;
    }
}

impl State {
    fn with_tasks<T>(&self, call: impl FnOnce(&mut Tasks, std::time::Instant) -> T) -> T {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut tasks, self.clock.now())
    }

    async fn serve(&self, request: Request) -> Response {
        let set_fault = |fault| *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        let mut request = match handle_control_call(request, str::parse, set_fault, || {
            self.counts_json()
        })
        .await
        {
            Ok(answer) => return answer,
            Err(request) => request,
        };
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == Some(WorkerFault::Silent) {
            self.connections.wait_closed(request.remote_addr()).await;
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, "silent");
        }
        let Ok(body) = request.take_body().into_bytes().await else {
            return error_response(StatusCode::BAD_REQUEST, "request body is incomplete");
        };
        let path = request.uri().path().trim_matches('/').to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["usage"]) => {
                task_response(Ok(self.with_tasks(|tasks, now| tasks.usage(now, self.settings.lag))))
            }
            (&Method::POST, ["tasks"]) => {
                let Ok(start) = serde_json::from_slice(&body) else {
                    return error_response(StatusCode::BAD_REQUEST, "malformed task");
                };
                let fails = fault == Some(WorkerFault::FailTasks);
                task_response(self.with_tasks(|tasks, now| tasks.start(now, start, fails)))
            }
            (&Method::POST, ["tasks", id, command]) => {
                let Ok(call) = serde_json::from_slice(&body) else {
                    return error_response(
                        StatusCode::BAD_REQUEST,
                        "malformed body of a task command",
                    );
                };
                self.execute(id, command, call, fault).await
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn counts_json(&self) -> serde_json::Value {
        self.with_tasks(|tasks, _| {
            json!({
                "most_accelerators": tasks.most_accelerators(),
                "overlaps": tasks.overlaps(),
                "starts": tasks.starts(),
            })
        })
    }

    async fn execute(
        &self,
        id: &str,
        command: &str,
        call: TaskCall,
        fault: Option<WorkerFault>,
    ) -> Response {
        let TaskCall { epoch, lease_ms, percent } = call;
        let lease = Duration::from_millis(lease_ms);
        match command {
            "renew" => {
                task_response(self.with_tasks(|tasks, now| tasks.renew(now, id, epoch, lease)))
            }
            "throttle" => {
                task_response(self.with_tasks(|tasks, now| tasks.throttle(now, id, epoch, percent)))
            }
            "stop" => task_response(self.with_tasks(|tasks, now| tasks.stop(now, id, epoch))),
            "checkpoint" => {
                // The task continues while its state is written; the checkpoint saves the progress
                // made before the write began.
                let initial = match self.with_tasks(|tasks, now| tasks.view(now, id, epoch)) {
                    Ok(initial) => initial,
                    refused => return task_response(refused),
                };
                let extra = match fault {
                    Some(WorkerFault::SlowCheckpoint(extra)) => extra,
                    _ => Duration::ZERO,
                };
                tokio::time::sleep(self.settings.checkpoint + extra).await;
                let saved_progress_ms = initial.progress_ms;
                task_response(self.with_tasks(|tasks, now| {
                    tasks.finish_checkpoint(now, id, epoch, saved_progress_ms)
                }))
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

fn task_response<T: Serialize>(result: Result<T, Refusal>) -> Response {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, serde_json::to_vec(&body)),
        Err(Refusal::Unknown) => {
            (StatusCode::NOT_FOUND, serde_json::to_vec(&json!({ "error": "no such task" })))
        }
        Err(Refusal::Stale { highest_epoch }) => (
            StatusCode::CONFLICT,
            serde_json::to_vec(&json!({ "error": "epoch", "seen": highest_epoch })),
        ),
    };
    let body = body.unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn error_response(status: StatusCode, error: &str) -> Response {
    let body = serde_json::to_vec(&json!({ "error": error })).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
