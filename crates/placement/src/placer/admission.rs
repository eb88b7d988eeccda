//! Accepts jobs, and refuses those that can never run.

use std::time::Duration;

use skylarkpulley_types::{Locality, Shape};

use super::choice::Need;
use super::claims::fits_inside;
use super::{Placer, Refused};
use crate::job::Job;
use crate::pack::{Slot, pack};
use crate::{Action, JobSpec, Preemption};

/// Refused jobs that are remembered, and for how long.
const REFUSED: usize = 1000;
const REFUSED_PERIOD: Duration = Duration::from_secs(24 * 3600);
const BUDGET: u32 = 2000;

/// Why a job can never run, and what would make it fit.
type Refusal = (String, String);

impl Placer {
    pub(super) fn submit(&mut self, spec: JobSpec) {
        if let Some(ix) = self.by_id.get(&spec.id).copied() {
            return self.complete_stub(ix, spec);
        }
        if let Err((reason, remedy)) = self.check(&spec) {
            self.out.push(Action::Refuse { job: spec.id.clone(), reason: reason.clone(), remedy });
            return self.remember(spec, reason);
        }
        self.epoch = self.epoch.max(spec.epoch);
        let ix = self.add_job(Job::new(spec, self.now));
        self.job_mut(ix).edit = self.edit;
        self.enqueue(ix);
    }

    /// Completes a job that was known only from reports.
    fn complete_stub(&mut self, ix: usize, spec: JobSpec) {
        if !self.job(ix).stub {
            return;
        }
        self.account(ix, false);
        let now = self.now;
        let team = self.team(&spec.team);
        let estimate = self.estimates.key(&spec.team, &spec.kind);
        let job = self.job_mut(ix);
        (job.team, job.estimate) = (team, estimate);
        job.stub = false;
        job.progress = spec.progress;
        job.submitted = now.checked_sub(spec.waited).unwrap_or(now);
        job.memory = spec.memory_mib;
        job.spec = spec;
        let (cores, memory) = (job.spec.cores, job.memory);
        let members = job.members.clone();
        self.account(ix, true);
        for (worker, _) in members {
            for grant in self.workers[worker].grants.iter_mut().filter(|grant| grant.job == ix) {
                (grant.cores, grant.memory) = (cores, memory);
            }
        }
    }

    fn remember(&mut self, spec: JobSpec, reason: String) {
        self.refused.retain(|refused| refused.spec.id != spec.id);
        if self.refused.len() == REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(Refused { at: self.now, spec, reason });
    }

    /// Reports refused jobs that would fit the edited pool.
    pub(super) fn review_refused(&mut self) {
        let now = self.now;
        self.refused.retain(|refused| now - refused.at < REFUSED_PERIOD);
        for refused in std::mem::take(&mut self.refused) {
            if self.check(&refused.spec).is_ok() {
                let Refused { spec, reason, .. } = refused;
                self.out.push(Action::FitsNow { job: spec.id, reason });
            } else {
                self.refused.push_back(refused);
            }
        }
    }

    /// Refuses waiting jobs that can never run on the edited pool.
    pub(super) fn review_waiting(&mut self) {
        for ix in 0..self.jobs.len() {
            if self.jobs[ix].as_ref().is_some_and(Job::is_waiting) {
                self.review(ix);
            }
        }
    }

    /// Checks a waiting job against the current edit of the pool; refuses it when it cannot run.
    pub(super) fn review(&mut self, ix: usize) -> bool {
        if self.job(ix).edit == self.edit {
            return true;
        }
        let spec = self.job(ix).spec.clone();
        let Err((reason, remedy)) = self.check(&spec) else {
            self.job_mut(ix).edit = self.edit;
            return true;
        };
        self.remove_job(ix);
        self.out.push(Action::Refuse { job: spec.id.clone(), reason: reason.clone(), remedy });
        self.remember(spec, reason);
        false
    }

    fn check(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let pool = &self.pool;
        if pool.team(&spec.team).is_none() {
            let reason = format!("team {} has no share in pool {}", spec.team, pool.name);
            return Err((reason, "add the team to the pool".to_owned()));
        }
        self.check_shape(spec.shape)?;
        if pool.cores > 0 && spec.cores > pool.cores {
            let reason = format!("{} cores per worker; workers have {}", spec.cores, pool.cores);
            return Err((reason, format!("at most {} cores per worker", pool.cores)));
        }
        if pool.memory_mib > 0 && spec.memory_mib > pool.memory_mib {
            let have = pool.memory_mib;
            let reason = format!("{} MiB per worker; workers have {have} MiB", spec.memory_mib);
            return Err((reason, format!("at most {have} MiB per worker")));
        }
        let non_preemptible = spec.preemption == Preemption::Never || spec.claim.is_some();
        if non_preemptible {
            self.check_part(spec)?;
        }
        if let Some(name) = &spec.claim {
            return self.check_claim(spec, name);
        }
        if spec.preemption == Preemption::Never {
            return self.check_never(spec);
        }
        Ok(())
    }

    fn check_shape(&self, shape: Shape) -> Result<(), Refusal> {
        let pool = &self.pool;
        if shape.accelerators == 0 || shape.workers == 0 {
            let reason = format!("shape {shape} is empty");
            return Err((reason, "at least 1 accelerator on 1 worker".to_owned()));
        }
        if shape.accelerators > pool.accelerators {
            let have = pool.accelerators;
            let reason = format!("{} accelerators per worker", shape.accelerators);
            let reason = format!("{reason}; workers of pool {} have {have}", pool.name);
            let workers = shape.total().div_ceil(have.max(1));
            return Err((
                reason,
                format!("at most {have} per worker, for example {have}x{workers}"),
            ));
        }
        let most = self.most_workers(shape.locality);
        if shape.workers <= most {
            return Ok(());
        }
        let reason =
            format!("{} workers within one {}; there are {most}", shape.workers, shape.locality);
        let wider = [Locality::Rack, Locality::Domain, Locality::Pool];
        let wider = wider.into_iter().find(|locality| {
            *locality > shape.locality && self.most_workers(*locality) >= shape.workers
        });
        Err((
            reason,
            match wider {
                Some(locality) => format!("at most {most} workers, or locality {locality}"),
                None => format!("at most {most} workers"),
            },
        ))
    }

    /// Returns the described number of workers in the largest set.
    fn most_workers(&self, locality: Locality) -> u32 {
        let domains = self.pool.domains.iter();
        match locality {
            Locality::Worker => self.pool.worker_count().min(1),
            Locality::Rack => domains.flat_map(|one| &one.racks).copied().max().unwrap_or(0),
            Locality::Domain => domains.map(|one| one.racks.iter().sum()).max().unwrap_or(0),
            Locality::Pool => self.pool.worker_count(),
        }
    }

    fn check_part(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let need = Need {
            job: 0,
            shape: spec.shape,
            cores: spec.cores,
            memory: spec.memory_mib,
            non_preemptible: true,
            end: self.now,
            shadowed: false,
            wary: false,
            instance: None,
        };
        if self.is_proportional(&need) {
            return Ok(());
        }
        let reason = format!(
            "{} cores and {} MiB beside {} of {} accelerators: work that is not lent capacity may \
             use only the same part of a worker's cores and memory",
            spec.cores, spec.memory_mib, spec.shape.accelerators, self.pool.accelerators
        );
        Err((reason, "fewer cores and memory, more accelerators, or preemptible work".to_owned()))
    }

    fn check_claim(&self, spec: &JobSpec, name: &str) -> Result<(), Refusal> {
        let Some(guarantee) = self.pool.guarantee(name) else {
            let reason = format!("pool {} has no guarantee {name}", self.pool.name);
            return Err((reason, "claim an existing guarantee or none".to_owned()));
        };
        if guarantee.team != spec.team {
            let reason = format!("guarantee {name} belongs to team {}", guarantee.team);
            return Err((reason, "claim a guarantee of the job's own team or none".to_owned()));
        }
        if !fits_inside(spec.shape, guarantee.shape) {
            let reason = format!(
                "shape {} does not fit guarantee {name} of {}",
                spec.shape, guarantee.shape
            );
            return Err((reason, format!("a shape within {}", guarantee.shape)));
        }
        Ok(())
    }

    /// Work that must not be preempted needs room beside all guarantees, or one of its own team's.
    fn check_never(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let own = self.pool.guarantees.iter().any(|guarantee| {
            guarantee.team == spec.team
                && guarantee.count > 0
                && fits_inside(spec.shape, guarantee.shape)
        });
        if own || self.fits_beside_guarantees(spec.shape) {
            return Ok(());
        }
        let reason = format!(
            "{} of non-preemptible work fits neither a guarantee of team {} nor the capacity that \
             no guarantee covers",
            spec.shape, spec.team
        );
        Err((reason, "preemption by checkpoint or stop, or a smaller shape".to_owned()))
    }

    fn fits_beside_guarantees(&self, shape: Shape) -> bool {
        let mut slots = Vec::new();
        let mut rack_ix = 0;
        for (domain, described) in self.pool.domains.iter().enumerate() {
            for count in &described.racks {
                rack_ix += 1;
                for _ in 0..*count {
                    slots.push(Slot {
                        worker: slots.len(),
                        rack: rack_ix,
                        domain,
                        room: self.pool.accelerators,
                        cost: 0,
                    });
                }
            }
        }
        let mut shapes: Vec<Shape> = self.instances.iter().map(|one| one.shape).collect();
        shapes.push(shape);
        pack(&slots, &shapes, &mut BUDGET.clone()).is_some()
    }
}
