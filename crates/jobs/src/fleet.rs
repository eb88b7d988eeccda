use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::{Closure, Health, Resources, TaskId, WorkerStatus};

/// A worker that has been closed for this long is not waited for. Covers a restart of its process,
/// of its agent or of the leader; a worker that is gone for good never returns.
const RETURN_TIMEOUT: Duration = Duration::from_secs(6);

/// State of one worker as the coordinator knows it.
#[derive(Clone, Debug)]
pub struct FleetWorker {
    /// Number up to which the ends of its runs are durable.
    pub acked: u64,
    /// Ends that are applied in memory but not acknowledged: the number of the last one, and the
    /// job versions that must be durable first.
    pub applied: Option<(u64, Vec<(String, u64)>)>,
    /// Since when it has been closed for new work; `None` while it is open.
    pub closed_since: Option<Instant>,
    /// Whether it may have ended further runs that it did not list in the last report.
    pub ends_truncated: bool,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Time until which it gets no new work, because it refused a run for want of free resources.
    pub full_until: Option<Instant>,
    /// Whether this coordinator has received a report of the worker.
    pub has_reported: bool,
    /// Whether its agent has an open session.
    pub has_session: bool,
    /// Evidence against the worker.
    pub health: Health,
    /// Until when leases may last that calls for an earlier incarnation have extended.
    pub inherited_until: Option<Instant>,
    /// Whether its agent can reach it.
    pub is_reached: bool,
    /// Runs that lapsed while the worker has not answered its agent since, with the time for which they
    /// were listed. If it restarts next, it crashed under them.
    pub lapsed_runs: Vec<(TaskId, Duration)>,
    /// Tasks whose runs lapsed before they had survived their start, while the worker has not
    /// answered its agent since. If it restarts next, it crashed under them.
    pub lapsed_starts: Vec<TaskId>,
    /// When the last report that renewed its lease arrived.
    pub last_report: Instant,
    /// Resources that the runs occupy.
    pub occupied: Resources,
    /// Runs that occupy resources, with their numbers.
    pub runs: BTreeMap<TaskId, u32>,
    /// Status from the last report.
    pub status: WorkerStatus,
}

impl FleetWorker {
    /// Returns a worker that is known from the stored rows of its runs or from its first report.
    pub fn new(id: &str, incarnation: u64, last_report: Instant) -> Self {
        Self {
            acked: 0,
            applied: None,
            closed_since: None,
            ends_truncated: false,
            evacuated: false,
            full_until: None,
            has_reported: false,
            has_session: false,
            health: Health::new(),
            inherited_until: None,
            is_reached: true,
            lapsed_runs: Vec::new(),
            lapsed_starts: Vec::new(),
            last_report,
            occupied: Resources::default(),
            runs: BTreeMap::new(),
            status: WorkerStatus { id: id.to_owned(), incarnation, ..WorkerStatus::default() },
        }
    }

    /// Returns the free resources.
    pub fn free(&self) -> Resources {
        let mut free = self.status.resources;
        free.subtract(&self.occupied);
        free
    }

    /// Reports whether leases may last that its agent has not granted.
    pub fn inherits_leases(&self, now: Instant) -> bool {
        self.inherited_until.is_some_and(|until| now <= until)
    }

    /// Reports whether new work may be placed on the worker.
    pub fn is_open(&self, now: Instant) -> bool {
        self.closure(now).is_none()
    }

    /// Returns why no new work may be placed on the worker; `None` if it may.
    pub fn closure(&self, now: Instant) -> Option<Closure> {
        if !self.has_reported {
            return Some(Closure::Unreported);
        }
        if !self.has_session {
            return Some(Closure::NoSession);
        }
        if !self.is_reached {
            return Some(Closure::Unreached);
        }
        if self.status.draining {
            return Some(Closure::Draining);
        }
        if self.evacuated {
            return Some(Closure::Evacuated);
        }
        if self.full_until.is_some_and(|until| now < until) {
            return Some(Closure::Full);
        }
        (!self.health.is_usable(now)).then_some(Closure::Quarantined)
    }

    /// Reports whether new work may soon be placed on the worker: it is open, or has been closed
    /// only for a short time, does not leave and is not evacuated.
    pub fn is_expected(&self, now: Instant) -> bool {
        let closed = self.closed_since.map(|since| now.saturating_duration_since(since));
        self.has_reported
            && !self.status.draining
            && !self.evacuated
            && closed.is_none_or(|closed| closed < RETURN_TIMEOUT)
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

    /// Adds a run to a worker and its resources to the occupied ones.
    pub fn occupy(&mut self, id: &str, task: &TaskId, run: u32, resources: &Resources) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(task.clone(), run);
            worker.occupied.add(resources);
        }
    }

    /// Removes a run and its resources from a worker. The run may be of an earlier incarnation, if
    /// stored rows name two incarnations of the worker.
    pub fn release(&mut self, id: &str, task: &TaskId, run: u32, resources: &Resources) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.runs.get(task) == Some(&run) {
            worker.runs.remove(task);
            worker.occupied.subtract(resources);
        }
    }

    /// Returns the racks of a pool with the workers on them.
    pub fn racks(&self, pool: &str) -> BTreeMap<&str, BTreeSet<&str>> {
        let mut racks: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            if worker.has_reported && worker.status.pool == pool {
                racks.entry(worker.status.rack.as_str()).or_default().insert(id);
            }
        }
        racks
    }
}
