use std::collections::BTreeMap;
use std::time::Duration;

use crate::{RefusalKind, RunEnd, RunReport, StartOrder, TaskId};

/// Time settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentLimits {
    /// Time by which one renewal extends the leases at the worker.
    pub extension: Duration,
    /// Longest lease that a worker accepts.
    pub longest: Duration,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Set the speed of a filling run to this percent of its full speed.
    Pace(TaskId, u32, u8),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or prevent it from starting.
    Stop(TaskId, u32),
}

/// Outcome of a start call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has started.
    Started,
    /// The worker refused the run and will never start it.
    Refused(RefusalKind),
    /// The lease in the order has expired; the worker did not start the run.
    Late,
    /// The worker has received a higher epoch; it did not start the run.
    Outdated,
    /// The worker did not answer and may still carry out the order later.
    Unanswered,
    /// No process listens at the address of the worker; nothing was started.
    Down,
}

/// Answer of a worker to a renewal call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Ends of runs that are not acknowledged, with their numbers.
    pub ended: Vec<(u64, RunEnd)>,
    /// Whether further ends may wait behind those in `ended`, because the worker lists a limited
    /// number at a time. A run that is listed nowhere may then have ended.
    pub ends_truncated: bool,
    /// Incarnation of the worker that answered.
    pub incarnation: u64,
    /// Latest measurement of each run: the tail of the response times in milliseconds for a task
    /// that serves, otherwise the processor time in thousandths of a core.
    pub readings: BTreeMap<(TaskId, u32), u64>,
    /// Runs that have not ended.
    pub running: Vec<RunReport>,
}

/// Parameters of a call that lists the runs. An update also acknowledges ends or extends the leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewalCall {
    /// Ends up to this number are durable; 0 if the call acknowledges none.
    pub acked: u64,
    /// End of the leases on the worker's clock; `None` if they must not be extended.
    pub deadline_ms: Option<u64>,
    /// Epoch of the coordinator.
    pub epoch: u64,
    /// Number of the call for [`crate::AgentCore::handle_listing`].
    pub number: u64,
}

impl RenewalCall {
    /// Reports whether the call changes the worker, so that it must be short: another incarnation must
    /// not receive it.
    pub fn is_update(&self) -> bool {
        self.acked > 0 || self.deadline_ms.is_some()
    }
}
