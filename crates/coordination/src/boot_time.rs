use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM started, suspensions included. The monotonic clock stands still
/// while a VM is suspended, and a leader that wakes must not take its leadership for fresh.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
