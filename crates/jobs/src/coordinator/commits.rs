use super::Coordinator;
use crate::{Job, JobState, RowChange, RowKind, encode_progress, progress_key};

/// Maximum number of jobs in one write.
const MAX_JOBS_PER_WRITE: usize = 45;

/// Maximum number of rows in one write. A transaction is limited to 100 entries including the row
/// that fences earlier coordinators.
const MAX_ROWS_PER_WRITE: usize = 95;

/// Size of the rows in bytes at which no further job is added to a write. A transaction is limited
/// to 1 MB in its text encoding, and one job may add a row of 64 KiB for its submission and 240 kB
/// for its state.
const MAX_BYTES_PER_WRITE: usize = 400_000;

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
    /// still open. Each write must be concluded by [`Coordinator::end_commit`].
    pub fn begin_commit(&mut self) -> Option<Vec<RowChange>> {
        if self.open_write.is_some() || self.changed_jobs.is_empty() {
            return None;
        }
        let mut rows = Vec::new();
        let mut written_jobs = Vec::new();
        let mut bytes = 0;
        while written_jobs.len() < MAX_JOBS_PER_WRITE && bytes < MAX_BYTES_PER_WRITE {
            let Some(id) = self.changed_jobs.pop_first() else { break };
            let (job_rows, written) = self.job_rows(&id);
            if !rows.is_empty() && rows.len() + job_rows.len() > MAX_ROWS_PER_WRITE {
                self.changed_jobs.insert(id);
                break;
            }
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.submission_stored = true;
            }
            bytes +=
                job_rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum::<usize>();
            rows.extend(job_rows);
            written_jobs.push(written);
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
        if !entry.submission_stored {
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
    }
}

fn encode_job(job: &Job) -> Option<Vec<u8>> {
    // Encoding cannot fail, because all maps of this type have string keys.
    serde_json::to_vec(job).ok()
}
