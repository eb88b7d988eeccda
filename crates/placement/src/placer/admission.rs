//! Accepts jobs, and refuses those that can never run.

use std::time::Duration;

use skylarkpulley_types::{Locality, Shape};

use super::choice::Need;
use super::claims::fits_inside;
use super::{Placer, RefusedJob};
use crate::job::Job;
use crate::pack::{Slot, pack};
use crate::{Action, JobSpec, Preemption};

/// Refused jobs are kept up to this number, so that they can be checked again after a pool edit.
const MAX_REFUSED_JOBS: usize = 1000;
/// Refused jobs are kept for this time.
const REFUSED_JOB_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Selections tried when a shape is checked against the capacity outside all guarantees.
const SEARCH_BUDGET: u32 = 2000;

/// Why a job can never run, and which change would make it fit.
type Refusal = (String, String);

impl Placer {
    pub(super) fn submit(&mut self, spec: JobSpec) {
        if let Some(ix) = self.job_indices.get(&spec.id).copied() {
            return self.complete_placeholder(ix, spec);
        }
        if let Err((reason, remedy)) = self.check(&spec) {
            self.actions.push(Action::Refuse {
                job: spec.id.clone(),
                reason: reason.clone(),
                remedy,
            });
            return self.record_refused(spec, reason);
        }
        self.epoch = self.epoch.max(spec.epoch);
        let ix = self.add_job(Job::new(spec, self.now));
        self.job_mut(ix).checked_version = self.pool_version;
        self.enqueue(ix);
    }

    /// Completes a placeholder, which was known only from reports, with its submitted spec.
    fn complete_placeholder(&mut self, ix: usize, spec: JobSpec) {
        if !self.job(ix).placeholder {
            return;
        }
        self.update_usage(ix, false);
        let now = self.now;
        let team = self.team_index(&spec.team);
        let estimate = self.estimates.key(&spec.team, &spec.kind);
        let job = self.job_mut(ix);
        (job.team, job.estimate) = (team, estimate);
        job.placeholder = false;
        job.progress = spec.progress;
        job.lost_starts += spec.lost_starts;
        job.submitted_at = now.checked_sub(spec.waited).unwrap_or(now);
        job.memory = spec.memory_mib;
        job.spec = spec;
        let (cores, memory) = (job.spec.cores, job.memory);
        let members = job.members.clone();
        self.update_usage(ix, true);
        for (worker, _) in members {
            for grant in self.workers[worker].grants.iter_mut().filter(|grant| grant.job == ix) {
                (grant.cores, grant.memory) = (cores, memory);
            }
        }
    }

    fn record_refused(&mut self, spec: JobSpec, reason: String) {
        self.refused.retain(|refused| refused.spec.id != spec.id);
        if self.refused.len() == MAX_REFUSED_JOBS {
            self.refused.pop_front();
        }
        self.refused.push_back(RefusedJob { refused_at: self.now, spec, reason });
    }

    /// Reports refused jobs that fit the edited pool.
    pub(super) fn recheck_refused(&mut self) {
        let now = self.now;
        self.refused.retain(|refused| now - refused.refused_at < REFUSED_JOB_RETENTION);
        for refused in std::mem::take(&mut self.refused) {
            if self.check(&refused.spec).is_ok() {
                let RefusedJob { spec, reason, .. } = refused;
                self.actions.push(Action::FitsNow { job: spec.id, reason });
            } else {
                self.refused.push_back(refused);
            }
        }
    }

    /// Refuses waiting jobs that cannot run on the edited pool.
    pub(super) fn recheck_waiting(&mut self) {
        for ix in 0..self.jobs.len() {
            if self.jobs[ix].as_ref().is_some_and(Job::is_waiting) {
                self.recheck(ix);
            }
        }
    }

    /// Checks a waiting job against the current version of the pool, and refuses it when it cannot
    /// run. Reports whether the job can run.
    pub(super) fn recheck(&mut self, ix: usize) -> bool {
        if self.job(ix).checked_version == self.pool_version {
            return true;
        }
        let spec = self.job(ix).spec.clone();
        let Err((reason, remedy)) = self.check(&spec) else {
            self.job_mut(ix).checked_version = self.pool_version;
            return true;
        };
        self.remove_job(ix);
        self.actions.push(Action::Refuse { job: spec.id.clone(), reason: reason.clone(), remedy });
        self.record_refused(spec, reason);
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
            let available = pool.memory_mib;
            let reason =
                format!("{} MiB per worker; workers have {available} MiB", spec.memory_mib);
            return Err((reason, format!("at most {available} MiB per worker")));
        }
        let non_preemptible = spec.preemption == Preemption::Never || spec.claim.is_some();
        if non_preemptible {
            self.check_proportion(spec)?;
        }
        if let Some(name) = &spec.claim {
            return self.check_claim(spec, name);
        }
        if spec.preemption == Preemption::Never {
            return self.check_non_preemptible(spec);
        }
        Ok(())
    }

    fn check_shape(&self, shape: Shape) -> Result<(), Refusal> {
        let pool = &self.pool;
        if shape.accelerators == 0 || shape.workers == 0 {
            let reason = format!("shape {shape} has no accelerators or no workers");
            return Err((reason, "at least 1 accelerator on 1 worker".to_owned()));
        }
        if shape.accelerators > pool.accelerators {
            let available = pool.accelerators;
            let reason = format!("{} accelerators per worker", shape.accelerators);
            let reason = format!("{reason}; workers of pool {} have {available}", pool.name);
            let workers = shape.total().div_ceil(available.max(1));
            return Err((
                reason,
                format!("at most {available} per worker, for example {available}x{workers}"),
            ));
        }
        let max_workers = self.max_workers_within(shape.locality);
        if shape.workers <= max_workers {
            return Ok(());
        }
        let reason = format!(
            "{} workers within one {}; there are {max_workers}",
            shape.workers, shape.locality
        );
        let wider = [Locality::Rack, Locality::Domain, Locality::Pool];
        let wider = wider.into_iter().find(|locality| {
            *locality > shape.locality && self.max_workers_within(*locality) >= shape.workers
        });
        Err((
            reason,
            match wider {
                Some(locality) => format!("at most {max_workers} workers, or locality {locality}"),
                None => format!("at most {max_workers} workers"),
            },
        ))
    }

    /// Returns the described number of workers in the largest set of the given locality.
    fn max_workers_within(&self, locality: Locality) -> u32 {
        let domains = self.pool.domains.iter();
        match locality {
            Locality::Worker => self.pool.worker_count().min(1),
            Locality::Rack => domains.flat_map(|domain| &domain.racks).copied().max().unwrap_or(0),
            Locality::Domain => domains.map(|domain| domain.racks.iter().sum()).max().unwrap_or(0),
            Locality::Pool => self.pool.worker_count(),
        }
    }

    fn check_proportion(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let need = Need {
            job: 0,
            shape: spec.shape,
            cores: spec.cores,
            memory: spec.memory_mib,
            non_preemptible: true,
            end: self.now,
            backfill_only: false,
            skip_failed: false,
            instance: None,
        };
        if self.is_proportional(&need) {
            return Ok(());
        }
        let reason = format!(
            "{} cores and {} MiB with {} of {} accelerators: work that does not run on borrowed \
             capacity may use only the same share of a worker's cores and memory",
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

    /// Work that must not be preempted has to fit a guarantee of its own team or the capacity that
    /// no guarantee covers.
    fn check_non_preemptible(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let fits_own_guarantee = self.pool.guarantees.iter().any(|guarantee| {
            guarantee.team == spec.team
                && guarantee.count > 0
                && fits_inside(spec.shape, guarantee.shape)
        });
        if fits_own_guarantee || self.fits_outside_guarantees(spec.shape) {
            return Ok(());
        }
        let reason = format!(
            "{} of non-preemptible work fits neither a guarantee of team {} nor the capacity that \
             no guarantee covers",
            spec.shape, spec.team
        );
        Err((reason, "preemption by checkpoint or stop, or a smaller shape".to_owned()))
    }

    fn fits_outside_guarantees(&self, shape: Shape) -> bool {
        let mut slots = Vec::new();
        let mut rack_ix = 0;
        for (domain, domain_description) in self.pool.domains.iter().enumerate() {
            for count in &domain_description.racks {
                rack_ix += 1;
                for _ in 0..*count {
                    slots.push(Slot {
                        worker: slots.len(),
                        rack: rack_ix,
                        domain,
                        capacity: self.pool.accelerators,
                        cost: 0,
                    });
                }
            }
        }
        let mut shapes: Vec<Shape> = self.instances.iter().map(|instance| instance.shape).collect();
        shapes.push(shape);
        pack(&slots, &shapes, &mut SEARCH_BUDGET.clone()).is_some()
    }
}
