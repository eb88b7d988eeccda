use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_proto::v1;

use crate::job_record::JobRecord;

/// An ended job stays known for this long, for repeats and `explain`.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// Copies in one exchange; the rest follows in the next.
const COPY_LIMIT: usize = 500;

/// A job with what this entry alone knows of it.
#[derive(Clone, Debug)]
pub struct TrackedJob {
    /// The job.
    pub record: JobRecord,
    /// When the record was last received or changed, which its ages refer to.
    pub received: Instant,
    /// Position in the order of changes.
    pub change: u64,
    /// Version of the store row, 0 when there is none yet.
    pub version: u64,
    /// True when the store does not have the latest record.
    pub unsaved: bool,
}

/// All jobs that this entry knows, its own and those of other entries.
#[derive(Debug, Default)]
pub struct JobRegistry {
    changes: u64,
    jobs: BTreeMap<String, TrackedJob>,
    /// Ids of all jobs by their latest change.
    order: BTreeMap<u64, String>,
}

impl JobRegistry {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the job called `id`.
    pub fn get(&self, id: &str) -> Option<&TrackedJob> {
        self.jobs.get(id)
    }

    /// Returns the number of the latest change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds a record, or replaces one that it supersedes. Returns false when nothing changed.
    pub fn merge(&mut self, record: JobRecord, now: Instant) -> bool {
        let known = self.jobs.get(&record.id);
        if known.is_some_and(|held| !record.supersedes(&held.record)) {
            return false;
        }
        let version = known.map_or(0, |held| held.version);
        let change = self.next_change(&record.id);
        let id = record.id.clone();
        self.jobs.insert(id, TrackedJob { record, received: now, change, version, unsaved: false });
        true
    }

    /// Takes in the row of a job that the store has at `version`.
    pub fn merge_row(&mut self, record: JobRecord, version: u64, now: Instant) -> bool {
        let id = record.id.clone();
        let row = record.clone();
        let changed = self.merge(record, now);
        if let Some(held) = self.jobs.get_mut(&id) {
            held.version = held.version.max(version);
            // What this entry knows better than the store is written again.
            held.unsaved = held.record.supersedes(&row);
        }
        changed
    }

    fn next_change(&mut self, id: &str) -> u64 {
        if let Some(held) = self.jobs.get(id) {
            self.order.remove(&held.change);
        }
        self.changes += 1;
        self.order.insert(self.changes, id.to_owned());
        self.changes
    }

    /// Returns the jobs that changed after `change`, in the order of their changes.
    pub fn changed_after(&self, change: u64) -> impl Iterator<Item = &TrackedJob> {
        self.order.range(change + 1..).filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Adds the record of a job that was submitted here.
    pub fn submit(&mut self, record: JobRecord, now: Instant) {
        let id = record.id.clone();
        self.merge(record, now);
        if let Some(held) = self.jobs.get_mut(&id) {
            held.unsaved = true;
        }
    }

    /// Changes a job through `edit` as a new revision, unless it is unknown or has ended.
    pub fn edit(&mut self, id: &str, now: Instant, edit: impl FnOnce(&mut JobRecord)) {
        let Some(held) = self.jobs.get_mut(id) else { return };
        if held.record.is_ended() {
            return;
        }
        let before = held.record.clone();
        edit(&mut held.record);
        if held.record == before {
            return;
        }
        let aged = u64::try_from(now.saturating_duration_since(held.received).as_millis());
        held.record.age_ms += aged.unwrap_or(0);
        held.record.revision += 1;
        held.received = now;
        held.unsaved = true;
        let change = self.next_change(id);
        if let Some(held) = self.jobs.get_mut(id) {
            held.change = change;
        }
    }

    /// Returns copies of the records that changed after `change`, and the change that they reach.
    pub fn copies_after(&self, change: u64, now: Instant) -> (Vec<v1::JobCopy>, u64) {
        let changed: Vec<&TrackedJob> = self.changed_after(change).take(COPY_LIMIT).collect();
        let reached = changed.last().map_or(change, |held| held.change);
        let copy =
            |held: &&TrackedJob| held.record.to_copy(now.saturating_duration_since(held.received));
        (changed.iter().map(copy).collect(), reached)
    }

    /// Returns up to `limit` jobs that the store does not have, urgent states first.
    pub fn unsaved(&self, limit: usize) -> Vec<TrackedJob> {
        let mut unsaved: Vec<&TrackedJob> =
            self.jobs.values().filter(|held| held.unsaved).collect();
        unsaved.sort_by_key(|held| (held.record.state != JobState::Queued, held.change));
        unsaved.into_iter().take(limit).cloned().collect()
    }

    /// Notes that the store has `revision` of a job at row version `version`.
    pub fn saved(&mut self, id: &str, revision: u64, version: u64) {
        if let Some(held) = self.jobs.get_mut(id) {
            held.version = version;
            held.unsaved = held.record.revision > revision;
        }
    }

    /// Removes jobs that ended long ago and returns their ids and row versions.
    pub fn expire(&mut self, now: Instant) -> Vec<(String, u64)> {
        let old = |held: &TrackedJob| {
            held.record.is_ended()
                && now.saturating_duration_since(held.received) >= ENDED_RETENTION
        };
        let expired: Vec<(String, u64)> = self
            .jobs
            .iter()
            .filter(|(_, held)| old(held))
            .map(|(id, held)| (id.clone(), held.version))
            .collect();
        for (id, _) in &expired {
            if let Some(held) = self.jobs.remove(id) {
                self.order.remove(&held.change);
            }
        }
        expired
    }
}
