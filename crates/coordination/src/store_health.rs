use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::boot_time::boot_time;
use crate::convert::millis;

/// Times are kept in milliseconds since the VM started; 0 stands for never.
const NEVER: u64 = 0;

/// Whether the store answers a leader, as other tasks of its entry and other entries see it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the last answered call was sent.
    confirmed: AtomicU64,
    /// When the first of the calls was sent that have failed since.
    failing: AtomicU64,
    /// When the first of the open calls was sent that take longer than usual.
    late: AtomicU64,
    /// When another entry last said that the store answers it.
    others: AtomicU64,
}

impl StoreHealth {
    /// Returns the health before the first call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a call sent at `sent` was answered.
    pub fn record_success(&self, sent: Duration) {
        self.confirmed.fetch_max(millis(sent), Ordering::Relaxed);
        self.failing.store(NEVER, Ordering::Relaxed);
        self.late.store(NEVER, Ordering::Relaxed);
    }

    /// Notes that a call sent at `sent` failed.
    pub fn record_failure(&self, sent: Duration) {
        set_first(&self.failing, sent);
    }

    /// Notes that a call sent at `sent` takes longer than usual: the store may be slow or silent.
    pub fn record_delay(&self, sent: Duration) {
        set_first(&self.late, sent);
    }

    /// Notes that the store answers another entry.
    pub fn record_peer_success(&self) {
        self.others.store(millis(boot_time()), Ordering::Relaxed);
    }

    /// Returns the time since the last confirmation was sent for.
    pub fn confirmation_age(&self) -> Duration {
        since(self.confirmed.load(Ordering::Relaxed))
    }

    /// Returns for how long all calls have failed; zero when the last one was answered.
    pub fn failing_for(&self) -> Duration {
        first_age(&self.failing)
    }

    /// Returns for how long no call was answered that was due; zero when the last one was answered.
    pub fn overdue_for(&self) -> Duration {
        first_age(&self.late)
    }

    /// Returns the time since another entry said that the store answers it.
    pub fn peer_success_age(&self) -> Duration {
        since(self.others.load(Ordering::Relaxed))
    }
}

fn set_first(time: &AtomicU64, sent: Duration) {
    let first = millis(sent).max(1);
    // An earlier time is kept.
    let _ = time.compare_exchange(NEVER, first, Ordering::Relaxed, Ordering::Relaxed);
}

fn first_age(time: &AtomicU64) -> Duration {
    match time.load(Ordering::Relaxed) {
        NEVER => Duration::ZERO,
        first => since(first),
    }
}

fn since(at: u64) -> Duration {
    Duration::from_millis(millis(boot_time()).saturating_sub(at))
}
