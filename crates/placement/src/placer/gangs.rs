//! Gangs from their placement to their end.

use std::time::Duration;

use super::{GRACE, Placer, Timer, queue};
use crate::job::{After, Answer, State};
use crate::worker::Grant;
use crate::{Action, GangEnd, GangMember, HoldResult, PreemptMode};

/// A hold that is neither granted nor pending after this time counts as unanswered.
const HOLD_LIMIT: Duration = Duration::from_secs(1);
/// A pending hold waits for the grace period and the stop of the evicted task.
const PENDING_LIMIT: Duration = Duration::from_millis(2600);
/// Committed members that do not start are released by their agents after 2 s.
const START_LIMIT: Duration = Duration::from_millis(2500);
/// Grace period, gang lease and one report.
const STOP_LIMIT: Duration = Duration::from_secs(5);

impl Placer {
    /// Records a decided gang and asks for its holds. `victims` is sorted.
    pub(super) fn place(
        &mut self,
        ix: usize,
        workers: &[usize],
        instance: Option<usize>,
        non_preemptible: bool,
        victims: &[usize],
        reason: String,
    ) {
        self.dequeue(ix);
        self.epoch = self.epoch.max(self.job(ix).epoch) + 1;
        let epoch = self.epoch;
        let now = self.now;
        let accelerators = self.job(ix).spec.shape.accelerators;
        let mut members = Vec::new();
        for worker in workers {
            let on = |grant: &&Grant| victims.binary_search(&grant.job).is_ok() || grant.evicting;
            let evicted = self.workers[*worker].grants.iter().filter(on);
            let evict = evicted.map(|grant| self.job(grant.job).spec.id.clone()).collect();
            let agent = self.workers[*worker].agent.clone();
            members.push(GangMember { worker: agent, accelerators, evict });
        }
        if !victims.is_empty() {
            let cause = format!("makes room for {}", self.job(ix).spec.id);
            for victim in victims {
                self.preempt(*victim, &cause, After::Requeue);
            }
        }
        let job = self.job_mut(ix);
        job.state = State::Holding { answers: vec![Answer::None; workers.len()] };
        job.epoch = epoch;
        job.started = now;
        job.instance = instance;
        job.non_preemptible = non_preemptible;
        job.wait_reason.clear();
        job.members = workers.iter().map(|worker| (*worker, accelerators)).collect();
        let (cores, memory) = (job.spec.cores, job.memory);
        let id = job.spec.id.clone();
        for worker in workers {
            let grant = Grant {
                job: ix,
                accelerators,
                cores,
                memory,
                non_preemptible,
                evicting: false,
                covered: false,
            };
            self.workers[*worker].grants.push(grant);
            self.refresh(*worker);
        }
        self.account(ix, true);
        if self.shadow.as_ref().is_some_and(|shadow| shadow.job == ix) {
            self.shadow = None;
            self.freed();
        }
        self.set_timer(HOLD_LIMIT, Timer::Hold(ix, epoch));
        let instance = instance.map(|instance| self.instances[instance].name.clone());
        self.out.push(Action::Place { job: id, epoch, members, instance, reason });
    }

    pub(super) fn agents(&self, ix: usize) -> Vec<skylarkpulley_types::AgentId> {
        let members = self.job(ix).members.iter();
        members.map(|(worker, _)| self.workers[*worker].agent.clone()).collect()
    }

    pub(super) fn take_answer(
        &mut self,
        ix: usize,
        agent: &skylarkpulley_types::AgentId,
        result: HoldResult,
    ) {
        let Some(worker) = self.worker_of(agent) else { return };
        let position = self.job(ix).members.iter().position(|member| member.0 == worker);
        let Some(position) = position else { return };
        let State::Holding { answers } = &mut self.job_mut(ix).state else { return };
        match result {
            HoldResult::Held => answers[position] = Answer::Held,
            HoldResult::Pending if answers[position] == Answer::None => {
                answers[position] = Answer::Pending
            }
            HoldResult::Pending => {}
            HoldResult::Refused { reason, highest_epoch } => {
                self.epoch = self.epoch.max(highest_epoch);
                let reason = format!("hold refused by {agent}: {reason}");
                return self.retry(ix, &reason);
            }
            HoldResult::NoAnswer => {
                // Long enough to choose other workers twice within the start bound.
                self.avoid(worker, Duration::from_secs(5));
                return self.retry(ix, &format!("hold not answered by {agent}"));
            }
        }
        let State::Holding { answers } = &self.job(ix).state else { return };
        if answers.iter().all(|answer| *answer == Answer::Held) {
            self.job_mut(ix).state = State::Committing(self.now + START_LIMIT);
            let epoch = self.job(ix).epoch;
            self.set_timer(START_LIMIT, Timer::Hold(ix, epoch));
        }
    }

    pub(super) fn hold_expired(&mut self, ix: usize) {
        let job = self.job(ix);
        let epoch = job.epoch;
        let waited = self.now - job.started;
        match &job.state {
            State::Holding { answers } => {
                let silent = answers.iter().position(|answer| *answer == Answer::None);
                if let Some(position) = silent {
                    let worker = job.members[position].0;
                    let reason = format!("hold not answered by {}", self.workers[worker].agent);
                    self.avoid(worker, Duration::from_secs(5));
                    return self.retry(ix, &reason);
                }
                if waited >= PENDING_LIMIT {
                    let slow = answers.iter().position(|answer| *answer == Answer::Pending);
                    if let Some(position) = slow {
                        let worker = self.job(ix).members[position].0;
                        self.avoid(worker, Duration::from_secs(5));
                    }
                    return self.retry(ix, "evictions did not finish in time");
                }
                self.set_timer(PENDING_LIMIT - waited, Timer::Hold(ix, epoch));
            }
            // The timers of the holding phase may fire before.
            State::Committing(until) if self.now >= *until => {
                self.retry(ix, "committed gang did not start in time");
            }
            _ => {}
        }
    }

    /// Gives up the current try and queues the job again after a jittered backoff.
    pub(super) fn retry(&mut self, ix: usize, reason: &str) {
        let members = self.agents(ix);
        let job = self.job_mut(ix);
        job.tries += 1;
        // Claims have to start within a bound and conflict rarely.
        let base = if job.spec.claim.is_some() { 20 } else { 50 << job.tries.min(6) };
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        let reason = reason.to_owned();
        self.out.push(Action::Release { job: id, epoch, members, reason: reason.clone() });
        let backoff = Duration::from_millis(base / 2 + self.rng.u64(0..base));
        self.release(ix);
        self.requeue(ix, backoff, &reason);
    }

    pub(super) fn start(&mut self, ix: usize) {
        let now = self.now;
        let job = self.job_mut(ix);
        if matches!(job.state, State::Running | State::Stopping(_) | State::Waiting) {
            return;
        }
        job.state = State::Running;
        job.started = now;
        job.tries = 0;
        let members = job.members.clone();
        self.probe_started(ix, &members);
    }

    /// Takes the grants of a gang off the books.
    pub(super) fn release(&mut self, ix: usize) {
        self.account(ix, false);
        self.end_probe(ix);
        let members = std::mem::take(&mut self.job_mut(ix).members);
        for (worker, _) in &members {
            self.workers[*worker].grants.retain(|grant| grant.job != ix);
        }
        self.unclaim(ix);
        for (worker, _) in &members {
            self.refresh(*worker);
        }
        let job = self.job_mut(ix);
        job.state = State::Waiting;
        job.non_preemptible = false;
        job.excess = None;
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        self.ended.insert(id.clone(), (epoch, self.now));
        self.ended_order.push_back((self.now, id));
        self.freed();
    }

    pub(super) fn forget_ended(&mut self) {
        let limit = Duration::from_secs(60);
        while let Some((at, id)) = self.ended_order.front() {
            if self.now - *at < limit {
                return;
            }
            if self.ended.get(id).is_some_and(|(_, last)| last == at) {
                self.ended.remove(id);
            }
            self.ended_order.pop_front();
        }
    }

    pub(super) fn end(&mut self, ix: usize, end: &GangEnd) {
        let now = self.now;
        let stopping = match self.job(ix).state {
            State::Stopping(after) => Some(after),
            _ => None,
        };
        let ran = now.saturating_duration_since(self.job(ix).started);
        let was_running = self.job(ix).is_running() || stopping.is_some();
        let members = self.job(ix).members.clone();
        let probed = self.probed_by(ix);
        self.release(ix);
        match end {
            GangEnd::Finished => {
                let job = self.job(ix);
                let actual = ran + job.progress;
                if was_running && !job.stub {
                    self.estimates.observe(job.estimate, job.spec.run_time, actual);
                }
                for worker in probed {
                    self.unquarantine(worker, "a probe finished");
                }
                self.remove_job(ix);
            }
            // A job known only from reports is queued when it is submitted.
            _ if stopping == Some(After::Remove) || self.job(ix).stub => self.remove_job(ix),
            GangEnd::Failed { worker } => self.task_failed(ix, worker, &members, &probed),
            GangEnd::LeaseLapsed | GangEnd::Stopped => {
                let backoff = Duration::from_millis(self.rng.u64(0..100));
                self.requeue(ix, backoff, "gang stopped; continues from its checkpoint");
            }
        }
    }

    /// Stops a gang. A try that has not started is released instead.
    pub(super) fn preempt(&mut self, ix: usize, reason: &str, after: After) {
        let members = self.agents(ix);
        let now = self.now;
        let job = self.job_mut(ix);
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        let mode = match (after, job.spec.preemption) {
            (After::Requeue, crate::Preemption::Checkpoint) => {
                PreemptMode::Checkpoint { grace: GRACE }
            }
            _ => PreemptMode::Stop,
        };
        match job.state {
            State::Waiting => return,
            State::Stopping(before) => {
                if before != After::Remove {
                    job.state = State::Stopping(after);
                }
                return;
            }
            State::Holding { .. } | State::Committing(_) => {
                let reason = reason.to_owned();
                self.out.push(Action::Release { job: id, epoch, members, reason });
                self.release(ix);
                match after {
                    After::Remove => self.remove_job(ix),
                    After::Requeue => self.requeue(ix, Duration::from_millis(50), "preempted"),
                }
                return;
            }
            State::Running => {}
        }
        job.state = State::Stopping(after);
        if after == After::Requeue {
            job.preempted.retain(|at| now.saturating_duration_since(*at) < queue::HOUR);
            job.preempted.push(now);
            // The job may run on lent capacity again when its oldest preemption is an hour old.
            let again = queue::HOUR.saturating_sub(now - job.preempted[0]);
            self.set_timer(again, Timer::Look);
        }
        let job = self.job(ix);
        let members_ix = job.members.clone();
        for (worker, _) in members_ix {
            for grant in &mut self.workers[worker].grants {
                grant.evicting |= grant.job == ix;
            }
        }
        self.set_timer(STOP_LIMIT, Timer::Stop(ix, epoch));
        self.out.push(Action::Preempt { job: id, epoch, members, mode, reason: reason.to_owned() });
    }

    pub(super) fn cancel(&mut self, id: &str) {
        self.refused.retain(|refused| refused.spec.id != id);
        let Some(ix) = self.by_id.get(id).copied() else { return };
        if self.job(ix).is_waiting() {
            return self.remove_job(ix);
        }
        self.preempt(ix, "cancelled", After::Remove);
    }
}
