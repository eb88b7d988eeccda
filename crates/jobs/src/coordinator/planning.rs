use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::entry::Placement;
use super::units::Unit;
use super::{Coordinator, DecisionKind, Moment};
use crate::{
    Candidate, Demand, Resources, Step, StepId, TaskId, TaskKey, choose_workers, is_small,
    leave_room,
};

/// Longest wait for a place near the data or on one rack, where the alternative is several times
/// slower.
const NEAR_WAIT: Duration = Duration::from_secs(6);

/// Time after which a small task of a job without runs may use the room that is left to larger ones.
const HEADROOM_WAIT: Duration = Duration::from_secs(2);

/// Progress from which on the time that a run still takes is told from its speed so far.
pub(super) const RELIABLE_PERCENT: u8 = 5;

/// Blocked units for which room is kept free; more would leave too much of the pool idle.
const SHADOWS: usize = 2;

/// What one round of planning did for tasks that start together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// Nothing is known to make room.
    Blocked,
    /// Room is kept for them where runs stop or end.
    Coming,
    /// They are placed.
    Placed,
}

/// Workers of one pool during one round of planning.
pub(super) struct PoolView {
    pub(super) candidates: Vec<Candidate>,
    /// Room that will be free once runs that are ordered to stop have ended.
    pub(super) soon: Vec<Resources>,
    shadows: usize,
}

impl Coordinator {
    /// Does what is due with time: lapsed workers, runs that stand still, ended jobs, placement.
    pub fn tick(&mut self, now: Moment) {
        self.close_silent(now);
        self.expire_workers(now);
        self.stop_stalled(now);
        self.leave_draining(now);
        self.forget_ended(now);
        self.place(now);
    }

    /// Places waiting work.
    pub fn place(&mut self, now: Moment) {
        self.plan_due = false;
        let guaranteed = self.guaranteed();
        let units = self.waiting_units(now, &guaranteed);
        let mut views: BTreeMap<String, PoolView> = BTreeMap::new();
        for unit in &units {
            let Some(entry) = self.jobs.get(&unit.job) else { continue };
            let pool = entry.job.pool.clone();
            if !views.contains_key(&pool) {
                let view = self.pool_view(&pool, now);
                views.insert(pool.clone(), view);
            }
            let Some(view) = views.get_mut(&pool) else { continue };
            self.place_unit(now, unit, view, &guaranteed);
        }
    }

    /// Reports whether something has changed since the last round of planning.
    pub fn is_plan_due(&self) -> bool {
        self.plan_due
    }

    fn pool_view(&self, pool: &str, now: Moment) -> PoolView {
        let mut view = PoolView { candidates: Vec::new(), soon: Vec::new(), shadows: 0 };
        for (id, worker) in &self.fleet.workers {
            if worker.status.pool != pool || !worker.is_open(now.at) {
                continue;
            }
            let mut soon = worker.free();
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                if entry.placement(&task.key).is_some_and(|placement| placement.stop) {
                    soon.add(&entry.resources(task.key.step));
                }
            }
            view.candidates.push(Candidate {
                free: worker.free(),
                id: id.clone(),
                penalty: worker.health.penalty(),
                rack: worker.status.rack.clone(),
                same: 0,
            });
            view.soon.push(soon);
        }
        view
    }

    fn place_unit(
        &mut self,
        now: Moment,
        unit: &Unit,
        view: &mut PoolView,
        guaranteed: &BTreeSet<String>,
    ) {
        let Some(first) = unit.keys.first() else { return };
        let gang = self.jobs.get(&unit.job).is_some_and(|entry| entry.is_gang(first.step));
        if gang {
            self.place_group(now, unit, &unit.keys, view, guaranteed);
            return;
        }
        // Tasks for which room is coming do not hold up the others: their stops run side by side.
        for key in &unit.keys {
            let outcome = self.place_group(now, unit, std::slice::from_ref(key), view, guaranteed);
            if outcome == Outcome::Blocked {
                return;
            }
        }
    }

    /// Places tasks that start together, or keeps room for them.
    fn place_group(
        &mut self,
        now: Moment,
        unit: &Unit,
        keys: &[TaskKey],
        view: &mut PoolView,
        guaranteed: &BTreeSet<String>,
    ) -> Outcome {
        let Some((demand, allowed)) = self.demand(unit, keys, view) else {
            return Outcome::Blocked;
        };
        let allowed = self.permitted(now, unit, view, allowed);
        let allowed = self.without_failed(unit, keys, view, allowed);
        let allowed = self.undisturbed(unit, &demand, view, allowed);
        let allowed = self.with_headroom(now, unit, &demand, view, allowed);
        if let Some(chosen) = self.find_place(unit, &demand, view, &allowed) {
            self.assign(now, unit, keys, &demand, view, &chosen);
            return Outcome::Placed;
        }
        let soon = with_free(view, &allowed, true);
        if let Some(chosen) = choose_workers(&demand, &soon) {
            keep_free(view, &demand, &map_back(&allowed, &chosen));
            return Outcome::Coming;
        }
        if self.reclaim(now, unit, &demand, view, &allowed, guaranteed) {
            return Outcome::Coming;
        }
        if view.shadows < SHADOWS {
            view.shadows += 1;
            self.keep_shadow(now, unit, &demand, view, &allowed);
        }
        Outcome::Blocked
    }

    /// Keeps the candidates for which the placement policy has given a permit, and asks for more.
    fn permitted(
        &mut self,
        now: Moment,
        unit: &Unit,
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let advised = self.jobs.get(&unit.job).is_some_and(|entry| entry.job.advised);
        let (true, Some(first)) = (advised, unit.keys.first()) else { return allowed };
        let step = StepId::new(&unit.job, first);
        let incarnation =
            |id: &str| self.fleet.workers.get(id).map_or(0, |worker| worker.status.incarnation);
        let permits = |index: &usize| {
            let id = &view.candidates[*index].id;
            self.advice.permit(&step, id, incarnation(id), now.at).is_some()
        };
        let (good, mut others): (Vec<usize>, Vec<usize>) =
            allowed.into_iter().partition(|index| permits(index));
        others.sort_by_key(|index| std::cmp::Reverse(view.candidates[*index].free.accelerators));
        let ids: Vec<String> =
            others.iter().map(|index| view.candidates[*index].id.clone()).collect();
        if good.len() < unit.keys.len()
            && let Some(call) = self.advice.ask(&step, &ids, now.at)
        {
            self.advice_calls.push(call);
        }
        good
    }

    /// Leaves out the worker on which the last run failed, unless there is no other.
    fn without_failed(
        &self,
        unit: &Unit,
        keys: &[TaskKey],
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let task = self.jobs.get(&unit.job).and_then(|entry| entry.tasks.get(keys.first()?));
        let Some(task) = task else { return allowed };
        let others: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| view.candidates[*index].id != task.avoid)
            .collect();
        if others.is_empty() { allowed } else { others }
    }

    /// Leaves out the workers that small tasks with slack leave to others. A job of which nothing runs
    /// takes any worker after a while: it must not wait in front of idle ones.
    fn with_headroom(
        &self,
        now: Moment,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let running = self.jobs.get(&unit.job).is_some_and(|job| job.placements().next().is_some());
        let has_slack = unit.rank.class > 0 && unit.rank.start_ms > now.wall_ms;
        if !has_slack || (!running && unit.waited >= HEADROOM_WAIT) {
            return allowed;
        }
        let sizes = view
            .candidates
            .iter()
            .filter_map(|candidate| Some(self.fleet.workers.get(&candidate.id)?.status.resources));
        let largest = sizes
            .max_by_key(|resources| (resources.accelerators, resources.cores, resources.memory));
        if largest.is_none_or(|largest| !is_small(&demand.resources, &largest)) {
            return allowed;
        }
        let free: Vec<Resources> = view.candidates.iter().map(|candidate| candidate.free).collect();
        leave_room(&free, allowed)
    }

    /// Returns what the tasks need and the candidates that may run them.
    fn demand(
        &self,
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
        if demand.same_rack && !self.rack_can_hold(&entry.job.pool, &demand, step.label.as_deref())
        {
            demand.same_rack = false;
        }
        if step.same_rack && keys.len() == 1 {
            demand.near_rack = self.sibling_rack(&unit.job, key).or(demand.near_rack);
        }
        Some((demand, allowed))
    }

    /// Leaves out the workers on which the unit and what runs there would disturb each other, where
    /// the others have room. Beside serving tasks filling ones are slowed down by their agent.
    fn undisturbed(
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
        let calm: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| !self.disturbs(step, &view.candidates[*index].id))
            .collect();
        if calm.len() == allowed.len()
            || choose_workers(demand, &self.with_same(unit, with_free(view, &calm, true))).is_none()
        {
            return allowed;
        }
        calm
    }

    /// Reports whether a step and the runs of a worker would disturb each other: tasks that use what
    /// others leave slow down tasks that must respond in time, by amounts that change within seconds.
    fn disturbs(&self, step: &Step, worker: &str) -> bool {
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

    /// Reports whether a rack of the pool could hold the whole demand if it were empty.
    fn rack_can_hold(&self, pool: &str, demand: &Demand, label: Option<&str>) -> bool {
        self.fleet.racks(pool).values().any(|members| {
            let slots = members.iter().filter_map(|id| self.fleet.workers.get(*id)).map(|worker| {
                let labels = &worker.status.labels;
                if worker.status.draining
                    || label.is_some_and(|label| !labels.iter().any(|has| has == label))
                {
                    return 0;
                }
                demand.slots(&worker.status.resources, 0)
            });
            slots.sum::<u32>() >= demand.count
        })
    }

    fn sibling_rack(&self, job: &str, key: &TaskKey) -> Option<String> {
        let entry = self.jobs.get(job)?;
        let (_, placement) = entry
            .placements()
            .find(|(task, _)| task.key.step == key.step && task.key.occurrence == key.occurrence)?;
        Some(self.fleet.workers.get(&placement.worker)?.status.rack.clone())
    }

    /// Chooses workers now; waits for a place near the data while that is the better choice.
    fn find_place(
        &self,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        allowed: &[usize],
    ) -> Option<Vec<usize>> {
        let candidates = self.with_same(unit, with_free(view, allowed, false));
        let chosen = choose_workers(demand, &candidates)?;
        let near = demand.near_rack.as_deref();
        let far =
            near.is_some_and(|near| chosen.iter().any(|index| candidates[*index].rack != near));
        let possible = near.is_some_and(|near| {
            self.fleet.workers.values().any(|worker| {
                worker.known
                    && worker.status.rack == near
                    && worker.status.resources.fits(&demand.resources)
            })
        });
        if far && possible && unit.waited < NEAR_WAIT {
            return None;
        }
        Some(map_back(allowed, &chosen))
    }

    /// Counts the tasks of the same step and occurrence on each candidate.
    pub(super) fn with_same(&self, unit: &Unit, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        let (Some(entry), Some(first)) = (self.jobs.get(&unit.job), unit.keys.first()) else {
            return candidates;
        };
        for (task, placement) in entry.placements() {
            if task.key.step != first.step || task.key.occurrence != first.occurrence {
                continue;
            }
            let found = candidates.iter_mut().find(|candidate| candidate.id == placement.worker);
            if let Some(candidate) = found {
                candidate.same += 1;
            }
        }
        candidates
    }

    fn assign(
        &mut self,
        now: Moment,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &mut PoolView,
        chosen: &[usize],
    ) {
        let version = self.touch(&unit.job);
        let Some(entry) = self.jobs.get_mut(&unit.job) else { return };
        let run = keys
            .iter()
            .filter_map(|key| entry.tasks.get(key).map(|task| task.run))
            .max()
            .unwrap_or(0)
            + 1;
        let mut places = Vec::new();
        for (key, index) in keys.iter().zip(chosen) {
            let candidate = &mut view.candidates[*index];
            candidate.free.subtract(&demand.resources);
            view.soon[*index].subtract(&demand.resources);
            let Some(worker) = self.fleet.workers.get(&candidate.id) else { continue };
            let Some(task) = entry.tasks.get_mut(key) else { continue };
            let step = StepId::new(&unit.job, key);
            let permit =
                self.advice.permit(&step, &candidate.id, worker.status.incarnation, now.at);
            task.run = run;
            task.placement = Some(Placement {
                address: worker.status.address.clone(),
                checkpoint: task.checkpoint.clone(),
                incarnation: worker.status.incarnation,
                percent: 0,
                permit: permit.unwrap_or_default().to_owned(),
                progressed: now.at,
                run,
                seen: false,
                since: now.at,
                stop: false,
                version,
                whole: task.checkpoint.is_empty(),
                worker: candidate.id.clone(),
            });
            places.push((TaskId::new(&unit.job, *key), candidate.id.clone()));
        }
        for (task, worker) in &places {
            self.fleet.occupy(worker, task, run, &demand.resources);
            self.touched.insert(worker.clone());
        }
        let workers: Vec<&str> = places.iter().map(|(_, worker)| worker.as_str()).collect();
        let detail = format!(
            "step {}, run {run}, rank {}/{}, waited {} ms, on {}",
            keys.first().map_or(0, |key| key.step),
            unit.rank.tier,
            unit.rank.class,
            unit.waited.as_millis(),
            workers.join(" ")
        );
        self.decide(&unit.job, DecisionKind::Placed, detail);
    }

    /// Keeps room free for a blocked unit on the workers where it will fit first, so that smaller
    /// work of lower rank does not pass it over for ever.
    fn keep_shadow(
        &self,
        now: Moment,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
    ) {
        if let Some((_, chosen)) = self.vacancy(now, unit, demand, view, allowed) {
            keep_free(view, demand, &map_back(allowed, &chosen));
        }
    }

    /// Returns when runs that end by themselves are expected to have made room, and where, as indexes
    /// into `allowed`.
    pub(super) fn vacancy(
        &self,
        now: Moment,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        allowed: &[usize],
    ) -> Option<(Duration, Vec<usize>)> {
        let mut ends: Vec<(Duration, usize, Resources)> = Vec::new();
        for (position, index) in allowed.iter().enumerate() {
            let Some(worker) = self.fleet.workers.get(&view.candidates[*index].id) else {
                continue;
            };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let lasting =
                    entry.job.steps.get(task.key.step as usize).is_some_and(|step| step.lasting);
                if !placement.stop && !lasting {
                    let left = self.time_left(now, task, placement);
                    ends.push((left, position, entry.resources(task.key.step)));
                }
            }
        }
        if ends.is_empty() {
            return None;
        }
        ends.sort_by_key(|(left, position, _)| (*left, *position));
        let stopping = self.with_same(unit, with_free(view, allowed, true));
        let fit = |count: usize| {
            let mut candidates = stopping.clone();
            for (_, position, resources) in &ends[..count] {
                candidates[*position].free.add(resources);
            }
            choose_workers(demand, &candidates)
        };
        // What fits goes on to fit with more room, so that the first end that suffices can be searched
        // for by halves.
        let (mut low, mut high) = (1, ends.len());
        let mut found = fit(high)?;
        while low < high {
            let middle = low.midpoint(high);
            match fit(middle) {
                Some(chosen) => (found, high) = (chosen, middle),
                None => low = middle + 1,
            }
        }
        Some((ends.get(high - 1)?.0, found))
    }

    /// Estimates how long a run still takes, from its progress where there is some.
    pub(super) fn time_left(&self, now: Moment, task: &TaskId, placement: &Placement) -> Duration {
        let elapsed = now.at.saturating_duration_since(placement.since);
        if placement.percent >= RELIABLE_PERCENT {
            let percent = f64::from(placement.percent.min(100));
            return elapsed.mul_f64((100.0 - percent) / percent);
        }
        let expected = self.jobs.get(&task.job).and_then(|entry| {
            let step = entry.job.steps.get(task.key.step as usize)?;
            Some(self.estimates.correct(&entry.job.route, step.estimate_ms))
        });
        let estimate = expected.unwrap_or(0);
        Duration::from_millis(estimate).saturating_sub(elapsed).max(Duration::from_millis(500))
    }

    fn forget_ended(&mut self, now: Moment) {
        let retention = self.limits.retention;
        let old: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.is_ended() && now.at > entry.ended_at + retention)
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            self.jobs.remove(&id);
            self.changed.insert(id);
        }
    }
}

pub(super) fn with_free(view: &PoolView, allowed: &[usize], soon: bool) -> Vec<Candidate> {
    allowed
        .iter()
        .map(|index| {
            let mut candidate = view.candidates[*index].clone();
            if soon {
                candidate.free = view.soon[*index];
            }
            candidate
        })
        .collect()
}

pub(super) fn map_back(allowed: &[usize], chosen: &[usize]) -> Vec<usize> {
    chosen.iter().map(|index| allowed[*index]).collect()
}

/// Takes the room of a demand out of the view without placing it.
pub(super) fn keep_free(view: &mut PoolView, demand: &Demand, chosen: &[usize]) {
    for index in chosen {
        view.candidates[*index].free.subtract(&demand.resources);
        view.soon[*index].subtract(&demand.resources);
    }
}
