use std::time::{Duration, Instant};

/// Limits how often a repeated event writes a log line.
#[derive(Debug)]
pub struct LineLimit {
    interval: Duration,
    last_line: Option<Instant>,
    suppressed: u64,
}

impl LineLimit {
    /// Returns a limit of one line for each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_line: None, suppressed: 0 }
    }

    /// Returns the number of events without a line since the last line if the event at `now` may write
    /// one; counts it as suppressed otherwise.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.last_line.is_some_and(|last| now.saturating_duration_since(last) < self.interval) {
            self.suppressed += 1;
            return None;
        }
        self.last_line = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
