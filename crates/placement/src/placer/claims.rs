//! Claims on guarantees: evicts the jobs that borrowed the capacity and starts the owner's job.

use skylarkpulley_types::Shape;

use super::Placer;
use super::choice::Need;
use crate::instance::Instance;

/// Reports whether a job of this shape can run inside an instance of that shape.
pub(super) fn fits_inside(job: Shape, instance_shape: Shape) -> bool {
    job.accelerators <= instance_shape.accelerators
        && job.workers <= instance_shape.workers
        && (job.workers == 1
            || instance_shape.workers == 1
            || instance_shape.locality <= job.locality)
}

impl Placer {
    /// Returns an unclaimed instance of the guarantee, preferably one with a reservation.
    pub(super) fn unclaimed_instance(&self, guarantee: &str) -> Option<usize> {
        let is_unclaimed =
            |instance: &Instance| instance.guarantee == guarantee && instance.claimant.is_none();
        let all = || (0..self.instances.len()).filter(|ix| is_unclaimed(&self.instances[*ix]));
        all().find(|ix| !self.instances[*ix].members.is_empty()).or_else(|| all().next())
    }

    /// Returns the smallest unclaimed and reserved instance of the team into which the shape fits.
    pub(super) fn team_instance(&self, team: &str, shape: Shape) -> Option<usize> {
        let fits = |ix: &usize| {
            let instance = &self.instances[*ix];
            instance.team == team
                && instance.claimant.is_none()
                && !instance.members.is_empty()
                && fits_inside(shape, instance.shape)
        };
        (0..self.instances.len()).filter(fits).min_by_key(|ix| self.instances[*ix].shape.total())
    }

    /// Starts the job on the instance. The workers that are reserved for the instance are always
    /// sufficient, but workers that are free or have cheaper victims are preferred.
    pub(super) fn start_claim(&mut self, ix: usize, instance: usize) -> Result<(), String> {
        let instance_shape = self.instances[instance].shape;
        let reserved_for_instance = |worker: usize| -> u32 {
            let reserved = self.workers[worker].reserved.iter();
            reserved
                .filter(|reserved| reserved.instance == instance)
                .map(|reserved| reserved.accelerators)
                .sum()
        };
        let capacity =
            |worker: usize| self.workers[worker].lendable() + reserved_for_instance(worker);
        let any_job = |_: usize| true;
        let mut need = self.need(ix, true);
        need.instance = Some(instance);
        let choice =
            self.choose_evicting(&need, instance_shape, &capacity, &any_job).or_else(|| {
                need.skip_failed = false;
                self.choose_evicting(&need, instance_shape, &capacity, &any_job)
            });
        let Some(choice) = choice else {
            let name = &self.instances[instance].name;
            return Err(format!(
                "guarantee {name} is at risk: no set of usable workers has the capacity for it"
            ));
        };
        let unchanged = {
            let mut old = self.instances[instance].members.clone();
            let mut new = choice.workers.clone();
            old.sort_unstable();
            new.sort_unstable();
            old == new
        };
        if unchanged && self.job(ix).consecutive_failures == 0 {
            self.instances[instance].members = choice.workers.clone();
        } else {
            // After a failed placement the reservations are sent to the agents again, because a
            // missing reservation may have been the cause.
            for worker in &choice.workers {
                self.workers[*worker].reserved.retain(|reserved| reserved.instance != instance);
            }
            self.set_members(
                instance,
                &choice.workers,
                "the claim uses other workers than those reserved",
            );
        }
        let workers = &choice.workers[..self.job(ix).spec.shape.workers as usize];
        let name = &self.instances[instance].name;
        let reason = match choice.victims.len() {
            0 => format!("claims {name} on free workers"),
            count => format!(
                "claims {name}; preempts {count} borrowing gangs, which loses {:.0} accelerator \
                 seconds",
                choice.lost_work
            ),
        };
        let workers = workers.to_vec();
        self.place(ix, &workers, Some(instance), true, &choice.victims, reason);
        self.claim(instance, ix);
        Ok(())
    }

    /// Returns the requirements of the job.
    pub(super) fn need(&self, ix: usize, non_preemptible: bool) -> Need {
        let job = self.job(ix);
        Need {
            job: ix,
            shape: job.spec.shape,
            cores: job.spec.cores,
            memory: job.memory,
            non_preemptible,
            end: self.now + self.remaining_run_time(ix),
            backfill_only: false,
            skip_failed: true,
            instance: None,
        }
    }
}
