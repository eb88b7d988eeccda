//! Sick workers, sick jobs, and jobs past their declared memory.

use std::time::Duration;

use skylarkpulley_types::AgentId;

use super::choice::Need;
use super::{Placer, Timer};
use crate::job::After;
use crate::worker::Quarantine;
use crate::{Action, Preemption};

const WINDOW: Duration = Duration::from_secs(600);
/// Different jobs that must fail on a worker before it is quarantined.
const SICK_WORKER: usize = 3;
/// Different workers on which a job must fail before it is stopped.
const SICK_JOB: usize = 3;
/// A worker that failed other jobs as well is no evidence against a job; beyond this number of
/// workers the job is stopped all the same.
const SICK_JOB_LIMIT: usize = 6;
const PROBE_FIRST: Duration = Duration::from_secs(30);
const PROBE_LIMIT: u32 = 6;
/// A probe that has run this long passes.
const PROBE_RUN: Duration = Duration::from_secs(30);
/// Pause between the steps against excess memory.
const EXCESS_STEP: Duration = Duration::from_secs(5);

impl Placer {
    pub(super) fn task_failed(
        &mut self,
        ix: usize,
        agent: &AgentId,
        members: &[(usize, u32)],
        probed: &[usize],
    ) {
        let id = self.job(ix).spec.id.clone();
        let tries = self.job(ix).tries;
        self.job_mut(ix).tries += 1;
        let worker = self.worker_of(agent).filter(|worker| members.iter().any(|m| m.0 == *worker));
        for worker in probed {
            self.probe_failed(*worker);
        }
        let backoff = Duration::from_millis(500 << tries.min(6));
        let backoff = backoff / 2 + Duration::from_millis(self.rng.u64(0..500 << tries.min(6)));
        let Some(worker) = worker else {
            return self.requeue(ix, backoff, "failed on a worker that is gone");
        };
        if self.workers[worker].quarantine.is_none() {
            self.blame(ix, worker);
        }
        if let Some(reason) = self.sickness(ix) {
            for worker in &mut self.workers {
                worker.failures.retain(|(_, job)| *job != id);
            }
            self.remove_job(ix);
            self.out.push(Action::StopJob { job: id, reason });
            return;
        }
        let reason = format!("failed on {agent}; continues from its checkpoint");
        self.requeue(ix, backoff, &reason);
    }

    fn blame(&mut self, ix: usize, worker: usize) {
        let now = self.now;
        let id = self.job(ix).spec.id.clone();
        let name = self.workers[worker].agent.name.clone();
        let failed_on = &mut self.job_mut(ix).failed_on;
        if !failed_on.contains(&name) {
            failed_on.push(name);
        }
        let failures = &mut self.workers[worker].failures;
        failures.retain(|(at, job)| now - *at < WINDOW && *job != id);
        failures.push((now, id));
        let count = failures.len();
        if count >= SICK_WORKER && self.quarantine(worker) {
            return;
        }
        // A worker that fails at once is always free; without a pause it would attract all work.
        let pause = Duration::from_secs(5) * 4_u32.pow(count.min(4) as u32 - 1);
        self.avoid(worker, pause);
    }

    /// Takes the worker out of use, unless a third of the pool is out already.
    fn quarantine(&mut self, worker: usize) -> bool {
        let alive = self.workers.iter().filter(|worker| worker.alive);
        let out = alive.clone().filter(|worker| worker.quarantine.is_some()).count();
        if (out + 1) * 3 > alive.count() {
            return false;
        }
        let jobs: Vec<String> =
            self.workers[worker].failures.drain(..).map(|(_, job)| job).collect();
        let name = self.workers[worker].agent.name.clone();
        for job in &jobs {
            if let Some(ix) = self.by_id.get(job).copied() {
                self.job_mut(ix).failed_on.retain(|other| *other != name);
            }
        }
        let probe_at = self.now + PROBE_FIRST;
        self.workers[worker].quarantine = Some(Quarantine { probe_at, probes: 0, probe: None });
        self.workers[worker].avoid = None;
        self.set_timer(PROBE_FIRST, Timer::Probe(worker));
        self.refresh(worker);
        let agent = self.workers[worker].agent.clone();
        let reason = format!("failed tasks of {} different jobs: {}", jobs.len(), jobs.join(", "));
        self.out.push(Action::Quarantine { worker: agent, reason });
        self.displace_worker(worker, "worker is quarantined");
        true
    }

    /// Reports why the job is to be given up, if it is.
    fn sickness(&self, ix: usize) -> Option<String> {
        let job = self.job(ix);
        let healthy = |name: &&String| {
            let worker = self.by_name.get(*name).map(|worker| &self.workers[*worker]);
            worker.is_none_or(|worker| {
                let others = worker.failures.iter().filter(|(_, id)| *id != job.spec.id);
                others.count() < SICK_WORKER - 1
            })
        };
        let counted = job.failed_on.iter().filter(healthy).count();
        if counted < SICK_JOB && job.failed_on.len() < SICK_JOB_LIMIT {
            return None;
        }
        Some(format!("failed on {} different workers: {}", counted, job.failed_on.join(", ")))
    }

    pub(super) fn probe_due(&mut self, worker: usize) {
        let Some(quarantine) = &self.workers[worker].quarantine else { return };
        if self.workers[worker].alive && quarantine.probe.is_none() {
            self.freed();
        }
    }

    /// Places the job on a quarantined worker whose probe is due.
    pub(super) fn place_probe(&mut self, need: &Need) -> bool {
        let job = self.job(need.job);
        if need.shape.workers != 1 || job.spec.urgent || job.spec.claim.is_some() {
            return false;
        }
        let name = |worker: usize| &self.workers[worker].agent.name;
        let due = self.quarantined.iter().copied().find(|ix| {
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
        let Some(worker) = due else { return false };
        self.place(need.job, &[worker], None, false, &[], "probes a quarantined worker".to_owned());
        if let Some(quarantine) = &mut self.workers[worker].quarantine {
            quarantine.probe = Some(need.job);
            quarantine.probes += 1;
        }
        true
    }

    /// A probe runs; it passes when it is still running after a while.
    pub(super) fn probe_started(&mut self, ix: usize, members: &[(usize, u32)]) {
        for (worker, _) in members {
            let Some(quarantine) = &self.workers[*worker].quarantine else { continue };
            if quarantine.probe == Some(ix) {
                let probes = quarantine.probes;
                self.set_timer(PROBE_RUN, Timer::ProbeEnd(*worker, probes));
            }
        }
    }

    pub(super) fn probe_passed(&mut self, worker: usize, probes: u32) {
        let Some(quarantine) = &self.workers[worker].quarantine else { return };
        if quarantine.probes == probes && quarantine.probe.is_some() && self.workers[worker].alive {
            self.unquarantine(worker, "a probe runs without failure");
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

    /// The job no longer probes a worker. Without a failure or a success this says nothing about the
    /// worker, and the next probe follows after the shortest pause.
    pub(super) fn end_probe(&mut self, ix: usize) {
        for worker in self.probed_by(ix) {
            let probe_at = self.now + PROBE_FIRST;
            if let Some(quarantine) = &mut self.workers[worker].quarantine {
                quarantine.probe = None;
                quarantine.probe_at = probe_at;
            }
            self.set_timer(PROBE_FIRST, Timer::Probe(worker));
        }
    }

    fn probe_failed(&mut self, worker: usize) {
        let Some(quarantine) = &mut self.workers[worker].quarantine else { return };
        let pause = PROBE_FIRST * 2_u32.pow(quarantine.probes.min(PROBE_LIMIT));
        quarantine.probe_at = self.now + pause;
        self.set_timer(pause, Timer::Probe(worker));
    }

    pub(super) fn unquarantine(&mut self, worker: usize, reason: &str) {
        self.workers[worker].quarantine = None;
        self.workers[worker].failures.clear();
        self.refresh(worker);
        self.plan = true;
        self.freed();
        let agent = self.workers[worker].agent.clone();
        self.out.push(Action::Unquarantine { worker: agent, reason: reason.to_owned() });
    }

    /// Compares the memory in use with the declared size.
    pub(super) fn observe_memory(&mut self, ix: usize, used: u64) {
        let job = self.job(ix);
        let (declared, epoch) = (job.spec.memory_mib, job.epoch);
        if declared == 0 || used <= job.memory {
            return;
        }
        self.job_mut(ix).memory_seen = used;
        if self.job(ix).excess.is_some() {
            return;
        }
        self.job_mut(ix).excess = Some((1, self.now));
        let id = self.job(ix).spec.id.clone();
        let reason = format!("uses {used} MiB on a worker; declared {declared} MiB");
        self.out.push(Action::Throttle { job: id, epoch, reason });
        self.set_timer(EXCESS_STEP, Timer::Excess(ix, epoch));
    }

    /// The second step writes a checkpoint and queues the job with the memory it was seen to need;
    /// the third stops a job that cannot be checkpointed or that needs more than a worker has.
    pub(super) fn check_excess(&mut self, ix: usize) {
        let job = self.job(ix);
        if !job.is_running() || job.excess.is_none() {
            return;
        }
        let (id, seen, declared) = (job.spec.id.clone(), job.memory_seen, job.spec.memory_mib);
        let reason = format!("uses {seen} MiB on a worker; declared {declared} MiB");
        let limit = if self.pool.memory_mib == 0 { u64::MAX } else { self.pool.memory_mib };
        let part = Need { memory: seen, ..self.need(ix, true) };
        let fits = seen <= limit && (!self.job(ix).non_preemptible || self.is_proportional(&part));
        if self.job(ix).spec.preemption == Preemption::Checkpoint && fits {
            self.preempt(ix, &reason, After::Requeue);
            self.account(ix, false);
            self.job_mut(ix).memory = seen;
            self.account(ix, true);
            return;
        }
        self.preempt(ix, &reason, After::Remove);
        self.out.push(Action::StopJob { job: id, reason });
    }
}
