use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_proto::v1;

use crate::job_record::JobRecord;

/// Time for which an ended job is kept, for repeated submissions and `explain`.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// Limit on copies in one exchange; the remaining ones follow in the next exchange.
const COPY_LIMIT: usize = 500;

/// A job and the state that only this entry keeps about it.
#[derive(Clone, Debug)]
pub struct TrackedJob {
    /// The job.
    pub record: JobRecord,
    /// Time at which the record was last received or changed; its ages refer to this time.
    pub received: Instant,
    /// Number of its latest change.
    pub change: u64,
    /// Version of the store row, or 0 while there is none.
    pub version: u64,
    /// Whether the latest record still has to be written to the store.
    pub unsaved: bool,
}

/// Jobs of this entry and of the other entries, with a numbered order of their changes.
#[derive(Debug, Default)]
pub struct JobRegistry {
    changes: u64,
    jobs: BTreeMap<String, TrackedJob>,
    /// Ids of all jobs by the number of their latest change.
    order: BTreeMap<u64, String>,
}

impl JobRegistry {
    /// Returns an empty registry.
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

    /// Adds a record, or replaces one that it supersedes. Returns false if nothing changed.
    pub fn merge(&mut self, record: JobRecord, now: Instant) -> bool {
        let existing = self.jobs.get(&record.id);
        if existing.is_some_and(|job| !record.supersedes(&job.record)) {
            return false;
        }
        let version = existing.map_or(0, |job| job.version);
        let change = self.next_change(&record.id);
        let id = record.id.clone();
        self.jobs.insert(id, TrackedJob { record, received: now, change, version, unsaved: false });
        true
    }

    /// Merges the record in the store row of a job, whose version is `version`.
    pub fn merge_row(&mut self, record: JobRecord, version: u64, now: Instant) -> bool {
        let id = record.id.clone();
        let row = record.clone();
        let changed = self.merge(record, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.version = job.version.max(version);
            // A record that supersedes the store row is written again.
            job.unsaved = job.record.supersedes(&row);
        }
        changed
    }

    fn next_change(&mut self, id: &str) -> u64 {
        if let Some(job) = self.jobs.get(id) {
            self.order.remove(&job.change);
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
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unsaved = true;
        }
    }

    /// Changes a job through `edit` as a new revision, unless it does not exist or has ended.
    pub fn edit(&mut self, id: &str, now: Instant, edit: impl FnOnce(&mut JobRecord)) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.record.is_ended() {
            return;
        }
        let before = job.record.clone();
        edit(&mut job.record);
        if job.record == before {
            return;
        }
        let aged = u64::try_from(now.saturating_duration_since(job.received).as_millis());
        job.record.age_ms += aged.unwrap_or(0);
        job.record.revision += 1;
        job.received = now;
        job.unsaved = true;
        let change = self.next_change(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.change = change;
        }
    }

    /// Returns copies of the records that changed after `change`, at most [`COPY_LIMIT`], and the
    /// number of the last change among them.
    pub fn copies_after(&self, change: u64, now: Instant) -> (Vec<v1::JobCopy>, u64) {
        let changed: Vec<&TrackedJob> = self.changed_after(change).take(COPY_LIMIT).collect();
        let last_change = changed.last().map_or(change, |job| job.change);
        let copy =
            |job: &&TrackedJob| job.record.to_copy(now.saturating_duration_since(job.received));
        (changed.iter().map(copy).collect(), last_change)
    }

    /// Returns up to `limit` jobs that must be written to the store: queued jobs first, then in the
    /// order of their changes.
    pub fn unsaved(&self, limit: usize) -> Vec<TrackedJob> {
        let mut unsaved: Vec<&TrackedJob> = self.jobs.values().filter(|job| job.unsaved).collect();
        unsaved.sort_by_key(|job| (job.record.state != JobState::Queued, job.change));
        unsaved.into_iter().take(limit).cloned().collect()
    }

    /// Records that the store contains `revision` of a job in a row of version `version`.
    pub fn saved(&mut self, id: &str, revision: u64, version: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.unsaved = job.record.revision > revision;
        }
    }

    /// Removes jobs that ended at least [`ENDED_RETENTION`] ago and returns their ids and row
    /// versions.
    pub fn expire(&mut self, now: Instant) -> Vec<(String, u64)> {
        let old = |job: &TrackedJob| {
            job.record.is_ended() && now.saturating_duration_since(job.received) >= ENDED_RETENTION
        };
        let expired: Vec<(String, u64)> = self
            .jobs
            .iter()
            .filter(|(_, job)| old(job))
            .map(|(id, job)| (id.clone(), job.version))
            .collect();
        for (id, _) in &expired {
            if let Some(job) = self.jobs.remove(id) {
                self.order.remove(&job.change);
            }
        }
        expired
    }
}
