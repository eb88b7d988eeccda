use std::time::{Duration, Instant};

use skylarkpulley_types::{AgentId, Outcome};

use crate::Reason;

/// A caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Id assigned by the entry; unique among open requests.
    pub id: u64,
    /// Name of its route.
    pub route: String,
    /// Name of the team whose share the request uses.
    pub team: String,
    /// Time from submission to the end of the answer. `None` selects the route's deadline, which is
    /// also the upper limit.
    pub deadline: Option<Duration>,
}

impl Request {
    /// Returns a request with the deadline of its route.
    pub fn new(id: u64, route: &str, team: &str) -> Self {
        Self { id, route: route.to_owned(), team: team.to_owned(), deadline: None }
    }

    /// Sets a deadline that is shorter than the route's.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

/// Result of submitting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is queued; `poll` dispatches it.
    Queued {
        /// Expected wait.
        wait: Duration,
    },
    /// The request was refused and not run.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
    },
}

/// Result of cancelling a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelResult {
    /// The request was waiting and has ended. It was not run if the outcome is `NotRun`.
    Ended(Outcome),
    /// An attempt is running; the request ends with its result.
    Running,
    /// No open request has this id.
    Unknown,
}

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub route: String,
    pub pool: String,
    pub team: String,
    pub class: u8,
    pub idempotent: bool,
    /// Sequence number of the submission; requests of one team are served in this order.
    pub submission: u64,
    pub submitted: Instant,
    pub deadline: Instant,
    /// Expected service time when the request was last queued; charged to the team at dispatch.
    pub expected_service: Duration,
    /// The request is not refused because of the estimated service time, so that a wrong estimate
    /// can be corrected.
    pub trial: bool,
    /// Number of dispatched attempts, without those that were refused as `Full` or `Leaving`.
    pub attempts: u32,
    /// Number of the latest dispatch, from 1.
    pub dispatch_number: u32,
    /// Outcome reported to the caller if no further attempt follows.
    pub fallback_outcome: Outcome,
    /// Name of the agent that ran the previous attempt; another one is preferred for the next.
    pub avoid_agent: Option<String>,
    pub cancelled: bool,
    pub stage: Stage,
}

/// Stage of a pending request.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits in the queue of its class; refused at `expiry`.
    Queued { expiry: Instant },
    /// Waits for the end of its back-off.
    Backoff { until: Instant },
    /// An attempt is running.
    Running { agent: AgentId, started: Instant, probe: bool },
}
