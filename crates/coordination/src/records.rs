use std::sync::Arc;

use skylarkpulley_telemetry::{Decisions, Metrics};

/// Number of decisions that an entry keeps for `explain`. At about 300 bytes each, they take 3 MB
/// of the 260 MB of an entry's VM, and cover ten hours at 1,000 decisions an hour.
const MAX_DECISIONS: usize = 10_000;

/// Decisions and metrics that an entry records.
#[derive(Clone, Debug)]
pub struct Records {
    /// The latest decisions by id, limited in number.
    pub decisions: Arc<Decisions>,
    /// Counters and timers.
    pub metrics: Metrics,
}

impl Records {
    /// Returns empty records.
    pub fn new(metrics: Metrics) -> Self {
        Self { decisions: Arc::new(Decisions::new(MAX_DECISIONS)), metrics }
    }
}
