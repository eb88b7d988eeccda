use std::time::Instant;

use crate::RefusalKind;

/// State of the start and stop calls for one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCalls {
    /// Number of the last renewal call when a stop was answered. Only the listing of a later call
    /// shows for certain whether the run has ended or never started.
    pub fenced_at: Option<u64>,
    /// Refusal to report once the run is fenced.
    pub refusal: Option<RefusalKind>,
    /// Whether the run was reported as lapsed. It must be fenced before any lease is extended.
    pub reported_lapsed: bool,
    /// When the next start may be sent.
    pub start_after: Option<Instant>,
    /// Whether the worker may still carry out a start whose call has ended.
    pub start_uncertain: bool,
    /// Whether a start is open.
    pub starting: bool,
    /// When the next stop may be sent.
    pub stop_after: Option<Instant>,
    /// Whether a stop is open.
    pub stopping: bool,
}

impl RunCalls {
    /// Reports whether the worker may still carry out a start.
    pub fn may_start(&self) -> bool {
        self.starting || self.start_uncertain
    }
}
