use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use skylarkpulley_types::Clock;

/// Returns the time since the VM started, including the time during which it was suspended. The
/// monotonic clock does not advance while a VM is suspended, so a leader that resumes would count
/// an old confirmation of its leadership as recent.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// A clock that advances while the VM is suspended. By the monotonic clock alone, an agent would
/// extend leases by the time of a suspension, which the coordinator, on another VM, counts.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    booted: Duration,
    started: Instant,
}

impl BootClock {
    /// Returns a clock that shows the present time.
    pub fn new() -> Self {
        Self { booted: boot_time(), started: Instant::now() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.started + boot_time().saturating_sub(self.booted)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}
