use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::boot_time::boot_time;
use crate::convert::millis;

/// Times are stored in milliseconds since the VM started; this value stands for never.
const NEVER: u64 = 0;

/// Results of a leader's calls to the store, for the other tasks of its entry and for other
/// entries.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the latest of the answered calls was sent.
    confirmed_at: AtomicU64,
    /// When the first call that failed after the last answered one was sent; `NEVER` if none has.
    failing_since: AtomicU64,
    /// When the first call that takes longer than usual was sent; `NEVER` if no call does.
    overdue_since: AtomicU64,
    /// When another entry last reported that the store answers it.
    peer_success: AtomicU64,
}

impl StoreHealth {
    /// Returns the health before any call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a call sent at `sent_at` was answered.
    pub fn record_success(&self, sent_at: Duration) {
        self.confirmed_at.fetch_max(millis(sent_at), Ordering::Relaxed);
        self.failing_since.store(NEVER, Ordering::Relaxed);
        self.overdue_since.store(NEVER, Ordering::Relaxed);
    }

    /// Records that a call sent at `sent_at` failed.
    pub fn record_failure(&self, sent_at: Duration) {
        set_if_unset(&self.failing_since, sent_at);
    }

    /// Records that a call sent at `sent_at` takes longer than usual. The store may be slow, or not
    /// answer at all.
    pub fn record_delay(&self, sent_at: Duration) {
        set_if_unset(&self.overdue_since, sent_at);
    }

    /// Records that the store answers another entry.
    pub fn record_peer_success(&self) {
        self.peer_success.store(millis(boot_time()), Ordering::Relaxed);
    }

    /// Returns the time since the latest of the answered calls was sent.
    pub fn confirmation_age(&self) -> Duration {
        elapsed_since(self.confirmed_at.load(Ordering::Relaxed))
    }

    /// Returns for how long all calls have failed; zero when none has failed since the last answer.
    pub fn failing_for(&self) -> Duration {
        elapsed_or_zero(&self.failing_since)
    }

    /// Returns for how long calls have taken longer than usual; zero when none has since the last
    /// answer.
    pub fn overdue_for(&self) -> Duration {
        elapsed_or_zero(&self.overdue_since)
    }

    /// Returns the time since another entry last reported that the store answers it.
    pub fn peer_success_age(&self) -> Duration {
        elapsed_since(self.peer_success.load(Ordering::Relaxed))
    }
}

fn set_if_unset(time: &AtomicU64, sent_at: Duration) {
    let first = millis(sent_at).max(1);
    // The exchange fails when an earlier time is set, which is kept.
    let _ = time.compare_exchange(NEVER, first, Ordering::Relaxed, Ordering::Relaxed);
}

fn elapsed_or_zero(time: &AtomicU64) -> Duration {
    match time.load(Ordering::Relaxed) {
        NEVER => Duration::ZERO,
        first => elapsed_since(first),
    }
}

fn elapsed_since(at: u64) -> Duration {
    Duration::from_millis(millis(boot_time()).saturating_sub(at))
}
