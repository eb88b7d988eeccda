use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::{Health, Resources, TaskId, WorkerStatus};

/// What the coordinator knows of one worker.
#[derive(Clone, Debug)]
pub struct FleetWorker {
    /// Ends up to this number are durable.
    pub acked: u64,
    /// Ends that are applied in memory: their last number and the job versions that must be durable.
    pub applied: Option<(u64, Vec<(String, u64)>)>,
    /// Until when it gets no new work, since it had less room than it seems to have.
    pub full: Option<Instant>,
    /// Evidence against the worker.
    pub health: Health,
    /// Whether the worker has reported in this coordinator's time.
    pub known: bool,
    /// Whether its agent reaches it.
    pub reached: bool,
    /// Runs that occupy room, with their numbers.
    pub runs: BTreeMap<TaskId, u32>,
    /// When the last report that renewed its lease arrived.
    pub seen: Instant,
    /// Whether its agent holds a session.
    pub session: bool,
    /// The last status.
    pub status: WorkerStatus,
    /// Room of the runs.
    pub used: Resources,
}

impl FleetWorker {
    /// Returns a worker known only from the rows of its runs, or from its first report.
    pub fn new(id: &str, incarnation: u64, seen: Instant) -> Self {
        Self {
            acked: 0,
            applied: None,
            full: None,
            health: Health::new(),
            known: false,
            reached: true,
            runs: BTreeMap::new(),
            seen,
            session: false,
            status: WorkerStatus { id: id.to_owned(), incarnation, ..WorkerStatus::default() },
            used: Resources::default(),
        }
    }

    /// Returns the room that no run occupies.
    pub fn free(&self) -> Resources {
        let mut free = self.status.resources;
        free.subtract(&self.used);
        free
    }

    /// Reports whether new work may be placed on the worker.
    pub fn is_open(&self, now: Instant) -> bool {
        self.known
            && self.session
            && self.reached
            && !self.status.draining
            && self.full.is_none_or(|until| now >= until)
            && self.health.is_usable(now)
    }
}

/// All workers by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The workers.
    pub workers: BTreeMap<String, FleetWorker>,
}

impl Fleet {
    /// Returns a fleet without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a run on a worker.
    pub fn occupy(&mut self, id: &str, task: &TaskId, run: u32, resources: &Resources) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(task.clone(), run);
            worker.used.add(resources);
        }
    }

    /// Ends the count of a run.
    pub fn release(&mut self, id: &str, incarnation: u64, task: &TaskId, resources: &Resources) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.status.incarnation == incarnation && worker.runs.remove(task).is_some() {
            worker.used.subtract(resources);
        }
    }

    /// Returns the racks of a pool with the workers on them.
    pub fn racks(&self, pool: &str) -> BTreeMap<&str, BTreeSet<&str>> {
        let mut racks: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            if worker.known && worker.status.pool == pool {
                racks.entry(worker.status.rack.as_str()).or_default().insert(id);
            }
        }
        racks
    }
}
