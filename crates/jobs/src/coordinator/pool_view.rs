use super::earliest_fit::RunEndTime;
use super::hold::{Hold, HoldKind};
use super::pace::PaceUse;
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Candidate, Demand, Normal, Resources, StepId};

/// Workers of one pool during one round of planning.
#[derive(Clone)]
pub(super) struct PoolView {
    pub(super) candidates: Vec<Candidate>,
    /// Resources that are free once the runs that are ordered to stop have ended.
    pub(super) future_free: Vec<Resources>,
    /// Resources that are reserved in this round.
    pub(super) holds: Vec<Hold>,
    /// When the runs on the candidates are expected to end by themselves, the earliest first.
    /// `None` until a claim needs them, and after runs were ordered to stop.
    pub(super) run_ends: Option<Vec<RunEndTime>>,
    /// Which use is made of the speeds of the workers.
    pub(super) pace_use: PaceUse,
    pub(super) reservations: usize,
    /// Logarithm of the slowness of each candidate; empty if it is not used.
    pub(super) slowness: Vec<Normal>,
    /// Resources that lasting tasks did not hold at the start of the round.
    pub(super) temporary: Vec<Resources>,
}

impl Coordinator {
    pub(super) fn pool_view(&self, pool: &str, now: Timestamp) -> PoolView {
        let mut view = PoolView {
            candidates: Vec::new(),
            future_free: Vec::new(),
            holds: Vec::new(),
            run_ends: None,
            pace_use: PaceUse::default(),
            reservations: 0,
            slowness: Vec::new(),
            temporary: Vec::new(),
        };
        for (id, worker) in &self.fleet.workers {
            if worker.status.pool != pool || !worker.is_open(now.monotonic) {
                continue;
            }
            let mut future_free = worker.free();
            let mut temporary = worker.status.resources;
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                if entry.job.steps.get(task.key.step as usize).is_some_and(|step| step.lasting) {
                    temporary.subtract(&entry.resources(task.key.step));
                }
                if entry.placement(&task.key).is_some_and(|placement| placement.stopping) {
                    future_free.add(&entry.resources(task.key.step));
                }
            }
            view.candidates.push(Candidate {
                free: worker.free(),
                id: id.as_str().into(),
                late: 0,
                pace: 0,
                penalty: worker.health.penalty(),
                rack: worker.status.rack.as_str().into(),
                same_step: 0,
            });
            if self.run_times.is_used() {
                view.slowness.push(self.run_times.slowness(id, now.monotonic));
            }
            view.future_free.push(future_free);
            view.temporary.push(temporary);
        }
        view.pace_use = PaceUse::new(&view.slowness);
        view
    }
}

/// Returns the candidates with the given indexes, with the resources that are free now or after the
/// stops that are ordered.
pub(super) fn select_candidates(
    view: &PoolView,
    allowed: &[usize],
    after_stops: bool,
) -> Vec<Candidate> {
    allowed
        .iter()
        .map(|index| {
            let mut candidate = view.candidates[*index].clone();
            if after_stops {
                candidate.free = view.future_free[*index];
            }
            candidate
        })
        .collect()
}

/// Maps indexes into `allowed` to indexes into the view.
pub(super) fn to_view_indexes(allowed: &[usize], chosen: &[usize]) -> Vec<usize> {
    chosen.iter().map(|index| allowed[*index]).collect()
}

/// Removes the resources of a demand from the view without placing it, so that they stay reserved.
pub(super) fn reserve(
    view: &mut PoolView,
    unit: &Unit,
    kind: HoldKind,
    demand: &Demand,
    chosen: &[usize],
) {
    if let Some(first) = unit.keys.first() {
        let workers = chosen.iter().map(|index| view.candidates[*index].id.clone()).collect();
        let (resources, step) = (demand.resources, StepId::new(&unit.job, first));
        view.holds.push(Hold { kind, resources, step, workers });
    }
    subtract_demand(view, demand, chosen);
}

/// Removes the resources of a demand from the view.
pub(super) fn subtract_demand(view: &mut PoolView, demand: &Demand, chosen: &[usize]) {
    for index in chosen {
        view.candidates[*index].free.subtract(&demand.resources);
        view.future_free[*index].subtract(&demand.resources);
    }
}
