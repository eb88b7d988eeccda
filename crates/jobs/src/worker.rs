use std::time::Duration;

use crate::{Resources, TaskId};

/// Description of a worker, as it announces itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Address at which the worker answers. Two incarnations cannot share it, so a later one at the
    /// same address shows that the earlier one has ended.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether the worker is leaving and accepts no new work.
    pub draining: bool,
    /// Id of the worker. A later incarnation may have the same id.
    pub id: String,
    /// Start of this incarnation, milliseconds since 1970; a higher value is a later incarnation.
    pub incarnation: u64,
    /// Labels, the rack among them.
    pub labels: Vec<String>,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Rack.
    pub rack: String,
    /// Minimum time until a draining worker leaves.
    pub remaining: Option<Duration>,
    /// Total resources.
    pub resources: Resources,
}

/// A run that a worker lists.
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
    /// The agent has made sure that the run never starts in this incarnation.
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
    /// The free resources of the worker do not suffice.
    Room,
    /// A run of the task with the same or a higher number has ended there.
    Old,
    /// The worker cannot run it at all.
    Invalid,
    /// The worker is not healthy.
    Unhealthy,
    /// The permit of the placement policy is missing or has expired.
    Permit,
    /// The agent has made sure that the run never starts in this incarnation.
    Fenced,
}

/// A run that was refused and never starts under its number in this incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRefusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// What the leader has learned about the speed of a worker, as its agent keeps it for the next leader.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerPace {
    /// Incarnation of the worker under which it was learned.
    pub incarnation: u64,
    /// Mean of the logarithm of the slowness, in thousandths.
    pub mean: i32,
    /// Variance of the logarithm of the slowness, in thousandths.
    pub variance: u32,
}

/// Everything that an agent reports about its worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Name of the agent's VM.
    pub agent: String,
    /// Runs whose start had no answer, so that the worker may have carried it out.
    pub attempted: Vec<(TaskId, u32)>,
    /// Ends that are not acknowledged yet, in order of their numbers.
    pub ended: Vec<RunEnd>,
    /// Number of the last entry of `ended` in this incarnation.
    pub ended_through: u64,
    /// Whether the worker may have ended further runs that it does not list yet.
    pub ends_truncated: bool,
    /// Time for which leases may last that calls for an earlier incarnation have extended; zero if
    /// there are none.
    pub inherited_lease: Duration,
    /// Whether every lease at the worker is certain to have lapsed since the agent last reached it.
    pub lapsed: bool,
    /// Whether the worker has left for good and runs nothing any more.
    pub left: bool,
    /// Whether `running` was read from this incarnation of the worker.
    pub listed: bool,
    /// What a leader has learned about the speed of the worker; `None` if nothing is known.
    pub pace: Option<WorkerPace>,
    /// Starts that were refused.
    pub refused: Vec<RunRefusal>,
    /// Runs that the worker lists.
    pub running: Vec<RunReport>,
    /// Whether the worker has recently not answered its agent.
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

impl StartOrder {
    /// Returns the task and the number of the run.
    pub fn key(&self) -> (TaskId, u32) {
        (self.task.clone(), self.run)
    }

    /// Returns the size of its texts in bytes.
    pub fn text_bytes(&self) -> usize {
        self.checkpoint.len() + self.payload.len() + self.permit.len() + self.task.job.len()
    }
}

/// A serving or filling run that shares its worker with others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharingRun {
    /// Response time below which the task must stay; `None` for a filling task, which uses the
    /// cores that others leave unused.
    pub response: Option<Duration>,
    /// Number of the run.
    pub run: u32,
    /// The task.
    pub task: TaskId,
}

/// Orders for a worker. They replace all earlier ones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Orders {
    /// Whether it is stored that the worker has left, so that its agent need not report it again.
    pub departure_stored: bool,
    /// Ends up to this number are durable and need not be reported again.
    pub ended_through: u64,
    /// Runs of `keep` whose start may have been ordered before, but is not ordered now.
    pub held: Vec<(TaskId, u32)>,
    /// Incarnation that the orders are for.
    pub incarnation: u64,
    /// Runs that continue.
    pub keep: Vec<(TaskId, u32)>,
    /// What is known about the speed of the worker, for the next leader.
    pub pace: Option<WorkerPace>,
    /// Runs of `keep` and `start` that serve or fill; empty if none fills.
    pub sharing: Vec<SharingRun>,
    /// Runs to start.
    pub start: Vec<StartOrder>,
    /// Runs to stop, or to prevent from starting.
    pub stop: Vec<(TaskId, u32)>,
    /// Id of the worker that the orders are for.
    pub worker: String,
}
