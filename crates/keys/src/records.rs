use std::collections::btree_map::{BTreeMap, Range};
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::{AgentEndpoint, KeyRecord, RecordState};

/// Request whose reply waits until the witness has confirmed a record, with its ticket.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Waiter {
    Grant(u64),
    Complete(u64),
}

/// A record with the state that only this agent needs.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRecord {
    pub(crate) record: KeyRecord,
    /// Time at which `record.age` was measured.
    measured_at: Instant,
    /// True when the witness has confirmed the current revision of `record`.
    pub(crate) acked: bool,
    /// True when this agent created the record and has not granted its attempt yet.
    pub(crate) never_granted: bool,
    pub(crate) waiters: Vec<Waiter>,
    /// Lookups sent since the target last reported the attempt as running.
    pub(crate) unanswered_lookups: u32,
    /// Time of the last lookup at the target.
    pub(crate) last_lookup: Option<Instant>,
    /// Number of the last change; shows whether a confirmed copy is still current.
    pub(crate) revision: u64,
}

impl TrackedRecord {
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.record.age + now.saturating_duration_since(self.measured_at)
    }

    /// Returns a copy of the record with its age at `now`.
    pub(crate) fn with_age_at(&self, now: Instant) -> KeyRecord {
        KeyRecord { age: self.age(now), ..self.record.clone() }
    }
}

/// The records of one range and their estimated memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// The values are boxed because a third of the slots in the map's nodes is unused.
    records: BTreeMap<String, Box<TrackedRecord>>,
    bytes: usize,
    last_revision: u64,
}

impl Records {
    pub(crate) fn get(&self, key: &str) -> Option<&TrackedRecord> {
        self.records.get(key).map(Box::as_ref)
    }

    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut TrackedRecord> {
        self.records.get_mut(key).map(Box::as_mut)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &TrackedRecord> {
        self.records.values().map(Box::as_ref)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TrackedRecord> {
        self.records.values_mut().map(Box::as_mut)
    }

    /// Iterates over the records after `key` in key order, or over all without a key.
    pub(crate) fn entries_after(
        &self,
        key: Option<&String>,
    ) -> Range<'_, String, Box<TrackedRecord>> {
        let start = key.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        self.records.range((start, Bound::Unbounded))
    }

    /// Inserts or replaces `record`; removes its key instead when the state is `Released`.
    pub(crate) fn put(&mut self, record: KeyRecord, now: Instant) {
        self.remove(&record.key);
        if record.state == RecordState::Released {
            return;
        }
        self.bytes += record.size();
        self.last_revision += 1;
        let tracked = TrackedRecord {
            measured_at: now,
            acked: false,
            never_granted: false,
            waiters: Vec::new(),
            unanswered_lookups: 0,
            last_lookup: None,
            revision: self.last_revision,
            record,
        };
        self.records.insert(tracked.record.key.clone(), Box::new(tracked));
    }

    /// Replaces the state of `key` and resets its age to zero.
    pub(crate) fn set_state(&mut self, key: &str, state: RecordState, now: Instant) {
        let Some(tracked) = self.records.get_mut(key) else { return };
        self.bytes -= tracked.record.size();
        self.last_revision += 1;
        if state.is_finished() {
            // The target is needed only for lookups, which concern attempts in progress.
            tracked.record.target = AgentEndpoint::unset();
        }
        tracked.record.state = state;
        tracked.record.age = Duration::ZERO;
        tracked.measured_at = now;
        tracked.acked = false;
        tracked.never_granted = false;
        tracked.revision = self.last_revision;
        self.bytes += tracked.record.size();
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<TrackedRecord> {
        let tracked = self.records.remove(key)?;
        self.bytes -= tracked.record.size();
        Some(*tracked)
    }
}
