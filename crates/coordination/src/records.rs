use std::sync::Arc;

use skylarkpulley_telemetry::{Decisions, Metrics};

/// Decisions that an entry keeps for `explain`; at about 300 bytes each, 3 MB of the 260 MB of an
/// entry's VM. Ten hours at 1,000 decisions an hour.
const DECISIONS: usize = 10_000;

/// What an entry records about its work.
#[derive(Clone, Debug)]
pub struct Records {
    /// Decisions by id, bounded.
    pub decisions: Arc<Decisions>,
    /// Counters and timers.
    pub metrics: Metrics,
}

impl Records {
    /// Returns empty records.
    pub fn new(metrics: Metrics) -> Self {
        Self { decisions: Arc::new(Decisions::new(DECISIONS)), metrics }
    }
}
