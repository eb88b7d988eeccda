use std::time::Instant;

/// Largest relative drift of a worker's clock that is allowed for. Twice the stated maximum of 2%,
/// so that rounding cannot matter.
pub const MAX_CLOCK_DRIFT: f64 = 0.04;

/// What a worker's clock showed.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub ms: f64,
    /// When it was received.
    pub received: Instant,
}

impl ClockReading {
    /// Returns the lowest value that the worker's clock may have shown at `at`.
    pub fn earliest_at(&self, at: Instant) -> f64 {
        let after = at.saturating_duration_since(self.received).as_secs_f64() * 1000.0;
        let before = self.received.saturating_duration_since(at).as_secs_f64() * 1000.0;
        self.ms + after * (1.0 - MAX_CLOCK_DRIFT) - before * (1.0 + MAX_CLOCK_DRIFT)
    }
}
