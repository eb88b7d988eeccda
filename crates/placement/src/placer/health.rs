//! Quarantine of workers that fail many jobs, and limits for jobs that fail on many workers or
//! exceed their declared memory.

use std::time::Duration;

use skylarkpulley_types::AgentId;

use super::choice::Need;
use super::{Placer, Timer};
use crate::job::AfterStop;
use crate::worker::Quarantine;
use crate::{Action, Preemption};

/// Failures on a worker that are older than this no longer count.
const FAILURE_WINDOW: Duration = Duration::from_secs(600);
/// A worker on which this many different jobs have failed is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// A job that has failed on this many healthy workers is stopped.
const HEALTHY_WORKER_FAILURE_LIMIT: usize = 3;
/// Failures on workers that failed other jobs as well are no evidence against a job. A job that has
/// failed on this many workers is stopped nevertheless.
const WORKER_FAILURE_LIMIT: usize = 6;
/// A job that has lost this many workers in a row soon after its start is stopped.
const LOST_START_LIMIT: u32 = 4;
/// A worker that is lost this soon after a job has started on it may be lost because of the job.
/// Covers the time until the loss is noticed.
const LOST_START_WINDOW: Duration = Duration::from_secs(30);
/// Jobs that start on a worker within this time of each other are equally suspect.
const SAME_START_WINDOW: Duration = Duration::from_secs(2);
/// Time from the start of a quarantine to its first probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(30);
/// The delay of the next probe doubles with each failed one, at most this many times.
const MAX_PROBE_DOUBLINGS: u32 = 6;
/// A probe passes when it has run this long.
const PROBE_RUN_TIME: Duration = Duration::from_secs(30);
/// Time between the steps against excess memory use.
const MEMORY_EXCESS_DELAY: Duration = Duration::from_secs(5);

impl Placer {
    pub(super) fn task_failed(
        &mut self,
        ix: usize,
        agent: &AgentId,
        members: &[(usize, u32)],
        probed: &[usize],
    ) {
        let id = self.job(ix).spec.id.clone();
        let consecutive_failures = self.job(ix).consecutive_failures;
        self.job_mut(ix).consecutive_failures += 1;
        let worker = self.worker_of(agent).filter(|worker| members.iter().any(|m| m.0 == *worker));
        for worker in probed {
            self.probe_failed(*worker);
        }
        let backoff = Duration::from_millis(500 << consecutive_failures.min(6));
        let backoff = backoff / 2
            + Duration::from_millis(self.rng.u64(0..500 << consecutive_failures.min(6)));
        let Some(worker) = worker else {
            return self.requeue(ix, backoff, "failed on a worker that was lost in the meantime");
        };
        if self.workers[worker].quarantine.is_none() {
            self.record_failure(ix, worker);
        }
        if let Some(reason) = self.stop_reason(ix) {
            for worker in &mut self.workers {
                worker.failures.retain(|(_, job)| *job != id);
            }
            self.remove_job(ix);
            self.actions.push(Action::StopJob { job: id, reason });
            return;
        }
        let reason = format!("failed on {agent}; resumes from its checkpoint");
        self.requeue(ix, backoff, &reason);
    }

    fn record_failure(&mut self, ix: usize, worker: usize) {
        let now = self.now;
        let id = self.job(ix).spec.id.clone();
        let name = self.workers[worker].agent.name.clone();
        let failed_on = &mut self.job_mut(ix).failed_on;
        if !failed_on.contains(&name) {
            failed_on.push(name);
        }
        let failures = &mut self.workers[worker].failures;
        failures.retain(|(at, job)| now - *at < FAILURE_WINDOW && *job != id);
        failures.push((now, id));
        let count = failures.len();
        if count >= QUARANTINE_FAILURES && self.quarantine(worker) {
            return;
        }
        // A worker that fails all tasks immediately is always free. Without a pause it would
        // attract all work.
        let pause = Duration::from_secs(5) * 4_u32.pow(count.min(4) as u32 - 1);
        self.avoid(worker, pause);
    }

    /// Quarantines the worker, unless more than a third of the live workers would then be in
    /// quarantine. Reports whether it did.
    fn quarantine(&mut self, worker: usize) -> bool {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let quarantined = alive.clone().filter(|worker| worker.quarantine.is_some()).count();
        if (quarantined + 1) * 3 > alive.count() {
            return false;
        }
        let jobs: Vec<String> =
            self.workers[worker].failures.drain(..).map(|(_, job)| job).collect();
        let name = self.workers[worker].agent.name.clone();
        for job in &jobs {
            if let Some(ix) = self.job_indices.get(job).copied() {
                self.job_mut(ix).failed_on.retain(|other| *other != name);
            }
        }
        let probe_at = self.now + FIRST_PROBE_DELAY;
        self.workers[worker].quarantine = Some(Quarantine { probe_at, probes: 0, probe: None });
        self.workers[worker].avoided_until = None;
        self.set_timer(FIRST_PROBE_DELAY, Timer::ProbeDue(worker));
        self.update_free_index(worker);
        let agent = self.workers[worker].agent.clone();
        let reason = format!("failed tasks of {} different jobs: {}", jobs.len(), jobs.join(", "));
        self.actions.push(Action::Quarantine { worker: agent, reason });
        self.withdraw_reservations_on(worker, "worker is quarantined");
        true
    }

    /// Returns why the job must be stopped, or `None` if it may be retried.
    fn stop_reason(&self, ix: usize) -> Option<String> {
        let job = self.job(ix);
        let healthy = |name: &&String| {
            let worker = self.worker_indices.get(*name).map(|worker| &self.workers[*worker]);
            worker.is_none_or(|worker| {
                let others = worker.failures.iter().filter(|(_, id)| *id != job.spec.id);
                others.count() < QUARANTINE_FAILURES - 1
            })
        };
        let healthy_failed = job.failed_on.iter().filter(healthy).count();
        if healthy_failed < HEALTHY_WORKER_FAILURE_LIMIT
            && job.failed_on.len() < WORKER_FAILURE_LIMIT
        {
            return None;
        }
        Some(format!(
            "failed on {} different workers: {}",
            healthy_failed,
            job.failed_on.join(", ")
        ))
    }

    /// Counts the loss of a worker against the jobs that started on it last.
    pub(super) fn record_lost_starts(&mut self, worker: usize) {
        let now = self.now;
        let member = |job: &super::Job| job.members.iter().any(|member| member.0 == worker);
        let granted = self.workers[worker].grants.iter().map(|grant| grant.job);
        let running: Vec<usize> = granted
            .filter(|job| self.jobs[*job].is_some() && self.job(*job).is_running())
            .filter(|job| member(self.job(*job)))
            .collect();
        let latest = running.iter().map(|job| self.job(*job).started_at).max();
        for job in running {
            let job = self.job_mut(job);
            let early = now.saturating_duration_since(job.started_at) <= LOST_START_WINDOW;
            if early && latest.is_some_and(|latest| job.started_at + SAME_START_WINDOW >= latest) {
                job.lost_starts += 1;
            }
        }
    }

    /// Queues a job again whose gang has stopped, or stops it if workers are lost whenever it
    /// starts. The backoff separates jobs that were lost together.
    pub(super) fn requeue_stopped(&mut self, ix: usize, run_time: Duration) {
        if run_time > LOST_START_WINDOW {
            self.job_mut(ix).lost_starts = 0;
        }
        let lost_starts = self.job(ix).lost_starts;
        if lost_starts >= LOST_START_LIMIT {
            let id = self.job(ix).spec.id.clone();
            let reason = format!("{lost_starts} workers in a row were lost soon after its start");
            self.remove_job(ix);
            self.actions.push(Action::StopJob { job: id, reason });
            return;
        }
        let longest = if lost_starts == 0 { 100 } else { 250 << lost_starts };
        let backoff = Duration::from_millis(self.rng.u64(0..longest));
        self.requeue(ix, backoff, "gang stopped; the job resumes from its checkpoint");
    }

    pub(super) fn probe_due(&mut self, worker: usize) {
        let Some(quarantine) = &self.workers[worker].quarantine else { return };
        if self.workers[worker].alive && quarantine.probe.is_none() {
            self.mark_capacity_freed();
        }
    }

    /// Places the job on a quarantined worker whose probe is due.
    pub(super) fn place_probe(&mut self, need: &Need) -> bool {
        let job = self.job(need.job);
        if need.shape.workers != 1 || job.spec.urgent || job.spec.claim.is_some() {
            return false;
        }
        let name = |worker: usize| &self.workers[worker].agent.name;
        let target = self.quarantined.iter().copied().find(|ix| {
            let worker = &self.workers[*ix];
            worker.alive
                && !worker.draining
                && !job.failed_on.contains(name(*ix))
                && worker.quarantine.as_ref().is_some_and(|quarantine| {
                    quarantine.probe.is_none() && quarantine.probe_at <= self.now
                })
                && worker.free() >= need.shape.accelerators
                && self.pool.cores.max(need.cores) >= worker.used_cores() + need.cores
        });
        let Some(worker) = target else { return false };
        self.place(need.job, &[worker], None, false, &[], "probes a quarantined worker".to_owned());
        if let Some(quarantine) = &mut self.workers[worker].quarantine {
            quarantine.probe = Some(need.job);
            quarantine.probes += 1;
        }
        true
    }

    /// Sets the timer after which a probe that is still running passes.
    pub(super) fn probe_started(&mut self, ix: usize, members: &[(usize, u32)]) {
        for (worker, _) in members {
            let Some(quarantine) = &self.workers[*worker].quarantine else { continue };
            if quarantine.probe == Some(ix) {
                let probes = quarantine.probes;
                self.set_timer(PROBE_RUN_TIME, Timer::ProbeRunTime(*worker, probes));
            }
        }
    }

    pub(super) fn probe_passed(&mut self, worker: usize, probes: u32) {
        let Some(quarantine) = &self.workers[worker].quarantine else { return };
        if quarantine.probes == probes && quarantine.probe.is_some() && self.workers[worker].alive {
            self.unquarantine(worker, "a probe ran long enough without failure");
        }
    }

    /// Returns the quarantined workers that the job probes.
    pub(super) fn probed_by(&self, ix: usize) -> Vec<usize> {
        let probes = |worker: &usize| {
            let quarantine = self.workers[*worker].quarantine.as_ref();
            quarantine.is_some_and(|quarantine| quarantine.probe == Some(ix))
        };
        self.job(ix).members.iter().map(|member| member.0).filter(probes).collect()
    }

    /// Ends the probes of the job. An end without failure or success says nothing about the worker,
    /// so the next probe follows after the shortest delay.
    pub(super) fn end_probe(&mut self, ix: usize) {
        for worker in self.probed_by(ix) {
            let probe_at = self.now + FIRST_PROBE_DELAY;
            if let Some(quarantine) = &mut self.workers[worker].quarantine {
                quarantine.probe = None;
                quarantine.probe_at = probe_at;
            }
            self.set_timer(FIRST_PROBE_DELAY, Timer::ProbeDue(worker));
        }
    }

    fn probe_failed(&mut self, worker: usize) {
        let Some(quarantine) = &mut self.workers[worker].quarantine else { return };
        let pause = FIRST_PROBE_DELAY * 2_u32.pow(quarantine.probes.min(MAX_PROBE_DOUBLINGS));
        quarantine.probe_at = self.now + pause;
        self.set_timer(pause, Timer::ProbeDue(worker));
    }

    pub(super) fn unquarantine(&mut self, worker: usize, reason: &str) {
        self.workers[worker].quarantine = None;
        self.workers[worker].failures.clear();
        self.update_free_index(worker);
        self.planning_due = true;
        self.mark_capacity_freed();
        let agent = self.workers[worker].agent.clone();
        self.actions.push(Action::Unquarantine { worker: agent, reason: reason.to_owned() });
    }

    /// Compares the memory use with the declared size. The first step against an excess throttles
    /// the tasks.
    pub(super) fn observe_memory(&mut self, ix: usize, used: u64) {
        let job = self.job(ix);
        let (declared, epoch) = (job.spec.memory_mib, job.epoch);
        if declared == 0 || used <= job.memory {
            return;
        }
        self.job_mut(ix).reported_memory = used;
        if self.job(ix).memory_excess.is_some() {
            return;
        }
        self.job_mut(ix).memory_excess = Some((1, self.now));
        let id = self.job(ix).spec.id.clone();
        let reason = format!("uses {used} MiB on a worker; declared {declared} MiB");
        self.actions.push(Action::Throttle { job: id, epoch, reason });
        self.set_timer(MEMORY_EXCESS_DELAY, Timer::MemoryExcess(ix, epoch));
    }

    /// The second step preempts the job with a checkpoint and queues it again with the observed
    /// memory size. A job that cannot write a checkpoint, or that needs more memory than it may use
    /// on a worker, is stopped instead.
    pub(super) fn check_memory_excess(&mut self, ix: usize) {
        let job = self.job(ix);
        if !job.is_running() || job.memory_excess.is_none() {
            return;
        }
        let (id, reported, declared) =
            (job.spec.id.clone(), job.reported_memory, job.spec.memory_mib);
        let reason = format!("uses {reported} MiB on a worker; declared {declared} MiB");
        let limit = if self.pool.memory_mib == 0 { u64::MAX } else { self.pool.memory_mib };
        let need = Need { memory: reported, ..self.need(ix, true) };
        let fits =
            reported <= limit && (!self.job(ix).non_preemptible || self.is_proportional(&need));
        if self.job(ix).spec.preemption == Preemption::Checkpoint && fits {
            self.preempt(ix, &reason, AfterStop::Requeue);
            self.update_usage(ix, false);
            self.job_mut(ix).memory = reported;
            self.update_usage(ix, true);
            return;
        }
        self.preempt(ix, &reason, AfterStop::Remove);
        self.actions.push(Action::StopJob { job: id, reason });
    }
}
