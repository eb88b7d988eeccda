use std::time::Duration;

use crate::{Resources, TaskId};

/// What a worker says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Where the worker answers. Two incarnations cannot share it, so a later one there ends the earlier.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the worker is leaving and takes no new work.
    pub draining: bool,
    /// Id of the worker; a later incarnation may have the same.
    pub id: String,
    /// Start of this incarnation, milliseconds since 1970; a higher value is a later incarnation.
    pub incarnation: u64,
    /// Labels, the rack among them.
    pub labels: Vec<String>,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Rack.
    pub rack: String,
    /// Time that a draining worker stays at least.
    pub remaining: Option<Duration>,
    /// Total room.
    pub resources: Resources,
}

/// One run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunReport {
    /// Last checkpoint; empty when there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u8,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The agent has made sure that the run never starts at this incarnation.
    Fenced,
}

/// One ended run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunEnd {
    /// Last checkpoint; empty when there is none.
    pub checkpoint: String,
    /// How it ended.
    pub kind: EndKind,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// Why a worker refused to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// The worker has no room.
    Room,
    /// A run that is not lower ended there.
    Old,
    /// The worker cannot run it at all.
    Invalid,
    /// The worker is not healthy.
    Unhealthy,
    /// The permission of the placement policy is missing or out of date.
    Permit,
    /// The agent has made sure that the run never starts at this incarnation.
    Fenced,
}

/// A run that was refused and never starts under its number at this incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRefusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// Everything that an agent reports about its worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Name of the agent's VM.
    pub agent: String,
    /// Ends that are not acknowledged yet, in order of their numbers.
    pub ended: Vec<RunEnd>,
    /// Number of the last entry of `ended` at this incarnation.
    pub ended_through: u64,
    /// Whether every lease at the worker has certainly lapsed since the agent last reached it.
    pub lapsed: bool,
    /// Whether `running` was read from the worker in this incarnation.
    pub listed: bool,
    /// Starts that were refused.
    pub refused: Vec<RunRefusal>,
    /// Runs that the worker lists.
    pub running: Vec<RunReport>,
    /// Whether the worker has not answered its agent lately.
    pub unreached: bool,
    /// The worker; `None` until it has announced itself.
    pub worker: Option<WorkerStatus>,
}

/// Order to start one run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// Checkpoint to resume from; empty when there is none.
    pub checkpoint: String,
    /// Opaque description of the job.
    pub payload: String,
    /// Permit of the placement policy; empty where there is none.
    pub permit: String,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// A run that shares its worker with others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharingRun {
    /// Response time below which the task must stay; `None` for a task that fills the room that
    /// others leave.
    pub response: Option<Duration>,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// What a worker must do; the list replaces any earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Orders {
    /// Ends up to this number are durable and need not be reported again.
    pub ended_through: u64,
    /// Incarnation that the orders are for.
    pub incarnation: u64,
    /// Runs that go on.
    pub keep: Vec<(TaskId, u32)>,
    /// Runs of `keep` and `start` that serve or fill; empty where none fills.
    pub sharing: Vec<SharingRun>,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop, or to keep from starting.
    pub stop: Vec<(TaskId, u32)>,
    /// Id of the worker that the orders are for.
    pub worker: String,
}
