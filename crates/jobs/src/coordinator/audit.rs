use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::entry::{JobEntry, Placement};
use super::pool_view::{PoolView, select_candidates, subtract_demand, to_view_indexes};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Demand, FleetWorker, Resources, StepId, TaskId, TaskKey, Violation, choose_workers};

/// Observed time within which a run is listed, ended or fenced. Covers the time-out of a start
/// (5 s), and a stop, its repetition and a listing, several of which may go unanswered.
const MAX_OBSERVED: Duration = Duration::from_secs(20);

/// Time beyond the lapse limits within which an unobserved run is settled: a report and a tick.
const LAPSE_MARGIN: Duration = Duration::from_secs(3);

/// Time for which tasks may wait with free resources for twice as many: the waits for a near worker
/// (6 s), for another worker than one where it failed (5 s), for isolation (3 s) and for headroom
/// (2 s), and rounds of planning that are late.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(20);

/// What the audits so far have seen of runs and waiting tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct AuditLog {
    last_audit: Option<Instant>,
    runs: BTreeMap<(TaskId, u32), RunLog>,
    /// For how long each waiting unit has had free resources twice over, by its tasks.
    units: BTreeMap<(String, Vec<TaskKey>), Duration>,
}

/// Time for which a run has not been settled.
#[derive(Clone, Copy, Debug, Default)]
struct RunLog {
    observed: Duration,
    stopping: bool,
    total: Duration,
    /// Time since it was observed last.
    unobserved: Duration,
}

impl Coordinator {
    /// Checks the state against the rules that keep every accepted job going. To be called after
    /// each tick: times are counted from one audit to the next, so that an audit that comes late
    /// finds less, and nothing more.
    pub fn audit(&mut self, now: Timestamp) -> Vec<Violation> {
        let mut log = std::mem::take(&mut self.audit_log);
        let last_audit = log.last_audit.replace(now.monotonic);
        let passed = now.monotonic.saturating_duration_since(last_audit.unwrap_or(now.monotonic));
        let mut violations = self.audit_books();
        violations.extend(self.audit_jobs());
        violations.extend(self.audit_runs(now, passed, &mut log));
        violations.extend(self.audit_units(now, passed, &mut log));
        self.audit_log = log;
        violations
    }

    /// Each worker's book holds exactly the runs that are placed on it, and their resources.
    fn audit_books(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut placed: BTreeMap<&str, Resources> = BTreeMap::new();
        for entry in self.jobs.values() {
            for (task, placement) in entry.placements() {
                let sum = placed.entry(&placement.worker).or_default();
                sum.add(&entry.resources(task.key.step));
                let worker = self.fleet.workers.get(&placement.worker);
                if !worker.is_some_and(|worker| is_booked(worker, &task, placement)) {
                    violations.push(Violation::UnbookedRun {
                        current: worker.map(|worker| worker.status.incarnation),
                        incarnation: placement.incarnation,
                        run: placement.run,
                        task,
                        worker: placement.worker.clone(),
                    });
                }
            }
        }
        for (id, worker) in &self.fleet.workers {
            for (task, run) in &worker.runs {
                let placement = self.placement(task);
                if placement
                    .is_none_or(|placement| placement.worker != *id || placement.run != *run)
                {
                    let (run, task, worker) = (*run, task.clone(), id.clone());
                    violations.push(Violation::StrayRun { run, task, worker });
                }
            }
            let placed = placed.get(id.as_str()).copied().unwrap_or_default();
            if placed != worker.occupied {
                let booked = worker.occupied;
                violations.push(Violation::Occupied { booked, placed, worker: id.clone() });
            }
        }
        violations
    }

    /// Each task that is not done has a run or waits, gangs are placed whole, and jobs end.
    fn audit_jobs(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, entry) in &self.jobs {
            if entry.is_final() {
                if !entry.is_ended() && entry.placements().next().is_none() {
                    violations.push(Violation::UnendedJob { job: id.clone() });
                }
                continue;
            }
            let unplanned = entry.tasks.iter().find(|(_, task)| {
                !task.done && task.placement.is_none() && !self.waiting_jobs.contains(id)
            });
            if let Some((key, _)) = unplanned {
                violations.push(Violation::UnplannedTask { task: TaskId::new(id, *key) });
            }
            violations.extend(audit_gangs(id, entry));
        }
        violations
    }

    /// Each run is listed, ended or fenced within a bound.
    fn audit_runs(&self, now: Timestamp, passed: Duration, log: &mut AuditLog) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut runs = BTreeMap::new();
        for entry in self.jobs.values() {
            for (task, placement) in entry.placements() {
                let stored = entry.durable_version >= placement.version;
                if (placement.listed && !placement.stopping) || !stored {
                    continue;
                }
                let worker = self.fleet.workers.get(&placement.worker);
                let key = (task, placement.run);
                let mut run = log.runs.get(&key).copied().unwrap_or_default();
                if run.stopping != placement.stopping {
                    run = RunLog { stopping: placement.stopping, ..RunLog::default() };
                }
                run.total += passed;
                run.unobserved += passed;
                if worker.is_some_and(is_observed) {
                    run.observed += passed;
                    run.unobserved = Duration::ZERO;
                }
                // An agent is silent until its runs lapse, or reports an unreached worker until
                // they do, or both in turn.
                let max_unobserved = self.limits.lapse * 2 + LAPSE_MARGIN;
                let lapses = !self.has_predecessor(now) && run.unobserved > max_unobserved;
                // Leases that the agent has not granted end first.
                if self.has_predecessor(now)
                    || worker.is_some_and(|worker| worker.inherits_leases(now.monotonic))
                {
                    run.unobserved = Duration::ZERO;
                }
                if run.observed > MAX_OBSERVED || lapses {
                    violations.push(Violation::UnsettledRun {
                        lost: placement.lost,
                        observed: run.observed,
                        run: key.1,
                        stopping: placement.stopping,
                        task: key.0.clone(),
                        total: run.total,
                        worker: placement.worker.clone(),
                    });
                }
                runs.insert(key, run);
            }
        }
        log.runs = runs;
        violations
    }

    /// No unit waits for longer than a bound while it fits twice on open workers, beside all units
    /// of a higher rank.
    fn audit_units(
        &mut self,
        now: Timestamp,
        passed: Duration,
        log: &mut AuditLog,
    ) -> Vec<Violation> {
        let guaranteed = self.guaranteed();
        let units = self.waiting_units(now, &guaranteed);
        let mut violations = Vec::new();
        let mut views: BTreeMap<String, PoolView> = BTreeMap::new();
        let mut waits = BTreeMap::new();
        for unit in units {
            let Some(entry) = self.jobs.get(&unit.job) else { continue };
            let pool = entry.job.pool.clone();
            let view = views.entry(pool).or_insert_with_key(|pool| self.pool_view(pool, now));
            let (Some(first), true) =
                (unit.keys.first().copied(), self.may_start_twice(now, &unit, view))
            else {
                continue;
            };
            let tasks = unit.keys.len();
            let task = TaskId::new(&unit.job, first);
            let key = (unit.job, unit.keys);
            let waited = log.units.get(&key).copied().unwrap_or_default() + passed;
            if waited > MAX_IDLE_WAIT {
                violations.push(Violation::WaitingUnit { task, tasks, waited });
            }
            waits.insert(key, waited);
        }
        log.units = waits;
        violations
    }

    /// Reports whether a unit fits twice, and removes its resources from the view.
    fn may_start_twice(&self, now: Timestamp, unit: &Unit, view: &mut PoolView) -> bool {
        let Some((demand, allowed)) = self.demand(now, unit, &unit.keys, view) else {
            return false;
        };
        let allowed = self.without_delays(now, unit, &demand, view, allowed);
        let candidates =
            self.count_same_step(unit, &demand, select_candidates(view, &allowed, false));
        let double = Demand { count: demand.count * 2, ..demand.clone() };
        let fits = choose_workers(&double, &candidates).is_some();
        match choose_workers(&demand, &candidates) {
            Some(chosen) => subtract_demand(view, &demand, &to_view_indexes(&allowed, &chosen)),
            None => reserve_any(view, &demand),
        }
        fits
    }

    /// Excludes the workers on which the unit may have to wait for a cause without a common bound:
    /// those without a permit, those of suspect tasks, and the emptiest ones while larger tasks have
    /// precedence there.
    fn without_delays(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        mut allowed: Vec<usize>,
    ) -> Vec<usize> {
        let (Some(entry), Some(first)) = (self.jobs.get(&unit.job), unit.keys.first()) else {
            return allowed;
        };
        let closed = self.workers_on_probation(&unit.job);
        let step = StepId::new(&unit.job, first);
        allowed.retain(|index| {
            let id = &*view.candidates[*index].id;
            let incarnation =
                self.fleet.workers.get(id).map_or(0, |worker| worker.status.incarnation);
            let permit = self.advice.permit(&step, id, incarnation, now.monotonic);
            (!entry.job.advised || permit.is_some()) && !closed.contains(id)
        });
        self.with_headroom(now, unit, demand, view, allowed)
    }
}

/// Reports whether the worker has the run of `placement`. Rows may name an earlier incarnation until
/// the agent has reported.
fn is_booked(worker: &FleetWorker, task: &TaskId, placement: &Placement) -> bool {
    let current = worker.status.incarnation == placement.incarnation
        || (!worker.has_reported && worker.status.incarnation > placement.incarnation);
    current && worker.runs.get(task) == Some(&placement.run)
}

/// Reports whether the agent of a worker can settle its runs. While ends are left out of its
/// listings, a run that is listed nowhere may have ended.
fn is_observed(worker: &FleetWorker) -> bool {
    worker.has_reported && worker.has_session && worker.is_reached && !worker.ends_truncated
}

/// Finds gangs of which some members run on without the others.
fn audit_gangs(id: &str, entry: &JobEntry) -> Vec<Violation> {
    let first_members = entry.tasks.keys().filter(|key| key.index == 0 && entry.is_gang(key.step));
    let mut violations = Vec::new();
    for key in first_members {
        let members = entry.members(key);
        let undone =
            members.iter().filter(|member| entry.tasks.get(member).is_some_and(|task| !task.done));
        if undone.count() == 0 {
            continue;
        }
        let placements = || members.iter().filter_map(|member| entry.placement(member));
        let placed = placements().filter(|placement| !placement.stopping).count();
        if placed > 0 && placements().count() < members.len() {
            let (members, task) = (members.len(), TaskId::new(id, *key));
            violations.push(Violation::PartialGang { members, placed, task });
        }
    }
    violations
}

/// Removes the resources of a demand that does not fit from the emptiest candidates, which is where
/// a claim may have reserved them.
fn reserve_any(view: &mut PoolView, demand: &Demand) {
    for _ in 0..demand.count {
        let free = |index: &usize| view.candidates[*index].free;
        let emptiest = (0..view.candidates.len()).max_by_key(|index| {
            let free = free(index);
            (free.accelerators, free.cores, free.memory)
        });
        let Some(index) = emptiest else { return };
        subtract_demand(view, demand, &[index]);
    }
}
