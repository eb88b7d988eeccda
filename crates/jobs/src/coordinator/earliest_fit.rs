use std::time::Duration;

use super::gang_time::GangTimes;
use super::hold::HoldKind;
use super::pool_view::{PoolView, reserve, select_candidates, to_view_indexes};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Demand, Resources, choose_workers};

/// When a run is expected to end by itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEndTime {
    after: Duration,
    /// Index of its worker among the candidates of the view.
    index: usize,
    resources: Resources,
}

impl Coordinator {
    /// Reserves resources for a blocked unit on the workers where it is expected to fit first.
    /// Without the reservation, smaller work of lower rank could overtake it without end.
    pub(super) fn reserve_earliest(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
    ) {
        if let Some((_, chosen)) = self.earliest_fit(now, unit, demand, view, allowed) {
            let chosen = to_view_indexes(allowed, &chosen);
            reserve(view, unit, HoldKind::RunEnds, demand, &chosen);
        }
    }

    /// Returns the time after which the demand is expected to fit because runs have ended by
    /// themselves, and the workers on which it then fits, as indexes into `allowed`.
    pub(super) fn earliest_fit(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: &[usize],
    ) -> Option<(Duration, Vec<usize>)> {
        if view.run_ends.is_none() {
            view.run_ends = Some(self.run_ends(now, view));
        }
        let mut positions = vec![None; view.candidates.len()];
        for (position, index) in allowed.iter().enumerate() {
            positions[*index] = Some(position);
        }
        let ends: Vec<(usize, &RunEndTime)> = view
            .run_ends
            .iter()
            .flatten()
            .filter_map(|end| Some((positions[end.index]?, end)))
            .collect();
        if ends.is_empty() {
            return None;
        }
        let after_stops =
            self.count_same_step(unit, demand, select_candidates(view, allowed, true));
        let mut candidates = after_stops.clone();
        let mut fit = |count: usize| {
            for (candidate, initial) in candidates.iter_mut().zip(&after_stops) {
                candidate.free = initial.free;
            }
            for (position, end) in &ends[..count] {
                candidates[*position].free.add(&end.resources);
            }
            choose_workers(demand, &candidates)
        };
        // A demand that fits still fits with more free resources, so a binary search finds the
        // first end after which it fits.
        let (mut low, mut high) = (1, ends.len());
        let mut chosen_workers = fit(high)?;
        while low < high {
            let middle = low.midpoint(high);
            match fit(middle) {
                Some(chosen) => (chosen_workers, high) = (chosen, middle),
                None => low = middle + 1,
            }
        }
        Some((ends.get(high - 1)?.1.after, chosen_workers))
    }

    /// Returns when the runs on the candidates are expected to end by themselves, the earliest
    /// first. Lasting runs and runs that are ordered to stop are left out.
    fn run_ends(&self, now: Timestamp, view: &PoolView) -> Vec<RunEndTime> {
        let mut gang_times = GangTimes::new();
        let mut ends = Vec::new();
        for (index, candidate) in view.candidates.iter().enumerate() {
            let Some(worker) = self.fleet.workers.get(&*candidate.id) else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let step = entry.job.steps.get(task.key.step as usize);
                if placement.stopping || step.is_some_and(|step| step.lasting) {
                    continue;
                }
                let after = self.cached_time(now, task, &mut gang_times);
                ends.push(RunEndTime { after, index, resources: entry.resources(task.key.step) });
            }
        }
        ends.sort_by_key(|end| (end.after, end.index));
        ends
    }
}
