use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Source of monotonic time. Components read the time only through this trait, so that tests can
/// supply their own clock.
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;
}

/// The monotonic clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// Returns the system clock.
    pub fn new() -> Self {
        Self
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that changes only when a test advances it. All clones show the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// Returns a clock that is set to an arbitrary instant.
    pub fn new() -> Self {
        Self { now: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
