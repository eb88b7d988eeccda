use std::time::{SystemTime, UNIX_EPOCH};

use skylarkpulley_jobs::Timestamp;
use skylarkpulley_types::Clock;

use crate::convert::millis;

/// Returns the current time of `clock` and of the wall clock.
pub fn timestamp(clock: &dyn Clock) -> Timestamp {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp { monotonic: clock.now(), wall_ms: millis(wall) }
}
