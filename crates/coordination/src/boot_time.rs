use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the VM started, including the time during which it was suspended. The
/// monotonic clock does not advance while a VM is suspended, so a leader that resumes would count
/// an old confirmation of its leadership as recent.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
