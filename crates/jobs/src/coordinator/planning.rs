use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::entry::Placement;
use super::hold::HoldKind;
use super::pool_view::{PoolView, reserve, select_candidates, to_view_indexes};
use super::sharing::Round;
use super::units::Unit;
use super::{Coordinator, DecisionKind, Timestamp};
use crate::{
    Candidate, Demand, Resources, Step, StepId, TaskId, TaskKey, choose_workers, exclude_emptiest,
    is_small,
};

/// Longest wait for a worker near the data or on one rack beside free resources, because tasks on
/// others are several times slower.
pub(super) const MAX_NEAR_WAIT: Duration = Duration::from_secs(6);

/// Time after which a small task of a job without runs may use the workers that are reserved for
/// larger tasks.
const MAX_HEADROOM_WAIT: Duration = Duration::from_secs(2);

/// Longest time for which tasks wait for another worker than the one on which a run of them has
/// failed. The others may be too small, or in use without end. As long as the first quarantine of a
/// worker, by which time it is closed if other jobs fail there as well.
const MAX_AVOIDED_WAIT: Duration = Duration::from_secs(5);

/// Number of blocked units for which resources are reserved. More reservations would leave too much
/// of the pool idle.
const MAX_RESERVATIONS: usize = 2;

/// Outcome of one round of planning for tasks that start together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// No resources are expected to become free for them.
    Blocked,
    /// Resources are reserved for them where runs stop or end.
    Reserved,
    /// They are placed.
    Placed,
}

impl Coordinator {
    /// Handles everything that depends on time: silent and lapsed workers, runs without progress,
    /// draining workers, ended jobs and placement.
    pub fn tick(&mut self, now: Timestamp) {
        self.ticked_at = now.monotonic;
        self.limit_acceptances(now);
        self.check_tables(now);
        self.close_silent(now);
        self.expire_workers(now);
        self.track_closed(now);
        self.stop_stalled(now);
        self.move_off_draining(now);
        self.remove_ended_jobs(now);
        self.retry_rejected(now);
        self.clear_crash_records(now);
        self.restart_late_runs(now);
        self.run_times.remove_gone(now.monotonic, |id| self.fleet.workers.contains_key(id));
        self.place(now);
    }

    /// Places waiting work.
    pub fn place(&mut self, now: Timestamp) {
        self.plan_due = false;
        self.known_workers.observe(&self.fleet, now.monotonic);
        self.advice.clear_wanted();
        let guaranteed = self.guaranteed();
        let mut units = self.waiting_units(now, &guaranteed);
        let mut views: BTreeMap<String, PoolView> = BTreeMap::new();
        let mut round = Round::new(&units);
        while let Some((index, handled)) = round.next(&mut units, |unit| self.is_over_share(unit)) {
            let unit = &units[index];
            let Some(entry) = self.jobs.get(&unit.job) else { continue };
            let pool = entry.job.pool.clone();
            if !views.contains_key(&pool) {
                let view = self.pool_view(&pool, now);
                views.insert(pool.clone(), view);
            }
            let Some(view) = views.get_mut(&pool) else { continue };
            self.rate_candidates(unit, view);
            let handled = self.place_unit(now, unit, handled, view, &guaranteed);
            if handled < unit.keys.len() {
                round.defer(unit, index, handled);
            }
        }
        self.holds = views.into_values().flat_map(|view| view.holds).collect();
        self.check_waiting(now, &units);
    }

    /// Reports whether something has changed since the last round of planning.
    pub fn is_plan_due(&self) -> bool {
        self.plan_due
    }

    /// Places the tasks of a unit after the first `handled` ones. Returns the number of tasks that
    /// have been handled, which is not all if the team has passed its share.
    fn place_unit(
        &mut self,
        now: Timestamp,
        unit: &Unit,
        handled: usize,
        view: &mut PoolView,
        guaranteed: &BTreeSet<String>,
    ) -> usize {
        let all = unit.keys.len();
        let Some(first) = unit.keys.first() else { return all };
        let gang = self.jobs.get(&unit.job).is_some_and(|entry| entry.is_gang(first.step));
        if gang {
            self.place_group(now, unit, &unit.keys, view, guaranteed);
            return all;
        }
        // Tasks with reserved resources do not delay the others: their stops run in parallel.
        for (index, key) in unit.keys.iter().enumerate().skip(handled) {
            if index > handled && !unit.rank.over_share && self.is_over_share(unit) {
                return index;
            }
            let outcome = self.place_group(now, unit, std::slice::from_ref(key), view, guaranteed);
            if outcome == Outcome::Blocked {
                return all;
            }
        }
        all
    }

    /// Places tasks that start together, or reserves resources for them.
    fn place_group(
        &mut self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        view: &mut PoolView,
        guaranteed: &BTreeSet<String>,
    ) -> Outcome {
        let Some((demand, allowed)) = self.demand(now, unit, keys, view) else {
            return Outcome::Blocked;
        };
        let allowed = self.with_permits(now, unit, &demand, view, allowed);
        let allowed = self.without_failed_worker(now, unit, keys, &demand, view, allowed);
        let allowed = self.without_interference(unit, &demand, view, allowed);
        let restart = self.workers_of_restart(unit, keys, &demand, view, &allowed);
        let allowed = match restart {
            Some(workers) => workers,
            None => self.with_pace(now, unit, &demand, view, allowed, guaranteed),
        };
        let allowed = self.with_isolation(now, unit, keys, &demand, view, allowed);
        let allowed = self.with_headroom(now, unit, &demand, view, allowed);
        // Last, because the share of workers that is kept for larger tasks is one of all workers.
        let allowed = self.with_exploration(unit, keys, &demand, view, allowed);
        if let Some(chosen) = self.choose_now(now, unit, &demand, view, &allowed) {
            self.assign(now, unit, keys, &demand, view, &chosen);
            return Outcome::Placed;
        }
        let after_stops = select_candidates(view, &allowed, true);
        if let Some(chosen) = choose_workers(&demand, &after_stops) {
            reserve(view, unit, HoldKind::Stops, &demand, &to_view_indexes(&allowed, &chosen));
            return Outcome::Reserved;
        }
        if self.preempt(now, unit, &demand, view, &allowed, guaranteed) {
            return Outcome::Reserved;
        }
        if view.reservations < MAX_RESERVATIONS {
            view.reservations += 1;
            self.reserve_earliest(now, unit, &demand, view, &allowed);
        }
        Outcome::Blocked
    }

    /// Excludes the worker on which the last run failed if the tasks fit on the others, and otherwise
    /// for [`MAX_AVOIDED_WAIT`].
    pub(super) fn without_failed_worker(
        &self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let task = self.jobs.get(&unit.job).and_then(|entry| entry.tasks.get(keys.first()?));
        let Some((avoided, failed_at)) = task.and_then(|task| task.avoided_worker.as_ref()) else {
            return allowed;
        };
        let others: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| *view.candidates[*index].id != **avoided)
            .collect();
        let fits = self.fits(unit, demand, view, &others, false);
        let recent = now.monotonic.saturating_duration_since(*failed_at) < MAX_AVOIDED_WAIT;
        if others.is_empty() || !(fits || recent) { allowed } else { others }
    }

    /// Excludes the workers that are reserved for larger tasks, if the tasks are small and have
    /// slack. After [`MAX_HEADROOM_WAIT`] a job without runs may use any worker, so that it does
    /// not wait while workers are idle.
    pub(super) fn with_headroom(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        mut allowed: Vec<usize>,
    ) -> Vec<usize> {
        let running = self.jobs.get(&unit.job).is_some_and(|job| job.placements().next().is_some());
        let has_slack = unit.rank.class > 0 && unit.rank.start_ms > now.wall_ms;
        if !has_slack || (!running && unit.waited >= MAX_HEADROOM_WAIT) {
            return allowed;
        }
        let sizes = view
            .candidates
            .iter()
            .filter_map(|candidate| Some(self.fleet.workers.get(&*candidate.id)?.status.resources));
        let largest = sizes
            .max_by_key(|resources| (resources.accelerators, resources.cores, resources.memory));
        if largest.is_none_or(|largest| !is_small(&demand.resources, &largest)) {
            return allowed;
        }
        // Workers that never have the resources, because they have shrunk or lasting tasks hold them,
        // are not left for small tasks.
        allowed.retain(|index| view.temporary[*index].fits(&demand.resources));
        let free: Vec<Resources> = view.candidates.iter().map(|candidate| candidate.free).collect();
        exclude_emptiest(&free, allowed)
    }

    /// Returns the demand of the tasks and the candidates that may run them.
    pub(super) fn demand(
        &self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        view: &PoolView,
    ) -> Option<(Demand, Vec<usize>)> {
        let entry = self.jobs.get(&unit.job)?;
        let key = keys.first()?;
        let step = entry.job.steps.get(key.step as usize)?;
        let labelled = |id: &str| {
            let Some(label) = &step.label else { return true };
            self.fleet.workers.get(id).is_some_and(|worker| worker.status.labels.contains(label))
        };
        let allowed: Vec<usize> = (0..view.candidates.len())
            .filter(|index| labelled(&view.candidates[*index].id))
            .collect();
        let mut demand = Demand {
            count: u32::try_from(keys.len()).ok()?,
            fills: step.fills,
            near_rack: step.near_rack.clone(),
            resources: entry.resources(key.step),
            same_rack: step.same_rack && keys.len() > 1,
            spread: step.spread,
        };
        if demand.same_rack && !self.any_rack_fits(now, unit, &demand) {
            demand.same_rack = false;
        }
        if step.same_rack && keys.len() == 1 {
            demand.near_rack = self.sibling_rack(&unit.job, key).or(demand.near_rack);
        }
        Some((demand, allowed))
    }

    /// Excludes the workers on which the unit and the runs there would interfere with each other,
    /// if the tasks fit on the other workers. Otherwise filling and serving tasks share a worker,
    /// whose agent slows the filling tasks down.
    pub(super) fn without_interference(
        &self,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let step = unit
            .keys
            .first()
            .and_then(|key| self.jobs.get(&unit.job)?.job.steps.get(key.step as usize));
        let Some(step) = step else { return allowed };
        let unaffected: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| !self.interferes(step, &view.candidates[*index].id))
            .collect();
        if unaffected.len() == allowed.len() || !self.fits(unit, demand, view, &unaffected, true) {
            return allowed;
        }
        unaffected
    }

    /// Reports whether a step and the runs of a worker would interfere with each other. Filling
    /// tasks slow down tasks that must respond in time, by amounts that change within seconds.
    fn interferes(&self, step: &Step, worker: &str) -> bool {
        if !step.fills && step.response_ms == 0 {
            return false;
        }
        let Some(worker) = self.fleet.workers.get(worker) else { return false };
        worker.runs.keys().any(|task| {
            let steps = self.jobs.get(&task.job).map(|entry| &entry.job.steps);
            let other = steps.and_then(|steps| steps.get(task.key.step as usize));
            other.is_some_and(|other| {
                (step.fills && other.response_ms > 0) || (step.response_ms > 0 && other.fills)
            })
        })
    }

    fn sibling_rack(&self, job: &str, key: &TaskKey) -> Option<String> {
        let entry = self.jobs.get(job)?;
        let (_, placement) = entry
            .placements()
            .find(|(task, _)| task.key.step == key.step && task.key.occurrence == key.occurrence)?;
        Some(self.fleet.workers.get(&placement.worker)?.status.rack.clone())
    }

    /// Chooses workers with free resources. Returns `None` while waiting for a worker near the data
    /// is the better choice.
    pub(super) fn choose_now(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        allowed: &[usize],
    ) -> Option<Vec<usize>> {
        let candidates =
            self.count_same_step(unit, demand, select_candidates(view, allowed, false));
        let chosen = choose_workers(demand, &candidates)
            .or_else(|| Self::choose_racks(unit, demand, &candidates))?;
        let near = demand.near_rack.as_deref();
        let far =
            near.is_some_and(|near| chosen.iter().any(|index| &*candidates[*index].rack != near));
        let possible = near.is_some_and(|near| {
            self.fleet.workers.values().any(|worker| {
                worker.is_expected(now.monotonic)
                    && worker.status.rack == near
                    && worker.status.resources.fits(&demand.resources)
            })
        });
        if far && possible && unit.waited < MAX_NEAR_WAIT {
            return None;
        }
        Some(to_view_indexes(allowed, &chosen))
    }

    /// Reports whether the demand fits on the workers with the given indexes, now or after the stops
    /// that are ordered.
    pub(super) fn fits(
        &self,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        workers: &[usize],
        after_stops: bool,
    ) -> bool {
        let candidates = select_candidates(view, workers, after_stops);
        choose_workers(demand, &self.count_same_step(unit, demand, candidates)).is_some()
    }

    /// Counts the tasks of the same step and occurrence on each candidate, if the demand limits
    /// them.
    pub(super) fn count_same_step(
        &self,
        unit: &Unit,
        demand: &Demand,
        mut candidates: Vec<Candidate>,
    ) -> Vec<Candidate> {
        if demand.spread == 0 {
            return candidates;
        }
        let (Some(entry), Some(first)) = (self.jobs.get(&unit.job), unit.keys.first()) else {
            return candidates;
        };
        for (task, placement) in entry.placements() {
            if task.key.step != first.step || task.key.occurrence != first.occurrence {
                continue;
            }
            let worker_candidate =
                candidates.iter_mut().find(|candidate| *candidate.id == *placement.worker);
            if let Some(candidate) = worker_candidate {
                candidate.same_step += 1;
            }
        }
        candidates
    }

    fn assign(
        &mut self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &mut PoolView,
        chosen: &[usize],
    ) {
        let version = self.mark_changed(&unit.job);
        let expected_ms = self.expected_ms(unit);
        let Some(entry) = self.jobs.get_mut(&unit.job) else { return };
        let run = keys
            .iter()
            .filter_map(|key| entry.tasks.get(key).map(|task| task.run))
            .max()
            .unwrap_or(0)
            + 1;
        let late = chosen.iter().map(|index| view.candidates[*index].late).max().unwrap_or(0);
        let mut placements = Vec::new();
        for (key, index) in keys.iter().zip(chosen) {
            let candidate = &mut view.candidates[*index];
            candidate.free.subtract(&demand.resources);
            view.future_free[*index].subtract(&demand.resources);
            let Some(worker) = self.fleet.workers.get(&*candidate.id) else { continue };
            let Some(task) = entry.tasks.get_mut(key) else { continue };
            let step = StepId::new(&unit.job, key);
            let permit =
                self.advice.permit(&step, &candidate.id, worker.status.incarnation, now.monotonic);
            task.run = run;
            task.placement = Some(Placement {
                address: worker.status.address.clone(),
                attempted: false,
                checkpoint: task.checkpoint.clone(),
                full_run: task.checkpoint.is_empty(),
                incarnation: worker.status.incarnation,
                last_progress: now.monotonic,
                late_since: None,
                listed: false,
                listed_at: None,
                lost: false,
                ordered_at: None,
                observed: false,
                observed_points: 0,
                percent: 0,
                permit: permit.unwrap_or_default().to_owned(),
                placed_at: now.monotonic,
                progress_start: None,
                proven: false,
                restored: false,
                sample: None,
                run,
                stopping: false,
                version,
                worker: candidate.id.to_string(),
            });
            placements.push((TaskId::new(&unit.job, *key), candidate.id.to_string()));
        }
        for (task, worker) in &placements {
            self.fleet.occupy(worker, task, run, &demand.resources);
            self.changed_workers.insert(worker.clone());
        }
        self.add_share_use(&unit.job, &demand.resources, placements.len());
        let workers: Vec<&str> = placements.iter().map(|(_, worker)| worker.as_str()).collect();
        let detail = format!(
            "step {}, run {run}, rank {}/{}, waited {} ms, on {}, expected {expected_ms} ms, late with probability {:.1}",
            keys.first().map_or(0, |key| key.step),
            unit.rank.tier,
            unit.rank.class,
            unit.waited.as_millis(),
            workers.join(" "),
            f64::from(late) / 10.0
        );
        self.record_decision(&unit.job, DecisionKind::Placed, detail);
    }

    fn remove_ended_jobs(&mut self, now: Timestamp) {
        let retention = self.limits.retention;
        let expired: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.is_ended() && now.monotonic > entry.ended_at + retention)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.jobs.remove(&id);
            self.changed_jobs.insert(id);
        }
    }
}
