use std::time::Duration;

/// Multiple of the time of a round of planning that must pass before the next one.
const PAUSE_FACTOR: u32 = 2;

/// Longest pause between two rounds of planning.
const MAX_PAUSE: Duration = Duration::from_millis(60);

/// Returns the pause after a round of planning that took `took`.
///
/// Load pattern: with hundreds of workers a report arrives every few milliseconds and makes a
/// further round due. A leader with little processor time that plans after each of them handles
/// neither reports nor calls in time.
pub fn plan_pause(took: Duration) -> Duration {
    (took * PAUSE_FACTOR).min(MAX_PAUSE)
}
