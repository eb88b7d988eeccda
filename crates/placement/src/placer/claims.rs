//! Claims on guarantees: lending ends, the owner starts.

use skylarkpulley_types::Shape;

use super::Placer;
use super::choice::Need;
use crate::instance::Instance;

/// Reports whether a job of this shape can run inside an instance of that shape.
pub(super) fn fits_inside(job: Shape, whole: Shape) -> bool {
    job.accelerators <= whole.accelerators
        && job.workers <= whole.workers
        && (job.workers == 1 || whole.workers == 1 || whole.locality <= job.locality)
}

impl Placer {
    /// Returns an unclaimed instance of the guarantee, one with a place first.
    pub(super) fn open_instance(&self, guarantee: &str) -> Option<usize> {
        let open =
            |instance: &Instance| instance.guarantee == guarantee && instance.claim.is_none();
        let all = || (0..self.instances.len()).filter(|ix| open(&self.instances[*ix]));
        all().find(|ix| !self.instances[*ix].members.is_empty()).or_else(|| all().next())
    }

    /// Returns an unclaimed instance of the team that can hold the shape, the smallest one.
    pub(super) fn own_instance(&self, team: &str, shape: Shape) -> Option<usize> {
        let fits = |ix: &usize| {
            let instance = &self.instances[*ix];
            instance.team == team
                && instance.claim.is_none()
                && !instance.members.is_empty()
                && fits_inside(shape, instance.shape)
        };
        (0..self.instances.len()).filter(fits).min_by_key(|ix| self.instances[*ix].shape.total())
    }

    /// Starts the job on the instance. The workers the instance has reserved always suffice; free
    /// ones, or ones with cheaper victims, are preferred.
    pub(super) fn start_claim(&mut self, ix: usize, instance: usize) -> Result<(), String> {
        let whole = self.instances[instance].shape;
        let own = |worker: usize| -> u32 {
            let reserved = self.workers[worker].reserved.iter();
            reserved
                .filter(|reserved| reserved.instance == instance)
                .map(|reserved| reserved.accelerators)
                .sum()
        };
        let room = |worker: usize| self.workers[worker].uncovered() + own(worker);
        let any = |_: usize| true;
        let mut need = self.need(ix, true);
        need.instance = Some(instance);
        let choice = self.choose_evicting(&need, whole, &room, &any).or_else(|| {
            need.wary = false;
            self.choose_evicting(&need, whole, &room, &any)
        });
        let Some(choice) = choice else {
            let name = &self.instances[instance].name;
            return Err(format!("guarantee {name} is at risk: no set of workers can hold it"));
        };
        let same = {
            let mut old = self.instances[instance].members.clone();
            let mut new = choice.workers.clone();
            old.sort_unstable();
            new.sort_unstable();
            old == new
        };
        if same && self.job(ix).tries == 0 {
            self.instances[instance].members = choice.workers.clone();
        } else {
            // After a failed try the agents are told again: the reservation may be what was missing.
            for worker in &choice.workers {
                self.workers[*worker].reserved.retain(|reserved| reserved.instance != instance);
            }
            self.set_members(instance, &choice.workers, "claim takes other workers of its shape");
        }
        let workers = &choice.workers[..self.job(ix).spec.shape.workers as usize];
        let name = &self.instances[instance].name;
        let reason = match choice.victims.len() {
            0 => format!("claims {name} on free workers"),
            count => format!(
                "claims {name}; ends {count} borrowed gangs, which loses {:.0} accelerator seconds",
                choice.lost
            ),
        };
        let workers = workers.to_vec();
        self.place(ix, &workers, Some(instance), true, &choice.victims, reason);
        self.claim(instance, ix);
        Ok(())
    }

    pub(super) fn need(&self, ix: usize, non_preemptible: bool) -> Need {
        let job = self.job(ix);
        Need {
            job: ix,
            shape: job.spec.shape,
            cores: job.spec.cores,
            memory: job.memory,
            non_preemptible,
            end: self.now + self.remaining(ix),
            shadowed: false,
            wary: true,
            instance: None,
        }
    }
}
