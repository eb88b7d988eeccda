//! Status of the pool and of single jobs.

use std::time::{Duration, Instant};

use super::Placer;
use crate::job::State;
use crate::{InstanceStatus, JobStatus, Status, WorkerStatus, usable_accelerators};

impl Placer {
    /// Returns a status snapshot of the pool, sorted by name.
    pub fn status(&self) -> Status {
        let alive = || self.workers.iter().filter(|worker| worker.alive);
        let mut workers: Vec<WorkerStatus> = alive()
            .map(|worker| WorkerStatus {
                agent: worker.agent.clone(),
                domain: self.domains[worker.domain].clone(),
                rack: self.rack_names[worker.rack].1.clone(),
                accelerators: worker.accelerators,
                used: worker.used(),
                non_preemptible: worker.non_preemptible(),
                reserved: worker.reserved(),
                reported: worker.reported,
                usable: worker.is_usable() && !worker.is_avoided(self.now),
                quarantined: worker.quarantine.is_some(),
                draining: worker.draining,
            })
            .collect();
        workers.sort_by(|a, b| a.agent.cmp(&b.agent));
        let mut jobs: Vec<JobStatus> =
            (0..self.jobs.len()).filter_map(|ix| self.job_status(ix)).collect();
        jobs.sort_by(|a, b| a.id.cmp(&b.id));
        let mut instances: Vec<InstanceStatus> = self
            .instances
            .iter()
            .map(|instance| InstanceStatus {
                name: instance.name.clone(),
                shape: instance.shape,
                members: instance
                    .members
                    .iter()
                    .map(|worker| self.workers[*worker].agent.clone())
                    .collect(),
                claimant: instance.claimant.map(|job| self.job(job).spec.id.clone()),
                at_risk: instance.at_risk,
            })
            .collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        Status { workers, jobs, instances, fragmentation: self.fragmentation() }
    }

    /// Returns the share of the free accelerators that the largest waiting shape cannot use, or the
    /// largest guarantee when no job is waiting.
    pub fn fragmentation(&self) -> f64 {
        let free: Vec<(usize, usize, u32)> = self
            .workers
            .iter()
            .filter(|worker| worker.alive)
            .map(|worker| (worker.domain, worker.rack, worker.free()))
            .collect();
        let total: u64 = free.iter().map(|(_, _, free)| u64::from(*free)).sum();
        let Some(shape) = self.largest_shape().filter(|_| total > 0) else { return 0.0 };
        1.0 - usable_accelerators(&free, shape) as f64 / total as f64
    }

    /// Returns the status of one job.
    pub fn explain(&self, job: &str) -> Option<JobStatus> {
        self.job_status(*self.job_indices.get(job)?)
    }

    fn job_status(&self, ix: usize) -> Option<JobStatus> {
        let job = self.jobs[ix].as_ref()?;
        let elapsed = |at: Instant| -> Duration { self.now.saturating_duration_since(at) };
        Some(JobStatus {
            id: job.spec.id.clone(),
            team: job.spec.team.clone(),
            class: job.spec.class,
            shape: job.spec.shape,
            state: match job.state {
                State::Waiting => "waiting",
                State::Holding { .. } => "holding",
                State::Committing(_) => "committing",
                State::Running => "running",
                State::Stopping(_) => "stopping",
            },
            epoch: job.epoch,
            members: job
                .members
                .iter()
                .map(|(worker, count)| (self.workers[*worker].agent.clone(), *count))
                .collect(),
            instance: job.instance.map(|instance| self.instances[instance].name.clone()),
            non_preemptible: job.non_preemptible,
            preemptions: self.preemptions(ix),
            lost_starts: job.lost_starts,
            elapsed: elapsed(if job.is_waiting() { job.queued_at } else { job.started_at }),
            wait_reason: job.wait_reason.clone(),
        })
    }
}
