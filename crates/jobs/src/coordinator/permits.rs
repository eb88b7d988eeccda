use super::pool_view::{PoolView, select_candidates};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Demand, StepId, choose_workers};

impl Coordinator {
    /// Returns the candidates with a permit of the placement policy. Requests further permits if
    /// these are too few, or if the demand would fit now with others but does not fit on these.
    ///
    /// Load pattern: the workers that a step has permits for are held by other work, some of it
    /// lasting, or lie on different racks.
    pub(super) fn with_permits(
        &mut self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
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
            self.advice.permit(&step, id, incarnation(id), now.monotonic).is_some()
        };
        let (with_permit, mut others): (Vec<usize>, Vec<usize>) =
            allowed.into_iter().partition(|index| permits(index));
        others.retain(|index| !self.advice.is_rejected(&step, &view.candidates[*index].id));
        let chosen = self.choose_unpermitted(unit, demand, view, &with_permit, &others);
        if with_permit.len() >= unit.keys.len() && chosen.is_none() {
            return with_permit;
        }
        let chosen = chosen.unwrap_or_default();
        others.sort_by_key(|index| {
            let accelerators = view.candidates[*index].free.accelerators;
            (!chosen.contains(index), std::cmp::Reverse(accelerators))
        });
        let ids: Vec<String> =
            others.iter().map(|index| view.candidates[*index].id.to_string()).collect();
        self.advice.want(&step, &ids);
        with_permit
    }

    /// Returns the workers without a permit on which tasks would be placed now if all had one; `None`
    /// if the demand fits on those with a permit, or on no workers. There may be no such worker: a
    /// gang is spread over several racks only if twice its resources are free.
    fn choose_unpermitted(
        &self,
        unit: &Unit,
        demand: &Demand,
        view: &PoolView,
        with_permit: &[usize],
        others: &[usize],
    ) -> Option<Vec<usize>> {
        let choose = |allowed: &[usize]| {
            let candidates = select_candidates(view, allowed, false);
            let candidates = self.count_same_step(unit, demand, candidates);
            choose_workers(demand, &candidates)
                .or_else(|| Self::choose_racks(unit, demand, &candidates))
        };
        if others.is_empty() || choose(with_permit).is_some() {
            return None;
        }
        let all = [with_permit, others].concat();
        let chosen = choose(&all)?.into_iter().map(|position| all[position]);
        Some(chosen.filter(|index| others.contains(index)).collect())
    }
}
