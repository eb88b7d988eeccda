use super::Coordinator;
use crate::{Job, JobState, RowChange, RowKind};

/// Most jobs in one write. Each may need two rows, and a transaction holds 100 entries with the row
/// that fences earlier coordinators.
const JOBS_PER_WRITE: usize = 45;

/// Bytes of rows after which a write takes no further job. A transaction holds 1 MB with its text
/// encoding, and one job may add two rows of 64 KiB.
const BYTES_PER_WRITE: usize = 400_000;

/// What a write stores of one job.
#[derive(Clone, Debug)]
pub struct Written {
    id: String,
    state: JobState,
    version: u64,
}

impl Coordinator {
    /// Returns the rows of the next write, or `None` when there is nothing to write or a write is
    /// still open. Every write must end with [`Coordinator::end_commit`].
    pub fn begin_commit(&mut self) -> Option<Vec<RowChange>> {
        if self.in_flight.is_some() || self.changed.is_empty() {
            return None;
        }
        let mut rows = Vec::new();
        let mut versions = Vec::new();
        let mut bytes = 0;
        while versions.len() < JOBS_PER_WRITE && bytes < BYTES_PER_WRITE {
            let Some(id) = self.changed.pop_first() else { break };
            let Some(entry) = self.jobs.get_mut(&id) else {
                rows.push(RowChange { kind: RowKind::Job, key: id.clone(), value: None });
                rows.push(RowChange { kind: RowKind::Progress, key: id.clone(), value: None });
                versions.push(Written { id, state: JobState::Queued, version: 0 });
                continue;
            };
            if !entry.kept {
                let value = encode::<Job>(&entry.job);
                bytes += value.as_ref().map_or(0, Vec::len);
                rows.push(RowChange { kind: RowKind::Job, key: id.clone(), value });
                entry.kept = true;
            }
            let value = encode(&entry.row());
            bytes += value.as_ref().map_or(0, Vec::len);
            rows.push(RowChange { kind: RowKind::Progress, key: id.clone(), value });
            versions.push(Written { id, state: entry.state(), version: entry.version });
        }
        self.in_flight = Some(versions);
        Some(rows)
    }

    /// Takes in that the open write is stored.
    pub fn end_commit(&mut self) {
        for written in self.in_flight.take().unwrap_or_default() {
            let Some(entry) = self.jobs.get_mut(&written.id) else { continue };
            entry.durable = written.version;
            entry.shown = written.state;
            let workers: Vec<String> =
                entry.placements().map(|(_, placement)| placement.worker.clone()).collect();
            self.touched.extend(workers);
        }
        self.acknowledge_ends();
    }

    /// Moves the acknowledged ends of each worker as far as the rows are stored.
    pub(super) fn acknowledge_ends(&mut self) {
        for (id, worker) in &mut self.fleet.workers {
            let Some((through, needed)) = &worker.applied else { continue };
            let stored = needed.iter().all(|(job, version)| {
                self.jobs.get(job).is_none_or(|entry| entry.durable >= *version)
            });
            if stored {
                worker.acked = worker.acked.max(*through);
                worker.applied = None;
                self.touched.insert(id.clone());
            }
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Option<Vec<u8>> {
    // The types have string keys only, so that encoding cannot fail.
    serde_json::to_vec(value).ok()
}
