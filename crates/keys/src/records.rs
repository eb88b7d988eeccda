use std::collections::btree_map::{BTreeMap, Range};
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::{AgentEndpoint, KeyRecord, RecordState};

/// Who waits for the copy of a record.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Waiting {
    Grant(u64),
    Complete(u64),
}

/// A record with the state that is local to this agent.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: KeyRecord,
    /// Time at which `record.age` was measured.
    since: Instant,
    /// True when the witness holds `record` as it is.
    pub(crate) acked: bool,
    /// True when the record was made here, and its attempt has never been granted.
    pub(crate) proposed: bool,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) lookups: u32,
    pub(crate) asked: Option<Instant>,
    /// Distinguishes the changes of a record.
    pub(crate) change: u64,
}

impl Entry {
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.record.age + now.saturating_duration_since(self.since)
    }

    pub(crate) fn export(&self, now: Instant) -> KeyRecord {
        KeyRecord { age: self.age(now), ..self.record.clone() }
    }
}

/// The records of one range with their size.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Boxed, because nodes of the map are a third empty.
    entries: BTreeMap<String, Box<Entry>>,
    bytes: usize,
    changes: u64,
}

impl Records {
    pub(crate) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key).map(Box::as_ref)
    }

    pub(crate) fn get_mut(&mut self, key: &str) -> Option<&mut Entry> {
        self.entries.get_mut(key).map(Box::as_mut)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(Box::as_ref)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut().map(Box::as_mut)
    }

    pub(crate) fn after(&self, key: Option<&String>) -> Range<'_, String, Box<Entry>> {
        let start = key.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        self.entries.range((start, Bound::Unbounded))
    }

    /// Stores `record`, or frees its key when it is released.
    pub(crate) fn put(&mut self, record: KeyRecord, now: Instant) {
        self.remove(&record.key);
        if record.state == RecordState::Released {
            return;
        }
        self.bytes += record.size();
        self.changes += 1;
        let entry = Entry {
            since: now,
            acked: false,
            proposed: false,
            waiting: Vec::new(),
            lookups: 0,
            asked: None,
            change: self.changes,
            record,
        };
        self.entries.insert(entry.record.key.clone(), Box::new(entry));
    }

    /// Replaces the state of `key`; its age starts anew.
    pub(crate) fn set_state(&mut self, key: &str, state: RecordState, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.bytes -= entry.record.size();
        self.changes += 1;
        if state.is_finished() {
            // Only an attempt in progress is looked up at its target.
            entry.record.target = AgentEndpoint::unset();
        }
        entry.record.state = state;
        entry.record.age = Duration::ZERO;
        entry.since = now;
        entry.acked = false;
        entry.proposed = false;
        entry.change = self.changes;
        self.bytes += entry.record.size();
    }

    pub(crate) fn remove(&mut self, key: &str) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.record.size();
        Some(*entry)
    }
}
