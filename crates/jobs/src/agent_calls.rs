use std::collections::BTreeMap;
use std::time::Duration;

use crate::{RefusalKind, RunEnd, RunReport, StartOrder, TaskId};

/// Time settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentLimits {
    /// For how long the leases at the worker are extended at once.
    pub extension: Duration,
    /// Longest lease that a worker accepts.
    pub longest: Duration,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Let a filling run work at this percent of its speed.
    Pace(TaskId, u32, u8),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or keep it from starting.
    Stop(TaskId, u32),
}

/// What a start came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// The worker did nothing and will not start this run.
    Refused(RefusalKind),
    /// The lease of the order has passed; the worker did nothing.
    Late,
    /// The worker has seen a higher epoch; it did nothing.
    Outdated,
    /// No answer; the order may be carried out later.
    Unanswered,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Ends that are not acknowledged, with their numbers.
    pub ended: Vec<(u64, RunEnd)>,
    /// Incarnation that answered.
    pub incarnation: u64,
    /// What the worker measured of each run lately: the tail of the response times in milliseconds
    /// where the task serves, otherwise processor time in thousandths of a core.
    pub readings: BTreeMap<(TaskId, u32), u64>,
    /// Runs.
    pub running: Vec<RunReport>,
}

/// Parameters of the next call that extends the leases and lists the runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalCall {
    /// Ends up to this number are durable.
    pub acked: u64,
    /// End of the leases on the worker's clock, if they may be extended.
    pub deadline_ms: Option<u64>,
    /// Epoch of the coordinator.
    pub epoch: u64,
    /// Names the call in [`crate::AgentCore::handle_listing`].
    pub number: u64,
}
