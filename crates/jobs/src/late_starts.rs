use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::TaskId;

/// A call that was not answered may be carried out up to this much later, also by the next
/// incarnation of the worker and after a later copy was answered. Workers were seen to do so after
/// up to 12 s.
pub const LATE_CALL_LIMIT: Duration = Duration::from_secs(30);

/// Starts that a worker has not answered and may still carry out.
///
/// They are kept over the answer to a later copy and over fences, which bind only the incarnation
/// that answered.
#[derive(Clone, Debug, Default)]
pub struct LateStarts {
    /// When the last call without an answer ended, by task and run.
    unanswered: BTreeMap<(TaskId, u32), Instant>,
}

impl LateStarts {
    /// Returns no starts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a call to start a run ended without an answer.
    pub fn record(&mut self, run: (TaskId, u32), now: Instant) {
        self.unanswered.insert(run, now);
    }

    /// Forgets the starts that can no longer be carried out.
    pub fn expire(&mut self, now: Instant) {
        self.unanswered.retain(|_, at| now < *at + LATE_CALL_LIMIT);
    }

    /// Returns when the last of the calls ended.
    pub fn latest(&self) -> Option<Instant> {
        self.unanswered.values().max().copied()
    }

    /// Returns the runs that may still start.
    pub fn runs(&self) -> impl Iterator<Item = &(TaskId, u32)> {
        self.unanswered.keys()
    }
}
