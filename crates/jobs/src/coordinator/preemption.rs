use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::absences::Absences;
use super::entry::{JobEntry, Placement};
use super::hold::HoldKind;
use super::pool_view::{PoolView, reserve, select_candidates, to_view_indexes};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::reclaim::{PreemptibleRun, PreemptionPlan, choose_victims};
use crate::{Candidate, Claim, ClaimDecision, Demand, TaskId, decide_claim};

/// How resources become free for a claim.
enum Preemption {
    /// Runs end in time by themselves, on these candidates if they are known.
    Wait(Option<Vec<usize>>),
    /// Other work is stopped.
    Stop {
        claim: Claim,
        plan: PreemptionPlan,
        runs: Vec<PreemptibleRun>,
        /// One task of each group of runs.
        groups: Vec<TaskId>,
    },
}

impl Coordinator {
    /// Stops other work for `unit` if its rank allows it, or reserves the resources of runs that
    /// end in time. Returns `true` if resources become free for the unit.
    pub(super) fn preempt(
        &mut self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
        guaranteed: &BTreeSet<String>,
    ) -> bool {
        let Some(preemption) = self.preemption(now, unit, demand, view, allowed, guaranteed) else {
            return false;
        };
        let Preemption::Stop { claim, plan, runs, groups } = preemption else {
            if let Preemption::Wait(Some(chosen)) = preemption {
                let chosen = to_view_indexes(allowed, &chosen);
                reserve(view, unit, HoldKind::RunEnds, demand, &chosen);
            }
            return true;
        };
        view.run_ends = None;
        for group in &plan.groups {
            let reason = format!(
                "preempted for {} of tier {}, slack {} ms, waited {} ms, the claim destroys {:.0} core-seconds",
                unit.job,
                unit.rank.tier,
                claim.slack_ms,
                claim.waited.as_millis(),
                plan.lost_work
            );
            self.stop_run(&groups[*group], &reason);
        }
        for run in runs.iter().filter(|run| plan.groups.contains(&run.group)) {
            view.future_free[allowed[run.candidate]].add(&run.resources);
        }
        let chosen = to_view_indexes(allowed, &plan.chosen);
        reserve(view, unit, HoldKind::Stops, demand, &chosen);
        true
    }

    /// Reports whether resources would become free for the unit on these candidates by stops, or by
    /// runs that end in time.
    pub(super) fn can_preempt(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
        guaranteed: &BTreeSet<String>,
    ) -> bool {
        let preemption = self.preemption(now, unit, demand, view, allowed, guaranteed);
        preemption.is_some_and(|preemption| !matches!(preemption, Preemption::Wait(None)))
    }

    fn preemption(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
        guaranteed: &BTreeSet<String>,
    ) -> Option<Preemption> {
        let is_guaranteed = unit.rank.tier == 0;
        if !Claim::may_stop(unit.rank.class, is_guaranteed) {
            return None;
        }
        let fit = self.earliest_fit(now, unit, demand, view, allowed);
        let claim = Claim {
            free_after: fit.as_ref().map(|(after, _)| *after),
            guaranteed: is_guaranteed,
            slack_ms: unit.rank.start_ms.cast_signed() - now.wall_ms.cast_signed(),
            waited: unit.waited,
        };
        let max_lost_work = match decide_claim(&claim, self.limits.stop, self.limits.reclaim) {
            ClaimDecision::Wait => return Some(Preemption::Wait(fit.map(|(_, chosen)| chosen))),
            ClaimDecision::Stop { max_lost_work } => max_lost_work,
        };
        let candidates = self.count_same_step(unit, demand, select_candidates(view, allowed, true));
        let (runs, groups) = self.preemptible_runs(now, unit, &candidates, guaranteed);
        let plan = choose_victims(demand, &candidates, &runs)?;
        (plan.lost_work <= max_lost_work).then_some(Preemption::Stop { claim, plan, runs, groups })
    }

    /// Returns the runs that `unit` may stop, and one task of each group.
    fn preemptible_runs(
        &self,
        now: Timestamp,
        unit: &Unit,
        candidates: &[Candidate],
        guaranteed: &BTreeSet<String>,
    ) -> (Vec<PreemptibleRun>, Vec<TaskId>) {
        let mut absences = Absences::default();
        let mut preemptible_runs = Vec::new();
        let mut groups: Vec<TaskId> = Vec::new();
        let mut group_numbers: BTreeMap<(String, u32, u32, u32), usize> = BTreeMap::new();
        for (position, candidate) in candidates.iter().enumerate() {
            let Some(worker) = self.fleet.workers.get(&*candidate.id) else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let may_stop = entry.job.class > unit.rank.class || unit.rank.tier == 0;
                if placement.stopping || !may_stop || guaranteed.contains(&task.job) {
                    continue;
                }
                if !absences.permits_stop(entry, task, unit.rank.tier == 0) {
                    continue;
                }
                let gang = entry.is_gang(task.key.step);
                let index = if gang { u32::MAX } else { task.key.index };
                let group_key = (task.job.clone(), task.key.occurrence, task.key.step, index);
                let group = *group_numbers.entry(group_key).or_insert_with(|| {
                    groups.push(task.clone());
                    groups.len() - 1
                });
                let lost_work = self.lost_work(now, task, placement);
                let members = if gang { entry.members(&task.key).len() } else { 1 };
                preemptible_runs.push(PreemptibleRun {
                    candidate: position,
                    group,
                    lost_work: lost_work * members as f64,
                    resources: entry.resources(task.key.step),
                });
            }
        }
        (preemptible_runs, groups)
    }

    /// Returns the work in core-seconds that is lost when a run stops now.
    fn lost_work(&self, now: Timestamp, task: &TaskId, placement: &Placement) -> f64 {
        let Some(entry) = self.jobs.get(&task.job) else { return 0.0 };
        let run_time = now.monotonic.saturating_duration_since(placement.placed_at);
        let unsaved = self.unsaved_time(entry, task.key.step, run_time);
        unsaved.as_secs_f64() * entry.resources(task.key.step).weight()
    }

    /// Returns how much of `run_time` is lost when a run of the step stops.
    pub(super) fn unsaved_time(&self, entry: &JobEntry, step: u32, run_time: Duration) -> Duration {
        let checkpoints = entry.job.steps.get(step as usize).is_some_and(|step| step.checkpoints);
        if checkpoints { run_time.min(self.limits.checkpoint) } else { run_time }
    }
}
