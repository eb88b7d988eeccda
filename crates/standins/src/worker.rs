use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::endpoint::make;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use skylarkpulley_types::{Clock, SystemClock};

use crate::control::control;
use crate::{Connections, RunningServer, StandinError};

mod tasks;

pub use tasks::TaskState;
use tasks::{Refusal, Tasks};

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerFault {
    /// Every task that starts fails at once.
    FailTasks,
    /// Requests are accepted and never answered; tasks that run go on.
    Silent,
    /// A checkpoint takes this much longer.
    SlowCheckpoint(Duration),
}

/// Settings of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Accelerators of the worker.
    pub accelerators: u32,
    /// Address to listen on; port 0 lets the kernel choose one.
    pub address: SocketAddr,
    /// Time of a checkpoint.
    pub checkpoint: Duration,
    /// Age that `GET /usage` may have.
    pub lag: Duration,
    /// Actual memory in percent of the declared one.
    pub memory_percent: u64,
    /// Actual run time in percent of the declared one.
    pub run_percent: u64,
}

impl WorkerSettings {
    /// Returns settings of a worker whose tasks need exactly what they declare, with checkpoints
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

    /// Sets actual run time and memory in percent of the declared ones.
    pub fn with_actual(self, run_percent: u64, memory_percent: u64) -> Self {
        Self { memory_percent, run_percent, ..self }
    }

    /// Sets the time of a checkpoint.
    pub fn with_checkpoint(self, checkpoint: Duration) -> Self {
        Self { checkpoint, ..self }
    }

    /// Sets the lag of `GET /usage`.
    pub fn with_lag(self, lag: Duration) -> Self {
        Self { lag, ..self }
    }
}

/// Body of `POST /tasks`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Start {
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

/// Body of the calls on one task.
#[derive(Clone, Debug, Deserialize)]
struct Change {
    epoch: u64,
    #[serde(default)]
    lease_ms: u64,
    /// Speed from now on in percent, for `throttle`.
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
    /// What became of the task.
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

/// Stand-in of a worker. It starts whatever it is told to start and counts each time the running
/// tasks hold more accelerators than there are; the agent has to prevent that.
#[derive(Debug)]
pub struct Worker {
    running: RunningServer,
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
        let served = Arc::clone(&state);
        let endpoint = make(move |request| {
            let state = Arc::clone(&served);
            async move { Ok::<_, poem::Error>(state.serve(request).await) }
        });
        let running = RunningServer::start(address, connections, endpoint).await?;
        Ok(Self { running, state })
    }

    /// Returns the server: address, connections, stop.
    pub fn server(&mut self) -> &mut RunningServer {
        &mut self.running
    }

    /// Returns the URL of the worker.
    pub fn url(&self) -> String {
        self.running.url()
    }

    /// Returns how often a start made the running tasks hold more accelerators than there are.
    pub fn overlaps(&self) -> u64 {
        self.state.tasks(|tasks, _| tasks.overlaps())
    }

    /// Returns the highest number of accelerators held at once.
    pub fn most_accelerators(&self) -> u32 {
        self.state.tasks(|tasks, _| tasks.most())
    }

    /// Returns the number of tasks that were started.
    pub fn starts(&self) -> u64 {
        self.state.tasks(|tasks, _| tasks.starts())
    }

    /// Returns the true state of all tasks, without lag.
    pub fn tasks(&self) -> Vec<TaskView> {
        self.state.tasks(|tasks, now| tasks.views(now))
    }

    /// Applies `fault` until it is replaced.
    pub fn set_fault(&self, fault: Option<WorkerFault>) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Stops the server after its open requests; tasks end when their leases lapse.
    pub async fn stop(&mut self) {
        self.running.stop().await;
    }
}

impl State {
    fn tasks<T>(&self, call: impl FnOnce(&mut Tasks, std::time::Instant) -> T) -> T {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut tasks, self.clock.now())
    }

    async fn serve(&self, request: Request) -> Response {
        let set = |fault| *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        let mut request = match control(request, str::parse, set, || self.figures()).await {
            Ok(answer) => return answer,
            Err(request) => request,
        };
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == Some(WorkerFault::Silent) {
            self.connections.gone(request.remote_addr()).await;
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "silent");
        }
        let Ok(body) = request.take_body().into_bytes().await else {
            return refuse(StatusCode::BAD_REQUEST, "body was cut off");
        };
        let path = request.uri().path().trim_matches('/').to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["usage"]) => {
                answer(Ok(self.tasks(|tasks, now| tasks.usage(now, self.settings.lag))))
            }
            (&Method::POST, ["tasks"]) => {
                let Ok(start) = serde_json::from_slice(&body) else {
                    return refuse(StatusCode::BAD_REQUEST, "malformed task");
                };
                let fails = fault == Some(WorkerFault::FailTasks);
                answer(self.tasks(|tasks, now| tasks.start(now, start, fails)))
            }
            (&Method::POST, ["tasks", id, verb]) => {
                let Ok(change) = serde_json::from_slice(&body) else {
                    return refuse(StatusCode::BAD_REQUEST, "malformed change");
                };
                self.change(id, verb, change, fault).await
            }
            _ => refuse(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn figures(&self) -> serde_json::Value {
        self.tasks(|tasks, _| {
            json!({
                "most_accelerators": tasks.most(),
                "overlaps": tasks.overlaps(),
                "starts": tasks.starts(),
            })
        })
    }

    async fn change(
        &self,
        id: &str,
        verb: &str,
        change: Change,
        fault: Option<WorkerFault>,
    ) -> Response {
        let Change { epoch, lease_ms, percent } = change;
        let lease = Duration::from_millis(lease_ms);
        match verb {
            "renew" => answer(self.tasks(|tasks, now| tasks.renew(now, id, epoch, lease))),
            "throttle" => answer(self.tasks(|tasks, now| tasks.throttle(now, id, epoch, percent))),
            "stop" => answer(self.tasks(|tasks, now| tasks.stop(now, id, epoch))),
            "checkpoint" => {
                // The task runs on while the state is written, and what is saved is the progress
                // at the beginning.
                let begun = match self.tasks(|tasks, now| tasks.view(now, id, epoch)) {
                    Ok(begun) => begun,
                    refused => return answer(refused),
                };
                let extra = match fault {
                    Some(WorkerFault::SlowCheckpoint(extra)) => extra,
                    _ => Duration::ZERO,
                };
                tokio::time::sleep(self.settings.checkpoint + extra).await;
                let saved = begun.progress_ms;
                answer(self.tasks(|tasks, now| tasks.save(now, id, epoch, saved)))
            }
            _ => refuse(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

fn answer<T: Serialize>(result: Result<T, Refusal>) -> Response {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, serde_json::to_vec(&body)),
        Err(Refusal::Unknown) => {
            (StatusCode::NOT_FOUND, serde_json::to_vec(&json!({ "error": "no such task" })))
        }
        Err(Refusal::Stale { seen }) => {
            (StatusCode::CONFLICT, serde_json::to_vec(&json!({ "error": "epoch", "seen": seen })))
        }
    };
    let body = body.unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}

fn refuse(status: StatusCode, error: &str) -> Response {
    let body = serde_json::to_vec(&json!({ "error": error })).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
