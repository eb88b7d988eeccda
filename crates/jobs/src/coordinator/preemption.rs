use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::entry::Placement;
use super::planning::{PoolView, keep_free, map_back, with_room};
use super::units::Unit;
use super::{Coordinator, Moment};
use crate::reclaim::{Holder, choose_victims};
use crate::{Candidate, Demand, TaskId};

/// Core-seconds that a claim of class 0 outside its guarantee may cost others: less than the work
/// of a typical gang, whose worth is about that of the claim.
const BORROWED_WASTE: f64 = 200.0;

/// Wait of a job of class 0 before it may stop other work that would be lost. Its slack is about
/// 1.5 s, and a stop takes up to 0.9 s.
const BORROWED_WAIT: Duration = Duration::from_millis(250);

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
        let Some(limit) = waste_limit(unit) else { return false };
        let candidates = self.with_same(unit, with_room(view, allowed, true));
        let (holders, groups) = self.holders(now, unit, &candidates, guaranteed);
        let Some(plan) = choose_victims(demand, &candidates, &holders) else { return false };
        if plan.waste > limit {
            return false;
        }
        if protected && unit.waited < BORROWED_WAIT && plan.waste > BORROWED_WASTE {
            // Work may end by itself in the meantime.
            keep_free(view, demand, &map_back(allowed, &plan.chosen));
            return true;
        }
        for group in &plan.groups {
            let reason = format!("room for {} of rank {}", unit.job, unit.rank.tier);
            self.stop_run(&groups[*group], &reason);
        }
        for holder in holders.iter().filter(|holder| plan.groups.contains(&holder.group)) {
            view.soon[allowed[holder.candidate]].add(&holder.room);
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
        let mut holders = Vec::new();
        let mut groups: Vec<TaskId> = Vec::new();
        let mut numbers: BTreeMap<(String, u32, u32, u32), usize> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(worker) = self.fleet.workers.get(&candidate.id) else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let lower = entry.job.class > unit.rank.class || unit.rank.tier == 0;
                // Tasks that last serve users of their own, who count each absence.
                let lasting =
                    entry.job.steps.get(task.key.step as usize).is_some_and(|step| step.lasting);
                if placement.stop || !lower || lasting || guaranteed.contains(&task.job) {
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
                    room: entry.room(task.key.step),
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
        lost * entry.room(task.key.step).weight()
    }
}

/// Returns the core-seconds of other work that `unit` may cost now, `None` when it may stop none.
///
/// Load pattern: bulk work of a low class fills the pool, and short urgent work arrives beside it.
fn waste_limit(unit: &Unit) -> Option<f64> {
    if unit.rank.tier == 0 {
        return Some(f64::INFINITY);
    }
    if unit.rank.class == 0 {
        return (unit.waited >= BORROWED_WAIT).then_some(BORROWED_WASTE);
    }
    None
}
