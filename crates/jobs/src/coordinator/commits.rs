use super::Coordinator;
use crate::{Job, JobState, RowChange, RowKind};

/// Maximum number of jobs in one write. Each may need two rows, and a transaction is limited to 100
/// entries including the row that fences earlier coordinators.
const MAX_JOBS_PER_WRITE: usize = 45;

/// Size of the rows in bytes at which no further job is added to a write. A transaction is limited
/// to 1 MB in its text encoding, and one job may add two rows of 64 KiB.
const MAX_BYTES_PER_WRITE: usize = 400_000;

/// State and version of a job that a write stores.
#[derive(Clone, Debug)]
pub struct WrittenJob {
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
            let Some(entry) = self.jobs.get_mut(&id) else {
                rows.push(RowChange { kind: RowKind::Job, key: id.clone(), value: None });
                rows.push(RowChange { kind: RowKind::Progress, key: id.clone(), value: None });
                written_jobs.push(WrittenJob { id, state: JobState::Queued, version: 0 });
                continue;
            };
            if !entry.submission_stored {
                let value = encode::<Job>(&entry.job);
                bytes += value.as_ref().map_or(0, Vec::len);
                rows.push(RowChange { kind: RowKind::Job, key: id.clone(), value });
                entry.submission_stored = true;
            }
            let value = encode(&entry.row());
            bytes += value.as_ref().map_or(0, Vec::len);
            rows.push(RowChange { kind: RowKind::Progress, key: id.clone(), value });
            written_jobs.push(WrittenJob { id, state: entry.state(), version: entry.version });
        }
        self.open_write = Some(written_jobs);
        Some(rows)
    }

    /// Records that the open write is stored.
    pub fn end_commit(&mut self) {
        for written in self.open_write.take().unwrap_or_default() {
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

fn encode<T: serde::Serialize>(value: &T) -> Option<Vec<u8>> {
    // Encoding cannot fail, because all maps of these types have string keys.
    serde_json::to_vec(value).ok()
}
