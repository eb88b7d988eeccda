use std::collections::{BTreeMap, BTreeSet};

use super::absences::Absences;
use super::entry::Placement;
use super::planning::{PoolView, keep_free, map_back, with_free};
use super::units::Unit;
use super::{Coordinator, Moment};
use crate::reclaim::{Holder, choose_victims};
use crate::{Candidate, Claim, Demand, Eviction, TaskId, judge_claim};

impl Coordinator {
    /// Stops other work for `unit` when its rank allows that; `true` when room will be free.
    pub(super) fn reclaim(
        &mut self,
        now: Moment,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
        guaranteed: &BTreeSet<String>,
    ) -> bool {
        let protected = unit.rank.tier == 0;
        if !Claim::may_stop(unit.rank.class, protected) {
            return false;
        }
        let vacancy = self.vacancy(now, unit, demand, view, allowed);
        let claim = Claim {
            guaranteed: protected,
            slack_ms: unit.rank.start_ms.cast_signed() - now.wall_ms.cast_signed(),
            vacancy: vacancy.as_ref().map(|(after, _)| *after),
            waited: unit.waited,
        };
        let limit = match judge_claim(&claim, self.limits.stop, self.limits.reclaim) {
            Eviction::Wait => {
                if let Some((_, chosen)) = vacancy {
                    keep_free(view, demand, &map_back(allowed, &chosen));
                }
                return true;
            }
            Eviction::Stop { waste } => waste,
        };
        let candidates = self.with_same(unit, with_free(view, allowed, true));
        let (holders, groups) = self.holders(now, unit, &candidates, guaranteed);
        let Some(plan) = choose_victims(demand, &candidates, &holders) else { return false };
        if plan.waste > limit {
            return false;
        }
        for group in &plan.groups {
            let reason = format!("room for {} of rank {}", unit.job, unit.rank.tier);
            self.stop_run(&groups[*group], &reason);
        }
        for holder in holders.iter().filter(|holder| plan.groups.contains(&holder.group)) {
            view.soon[allowed[holder.candidate]].add(&holder.resources);
        }
        keep_free(view, demand, &map_back(allowed, &plan.chosen));
        true
    }

    /// Returns the runs that `unit` may stop, and a task of each group.
    fn holders(
        &self,
        now: Moment,
        unit: &Unit,
        candidates: &[Candidate],
        guaranteed: &BTreeSet<String>,
    ) -> (Vec<Holder>, Vec<TaskId>) {
        let mut absences = Absences::default();
        let mut holders = Vec::new();
        let mut groups: Vec<TaskId> = Vec::new();
        let mut numbers: BTreeMap<(String, u32, u32, u32), usize> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(worker) = self.fleet.workers.get(&candidate.id) else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let lower = entry.job.class > unit.rank.class || unit.rank.tier == 0;
                if placement.stop || !lower || guaranteed.contains(&task.job) {
                    continue;
                }
                if !absences.permits(entry, task, unit.rank.tier == 0) {
                    continue;
                }
                let gang = entry.is_gang(task.key.step);
                let single = if gang { u32::MAX } else { task.key.index };
                let name = (task.job.clone(), task.key.occurrence, task.key.step, single);
                let group = *numbers.entry(name).or_insert_with(|| {
                    groups.push(task.clone());
                    groups.len() - 1
                });
                let waste = self.waste(now, task, placement);
                let members = if gang { entry.members(&task.key).len() } else { 1 };
                holders.push(Holder {
                    candidate: index,
                    group,
                    resources: entry.resources(task.key.step),
                    waste: waste * members as f64,
                });
            }
        }
        (holders, groups)
    }

    /// Returns the core-seconds that are lost when a run stops now.
    fn waste(&self, now: Moment, task: &TaskId, placement: &Placement) -> f64 {
        let Some(entry) = self.jobs.get(&task.job) else { return 0.0 };
        let step = entry.job.steps.get(task.key.step as usize);
        let mut lost = now.at.saturating_duration_since(placement.since).as_secs_f64();
        if step.is_some_and(|step| step.checkpoints) {
            lost = lost.min(1.0);
        }
        lost * entry.resources(task.key.step).weight()
    }
}
