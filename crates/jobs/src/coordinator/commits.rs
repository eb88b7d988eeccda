use std::time::Duration;

use super::{Coordinator, DecisionKind, Timestamp};
use crate::{Job, JobState, RowChange, RowKind, encode_progress, progress_key};

/// Maximum number of jobs in one write.
pub const MAX_JOBS_PER_WRITE: usize = 45;

/// Maximum number of rows in one write. A transaction is limited to 100 entries including the row
/// that fences earlier coordinators.
const MAX_ROWS_PER_WRITE: usize = 95;

/// Size of the rows in bytes at which no further job is added to a write. A transaction is limited
/// to 1 MB in its text encoding, and one job may add a row of 64 KiB for its submission and 240 kB
/// for its state.
const MAX_BYTES_PER_WRITE: usize = 400_000;

/// Delay before a job is written again whose rows the store has rejected.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// State and version of a job that a write stores.
#[derive(Clone, Debug)]
pub struct WrittenJob {
    /// Number of rows of its state beyond the first.
    further: usize,
    id: String,
    state: JobState,
    version: u64,
}

impl Coordinator {
    /// Returns the rows of the next write, or `None` when there is nothing to write or a write is
    /// still open. Each write must be concluded by [`Coordinator::end_commit`] or
    /// [`Coordinator::reject_commit`].
    pub fn begin_commit(&mut self) -> Option<Vec<RowChange>> {
        if self.open_write.is_some() {
            return None;
        }
        let mut rows = Vec::new();
        let mut written_jobs = Vec::new();
        let mut bytes = 0;
        while written_jobs.len() < self.write_limit && bytes < MAX_BYTES_PER_WRITE {
            let is_accepted = |id: &&String| !self.rejected_jobs.contains_key(*id);
            let Some(id) = self.changed_jobs.iter().find(is_accepted).cloned() else { break };
            let (job_rows, written) = self.job_rows(&id);
            if !rows.is_empty() && rows.len() + job_rows.len() > MAX_ROWS_PER_WRITE {
                break;
            }
            self.changed_jobs.remove(&id);
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.submission_written = true;
            }
            bytes +=
                job_rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum::<usize>();
            rows.extend(job_rows);
            written_jobs.push(written);
        }
        if written_jobs.is_empty() {
            return None;
        }
        self.open_write = Some(written_jobs);
        Some(rows)
    }

    /// Returns the changes that store the state of the job `id`, or that delete its rows if it is
    /// no longer kept.
    fn job_rows(&self, id: &str) -> (Vec<RowChange>, WrittenJob) {
        let stored = self.further_rows.get(id).copied().unwrap_or(0);
        let progress_row = |number, value| RowChange {
            kind: RowKind::Progress,
            key: progress_key(id, number),
            value,
        };
        let Some(entry) = self.jobs.get(id) else {
            let mut rows = vec![RowChange { kind: RowKind::Job, key: id.to_owned(), value: None }];
            rows.extend((0..=stored).map(|number| progress_row(number, None)));
            let (id, state) = (id.to_owned(), JobState::Queued);
            return (rows, WrittenJob { further: 0, id, state, version: 0 });
        };
        let mut rows = Vec::new();
        if entry.durable_version == 0 {
            let value = encode_job(&entry.job);
            rows.push(RowChange { kind: RowKind::Job, key: id.to_owned(), value });
        }
        let values = encode_progress(entry.row(), self.limits.row_bytes);
        let further = values.len() - 1;
        rows.extend((0..).zip(values).map(|(number, value)| progress_row(number, Some(value))));
        rows.extend((further + 1..=stored).map(|number| progress_row(number, None)));
        let (id, state, version) = (id.to_owned(), entry.state(), entry.version);
        (rows, WrittenJob { further, id, state, version })
    }

    /// Records that the open write is stored.
    pub fn end_commit(&mut self) {
        self.write_limit = (self.write_limit * 2).min(MAX_JOBS_PER_WRITE);
        for written in self.open_write.take().unwrap_or_default() {
            if written.further > 0 {
                self.further_rows.insert(written.id.clone(), written.further);
            } else {
                self.further_rows.remove(&written.id);
            }
            let Some(entry) = self.jobs.get_mut(&written.id) else { continue };
            entry.durable_version = written.version;
            entry.stored_state = written.state;
            let workers: Vec<String> =
                entry.placements().map(|(_, placement)| placement.worker.clone()).collect();
            self.changed_workers.extend(workers);
        }
        self.acknowledge_ends();
    }

    /// Records that the store never accepts the open write. Its jobs are written again in smaller
    /// writes, until a job is found whose rows are rejected on their own. That job is written again
    /// later, or removed if it was never stored, so that it does not hold up the others. Returns
    /// the id of a removed job.
    pub fn reject_commit(&mut self, now: Timestamp) -> Option<String> {
        let written = self.open_write.take().unwrap_or_default();
        let [rejected] = written.as_slice() else {
            self.write_limit = (written.len() / 2).max(1);
            self.changed_jobs.extend(written.into_iter().map(|job| job.id));
            return None;
        };
        self.write_limit = MAX_JOBS_PER_WRITE;
        let id = rejected.id.clone();
        if self.jobs.get(&id).is_some_and(|entry| entry.durable_version == 0) {
            self.remove_job(&id, "the store rejects its rows");
            return Some(id);
        }
        let detail = format!(
            "version {}; written again in {} ms",
            rejected.version,
            REJECTED_RETRY_DELAY.as_millis()
        );
        self.record_decision(&id, DecisionKind::Unstored, detail);
        self.rejected_jobs.insert(id.clone(), now.monotonic + REJECTED_RETRY_DELAY);
        self.changed_jobs.insert(id);
        None
    }

    /// Allows the jobs to be written again whose rows were rejected some time ago.
    pub(super) fn retry_rejected(&mut self, now: Timestamp) {
        self.rejected_jobs.retain(|_, retry_at| now.monotonic < *retry_at);
    }

    /// Acknowledges the ends of each worker whose rows are stored.
    pub(super) fn acknowledge_ends(&mut self) {
        for (id, worker) in &mut self.fleet.workers {
            let Some((last_end, required_versions)) = &worker.applied else { continue };
            let stored = required_versions.iter().all(|(job, version)| {
                self.jobs.get(job).is_none_or(|entry| entry.durable_version >= *version)
            });
            if stored {
                worker.acked = worker.acked.max(*last_end);
                worker.applied = None;
                self.changed_workers.insert(id.clone());
            }
        }
        let departures = self.departures.iter();
        let stored = departures.filter(|(_, departure)| self.is_stored(departure));
        let stored: Vec<String> = stored.map(|(id, _)| id.clone()).collect();
        self.changed_workers.extend(stored);
    }
}

fn encode_job(job: &Job) -> Option<Vec<u8>> {
    // Encoding cannot fail, because all maps of this type have string keys.
    serde_json::to_vec(job).ok()
}
