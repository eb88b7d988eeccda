//! Tests of the limit for repeated log lines.

use std::time::{Duration, Instant};

use skylarkpulley_telemetry::LineLimit;

/// Guards against a flood of lines for one event, and against suppressed events that no line counts.
#[test]
fn admit_repeated_events() {
    let start = Instant::now();
    let mut limit = LineLimit::new(Duration::from_secs(1));
    let admitted: Vec<Option<u64>> = [0, 400, 900, 1000, 1500, 9000]
        .into_iter()
        .map(|at_ms| limit.admit(start + Duration::from_millis(at_ms)))
        .collect();
    assert_eq!(admitted, [Some(0), None, None, Some(2), None, Some(1)]);
}
