use std::time::{Duration, Instant};

use skylarkpulley_types::{AgentId, Outcome};

use crate::Reason;

/// A caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Id that the entry chose; unique among open requests.
    pub id: u64,
    /// Name of its route.
    pub route: String,
    /// Name of the team that pays for it.
    pub team: String,
    /// Time from submission to the end of the answer. `None` stands for the route's deadline; a
    /// longer one than the route's is cut to it.
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

/// Answer to a submitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request waits; `poll` dispatches it.
    Queued {
        /// Expected wait.
        wait: Duration,
    },
    /// The request is refused and was not run.
    Refused {
        /// Why.
        reason: Reason,
    },
}

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelResult {
    /// The request waited and has ended. It was not run if the outcome is `NotRun`.
    Ended(Outcome),
    /// An attempt is running; its result ends the request.
    Running,
    /// No such request is open.
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
    /// Order of submission; decides the order within a team.
    pub order: u64,
    pub submitted: Instant,
    pub deadline: Instant,
    /// Service that was expected when the request was last queued.
    pub cost: Duration,
    /// Exempt from refusal by estimate, so that a wrong estimate is corrected.
    pub trial: bool,
    /// Attempts that were dispatched and not refused as full or leaving.
    pub attempts: u32,
    /// Number of the latest dispatch.
    pub dispatch: u32,
    /// What the caller is told when no further attempt follows.
    pub fallback: Outcome,
    /// Agent of the last failed attempt.
    pub avoid: Option<String>,
    pub cancelled: bool,
    pub stage: Stage,
}

/// Where a request is. It is in exactly one place at any time.
#[derive(Debug)]
pub(crate) enum Stage {
    /// In the queue of its class; refused at `expiry`.
    Queued { expiry: Instant },
    /// Waits for its next attempt.
    Backoff { until: Instant },
    /// An attempt runs.
    Running { agent: AgentId, started: Instant, probe: bool },
}
