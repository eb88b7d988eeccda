use super::planning::MAX_NEAR_WAIT;
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Candidate, Demand, FleetWorker, Resources, StepId, choose_workers};

/// How many times the resources of a gang must be free before it is spread over several racks. The
/// slower tasks then take nothing away from other work.
const SPREAD_FACTOR: u32 = 2;

impl Coordinator {
    /// Records since when each worker has been closed for new work.
    pub(super) fn track_closed(&mut self, now: Timestamp) {
        for worker in self.fleet.workers.values_mut() {
            if worker.is_open(now.monotonic) {
                worker.closed_since = None;
            } else {
                worker.closed_since.get_or_insert(now.monotonic);
            }
        }
    }

    /// Reports whether the workers of any one rack that are open, or expected back soon, can run the
    /// whole demand once their runs have ended. Workers that lasting tasks hold, or that the
    /// placement policy has rejected, do not count.
    pub(super) fn any_rack_fits(&self, now: Timestamp, unit: &Unit, demand: &Demand) -> bool {
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let Some(first) = unit.keys.first() else { return false };
        let Some(step) = entry.job.steps.get(first.step as usize) else { return false };
        let step_id = StepId::new(&unit.job, first);
        let may_run = |worker: &FleetWorker| {
            let labels = &worker.status.labels;
            worker.is_expected(now.monotonic)
                && step.label.as_ref().is_none_or(|label| labels.contains(label))
                && !(entry.job.advised && self.advice.is_rejected(&step_id, &worker.status.id))
        };
        self.fleet.racks(&entry.job.pool).values().any(|members| {
            let workers = members.iter().filter_map(|id| self.fleet.workers.get(*id));
            let slots = workers
                .filter(|worker| may_run(worker))
                .map(|worker| demand.slots(&self.temporary_resources(worker), 0));
            slots.sum::<u32>() >= demand.count
        })
    }

    /// Returns the resources of a worker without those that lasting tasks hold.
    fn temporary_resources(&self, worker: &FleetWorker) -> Resources {
        let mut resources = worker.status.resources;
        for task in worker.runs.keys() {
            let Some(entry) = self.jobs.get(&task.job) else { continue };
            if entry.job.steps.get(task.key.step as usize).is_some_and(|step| step.lasting) {
                resources.subtract(&entry.resources(task.key.step));
            }
        }
        resources
    }

    /// Chooses workers on several racks for a gang that has waited for one rack long enough.
    ///
    /// Load pattern: workers are gone and small runs come and go on those that remain, so that no
    /// rack is ever free as a whole while most of the pool is idle.
    pub(super) fn choose_racks(
        unit: &Unit,
        demand: &Demand,
        candidates: &[Candidate],
    ) -> Option<Vec<usize>> {
        if !demand.same_rack || unit.waited < MAX_NEAR_WAIT {
            return None;
        }
        let anywhere = Demand { same_rack: false, ..demand.clone() };
        let twice = Demand { count: demand.count * SPREAD_FACTOR, ..anywhere.clone() };
        choose_workers(&twice, candidates)?;
        choose_workers(&anywhere, candidates)
    }
}
