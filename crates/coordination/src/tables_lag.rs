use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after which tables that are older than those of the leader count as outdated. An edit has to
/// take effect within 2 s of its acceptance, and the leader is asked every second at least.
const OUTDATED_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of newer versions that are kept.
const MAX_NEWER_VERSIONS: usize = 16;

/// Versions of the tables that the leader has reported and this entry does not have yet.
#[derive(Debug, Default)]
pub struct TablesLag {
    /// Versions in ascending order, with the time at which each was first reported.
    newer: Mutex<VecDeque<(u64, Instant)>>,
}

impl TablesLag {
    /// Returns no newer versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the leader has tables of `version` while this entry has those of version `current`.
    pub fn report(&self, version: u64, current: u64, now: Instant) {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        remove_adopted(&mut newer, current);
        if version <= current || newer.back().is_some_and(|(known, _)| *known >= version) {
            return;
        }
        if newer.len() >= MAX_NEWER_VERSIONS {
            // The last version stands for the one before it as well, and counts from that one's time.
            if let Some(last) = newer.back_mut() {
                last.0 = version;
            }
            return;
        }
        newer.push_back((version, now));
    }

    /// Reports whether the tables of version `current` have been older than those of the leader for
    /// [`OUTDATED_AFTER`].
    pub fn is_outdated(&self, current: u64, now: Instant) -> bool {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        remove_adopted(&mut newer, current);
        newer.front().is_some_and(|(_, at)| now.saturating_duration_since(*at) >= OUTDATED_AFTER)
    }
}

fn remove_adopted(newer: &mut VecDeque<(u64, Instant)>, current: u64) {
    while newer.front().is_some_and(|(version, _)| *version <= current) {
        newer.pop_front();
    }
}
