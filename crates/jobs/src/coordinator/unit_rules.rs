use std::collections::BTreeMap;
use std::fmt::Write;

use super::hold::Hold;
use super::pool_state::{PoolState, shown};
use super::units::Unit;
use super::wait_reason::{Rule, WaitReason};
use super::{Coordinator, Timestamp};
use crate::{Demand, Resources, StepId, TaskKey};

/// Number of steps that a line shows with what is reserved for them.
const SHOWN_HOLDS: usize = 3;

/// What each rule leaves of the open workers of a pool for the tasks of a unit.
///
/// It applies the rules of planning to one unit again and changes nothing, so that rounds of
/// planning keep no counts.
struct UnitRules<'a> {
    /// Resources of the candidates that are free.
    free: Vec<Resources>,
    /// Free resources without those that are reserved for others.
    left: Vec<Resources>,
    /// Indexes of the candidates that remain after each rule.
    remaining: Vec<(Rule, Vec<usize>)>,
    demand: Demand,
    /// Number of tasks of the same step on each candidate.
    same_step: Vec<u32>,
    state: &'a PoolState,
}

impl UnitRules<'_> {
    fn allowed(&self) -> &[usize] {
        self.remaining.last().map_or(&[], |(_, allowed)| allowed)
    }

    /// Returns how many of the tasks that start together fit on the workers.
    fn slots(&self, demand: &Demand, allowed: &[usize], free: &[Resources]) -> u32 {
        let candidates = &self.state.view.candidates;
        let slots = allowed.iter().map(|index| {
            let slots = demand.slots(&free[*index], self.same_step[*index]);
            (&*candidates[*index].rack, slots)
        });
        best_slots(demand, slots)
    }

    fn fits(&self, demand: &Demand, allowed: &[usize], free: &[Resources]) -> bool {
        self.slots(demand, allowed, free) >= demand.count
    }

    /// Returns the rule after which the tasks no longer fit into the free resources of the open
    /// workers; `None` if they do not fit before.
    fn excluding_rule(&self) -> Option<Rule> {
        let open: Vec<usize> = (0..self.free.len()).collect();
        if !self.fits(&self.demand, &open, &self.free) {
            return None;
        }
        let excludes =
            |(_, allowed): &&(Rule, Vec<usize>)| !self.fits(&self.demand, allowed, &self.free);
        self.remaining.iter().find(excludes).map(|(rule, _)| *rule)
    }
}

impl Coordinator {
    /// Returns why a unit waits, and the line that describes it.
    pub(super) fn unit_reason(
        &self,
        now: Timestamp,
        unit: &Unit,
        state: &PoolState,
    ) -> Option<(WaitReason, String)> {
        let first = unit.keys.first()?;
        let entry = self.jobs.get(&unit.job)?;
        let gang = entry.is_gang(first.step);
        let keys = if gang { unit.keys.as_slice() } else { std::slice::from_ref(first) };
        let step = StepId::new(&unit.job, first);
        let rules = self.unit_rules(now, unit, keys, &step, state)?;
        let reason = self.rules_reason(now, unit, &rules);
        let demand = &rules.demand;
        let Resources { accelerators, cores, memory } = demand.resources;
        let own = self.holds.iter().find(|hold| hold.step == step);
        let outcome = own.map_or_else(
            || "blocked".to_owned(),
            |hold| format!("{} on {}", hold.kind, shown(&hold.workers)),
        );
        let mut line = format!(
            "{reason}; {outcome}; {} tasks wait{}, rank {}/{}{}, accepted or due {} ms ago, each \
             {accelerators} accelerators {cores} millicores {memory} MB; pool {}: {state}",
            unit.keys.len(),
            if gang { ", gang" } else { "" },
            unit.rank.tier,
            unit.rank.class,
            self.yield_reason(unit),
            unit.waited.as_millis(),
            entry.job.pool,
        );
        // Writing to a string cannot fail.
        let _ = self.write_rules(&mut line, now, &step, &rules);
        Some((reason, line))
    }

    /// Applies the rules of planning in the order of [`Coordinator::place`].
    fn unit_rules<'a>(
        &self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        step: &StepId,
        state: &'a PoolState,
    ) -> Option<UnitRules<'a>> {
        let view = &state.view;
        let (demand, labelled) = self.demand(now, unit, keys, view)?;
        let mut remaining = vec![(Rule::Label, labelled.clone())];
        let mut allowed = labelled;
        if self.jobs.get(&unit.job)?.job.advised {
            allowed.retain(|index| {
                let id = &view.candidates[*index].id;
                let worker = self.fleet.workers.get(&**id);
                let incarnation = worker.map_or(0, |worker| worker.status.incarnation);
                self.advice.permit(step, id, incarnation, now.monotonic).is_some()
            });
            remaining.push((Rule::Permits, allowed.clone()));
        }
        allowed = self.without_failed_worker(now, unit, keys, &demand, view, allowed);
        remaining.push((Rule::FailedWorker, allowed.clone()));
        allowed = self.without_interference(unit, &demand, view, allowed);
        remaining.push((Rule::Interference, allowed.clone()));
        // The rule looks ahead at reservations, which this view does not keep.
        let mut scratch = view.clone();
        allowed = self.with_pace(now, unit, &demand, &mut scratch, allowed, &self.guaranteed());
        remaining.push((Rule::Pace, allowed.clone()));
        allowed = self.with_isolation(now, unit, keys, &demand, view, allowed);
        remaining.push((Rule::Isolation, allowed.clone()));
        allowed = self.with_headroom(now, unit, &demand, view, allowed);
        allowed = self.with_exploration(unit, keys, &demand, view, allowed);
        remaining.push((Rule::Headroom, allowed));
        let free: Vec<Resources> = view.candidates.iter().map(|candidate| candidate.free).collect();
        let mut left = free.clone();
        for hold in self.holds.iter().filter(|hold| hold.step != *step) {
            for worker in &hold.workers {
                if let Ok(index) =
                    view.candidates.binary_search_by(|candidate| candidate.id.cmp(worker))
                {
                    left[index].subtract(&hold.resources);
                }
            }
        }
        let counted = self.count_same_step(unit, &demand, view.candidates.clone());
        let same_step = counted.iter().map(|candidate| candidate.same_step).collect();
        Some(UnitRules { free, left, remaining, demand, same_step, state })
    }

    fn rules_reason(&self, now: Timestamp, unit: &Unit, rules: &UnitRules) -> WaitReason {
        let (demand, allowed, state) = (&rules.demand, rules.allowed(), rules.state);
        if rules.fits(demand, allowed, &rules.free) {
            if self.choose_now(now, unit, demand, &state.view, allowed).is_none() {
                return WaitReason::NearData;
            }
            let unreserved = rules.fits(demand, allowed, &rules.left);
            return if unreserved { WaitReason::Unplaced } else { WaitReason::Reserved };
        }
        match rules.excluding_rule() {
            Some(Rule::Permits) => return WaitReason::Permits,
            Some(rule) => return WaitReason::Excluded(rule),
            None => {}
        }
        let anywhere = Demand { same_rack: false, ..demand.clone() };
        if demand.same_rack && rules.fits(&anywhere, allowed, &rules.free) {
            return WaitReason::Rack;
        }
        if rules.fits(demand, allowed, &state.view.future_free) {
            return WaitReason::Stops;
        }
        if rules.fits(demand, allowed, &state.idle) {
            return WaitReason::Unstarted;
        }
        let known = |closed, empty| self.fits_known(now, unit, demand, closed, empty);
        if known(true, false) {
            return WaitReason::Closed;
        }
        if known(false, true) {
            return WaitReason::RunEnds;
        }
        if known(true, true) { WaitReason::Closed } else { WaitReason::Workers }
    }

    /// Reports whether the demand fits on the known workers of the pool with the label, also on the
    /// closed ones if `closed` is set, into their free resources or as if they were empty.
    fn fits_known(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        closed: bool,
        empty: bool,
    ) -> bool {
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let step = unit.keys.first().and_then(|key| entry.job.steps.get(key.step as usize));
        let label = step.and_then(|step| step.label.as_ref());
        let workers = self.fleet.workers.values().filter(|worker| {
            let labelled = label.is_none_or(|label| worker.status.labels.contains(label));
            let usable = closed || worker.is_open(now.monotonic);
            worker.status.pool == entry.job.pool && labelled && usable
        });
        let slots = workers.map(|worker| {
            let resources = if empty { worker.status.resources } else { worker.free() };
            (worker.status.rack.as_str(), demand.slots(&resources, 0))
        });
        best_slots(demand, slots) >= demand.count
    }

    fn write_rules(
        &self,
        line: &mut String,
        now: Timestamp,
        step: &StepId,
        rules: &UnitRules,
    ) -> std::fmt::Result {
        let (demand, state) = (&rules.demand, rules.state);
        let mut before = state.view.candidates.len();
        write!(line, "; excluded")?;
        for (rule, allowed) in &rules.remaining {
            write!(line, " {} by {rule},", before - allowed.len())?;
            before = allowed.len();
        }
        write!(
            line,
            " {before} left; {} of {} fit there, {} without what is reserved for others, {} after \
             stops",
            rules.slots(demand, rules.allowed(), &rules.free),
            demand.count,
            rules.slots(demand, rules.allowed(), &rules.left),
            rules.slots(demand, rules.allowed(), &state.view.future_free),
        )?;
        if let Some((_, permitted)) =
            rules.remaining.iter().find(|(rule, _)| *rule == Rule::Permits)
        {
            let requests = self.advice.describe(step, now.monotonic);
            write!(line, "; policy permitted {}, {requests}", permitted.len())?;
        }
        if let Some(near) = &demand.near_rack {
            let candidates = &state.view.candidates;
            let allowed = rules.allowed().iter().copied();
            let on_rack: Vec<usize> =
                allowed.filter(|index| *candidates[*index].rack == **near).collect();
            let slots = rules.slots(demand, &on_rack, &rules.free);
            write!(line, "; near rack {near}: {} workers left, {slots} fit", on_rack.len())?;
        }
        if demand.same_rack {
            let anywhere = Demand { same_rack: false, ..demand.clone() };
            let slots = rules.slots(&anywhere, rules.allowed(), &rules.free);
            write!(line, "; same rack, {slots} fit on all racks together")?;
        }
        if demand.spread > 0 {
            write!(line, "; at most {} on a worker", demand.spread)?;
        }
        write_holds(line, &self.holds, step, state)
    }
}

/// Writes for which other steps resources of the open workers are reserved.
fn write_holds(
    line: &mut String,
    holds: &[Hold],
    step: &StepId,
    state: &PoolState,
) -> std::fmt::Result {
    let mut others: BTreeMap<&StepId, (&Hold, usize)> = BTreeMap::new();
    for hold in holds.iter().filter(|hold| hold.step != *step) {
        let in_pool = hold.workers.iter().filter(|id| {
            state.view.candidates.binary_search_by(|candidate| candidate.id.cmp(id)).is_ok()
        });
        let tasks = in_pool.count();
        if tasks > 0 {
            others.entry(&hold.step).or_insert((hold, 0)).1 += tasks;
        }
    }
    if others.is_empty() {
        return Ok(());
    }
    write!(line, "; others:")?;
    for (other, (hold, tasks)) in others.iter().take(SHOWN_HOLDS) {
        write!(line, " {other} {tasks} tasks {} on {},", hold.kind, shown(&hold.workers))?;
    }
    write!(line, " {} in all", others.len())
}

/// Returns how many tasks fit on workers that are given with their racks and slots: on the best rack
/// if the demand needs one rack, otherwise on all.
pub(super) fn best_slots<'a>(demand: &Demand, slots: impl Iterator<Item = (&'a str, u32)>) -> u32 {
    if !demand.same_rack {
        return slots.fold(0, |sum, (_, slots)| sum.saturating_add(slots));
    }
    let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
    for (rack, slots) in slots {
        let sum = racks.entry(rack).or_default();
        *sum = sum.saturating_add(slots);
    }
    racks.into_values().max().unwrap_or(0)
}
