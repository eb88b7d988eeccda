use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Source of monotonic time. Every core takes its time from here, so that tests can pass their own.
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

/// A clock that moves only when a test advances it. Clones share one time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// Returns a clock that stands at an arbitrary origin.
    pub fn new() -> Self {
        Self { now: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Moves the clock forward by `step`.
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
