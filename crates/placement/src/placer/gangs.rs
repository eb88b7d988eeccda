//! The lifecycle of gangs, from their placement to their end.

use std::time::Duration;

use super::{CHECKPOINT_GRACE, Placer, Timer, queue};
use crate::job::{AfterStop, Answer, State};
use crate::worker::Grant;
use crate::{Action, GangEnd, GangMember, HoldResult, PreemptMode};

/// A hold for which the agent has reported neither held nor pending after this time counts as
/// unanswered.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);
/// A pending hold waits until the evicted tasks have used their grace period and have stopped.
const PENDING_HOLD_TIMEOUT: Duration = Duration::from_millis(2600);
/// Agents release committed members that do not start within 2 s, so this time is longer.
const START_TIMEOUT: Duration = Duration::from_millis(2500);
/// Sum of the grace period, the gang lease and the time for one report.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

impl Placer {
    /// Records the placement of a gang and requests its holds. `victims` must be sorted.
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
            let must_end =
                |grant: &&Grant| victims.binary_search(&grant.job).is_ok() || grant.evicting;
            let evicted = self.workers[*worker].grants.iter().filter(must_end);
            let evict = evicted.map(|grant| self.job(grant.job).spec.id.clone()).collect();
            let agent = self.workers[*worker].agent.clone();
            members.push(GangMember { worker: agent, accelerators, evict });
        }
        if !victims.is_empty() {
            let cause = format!("evicted to free capacity for {}", self.job(ix).spec.id);
            for victim in victims {
                self.preempt(*victim, &cause, AfterStop::Requeue);
            }
        }
        let job = self.job_mut(ix);
        job.state = State::Holding { answers: vec![Answer::Missing; workers.len()] };
        job.epoch = epoch;
        job.started_at = now;
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
                reported: false,
            };
            self.workers[*worker].grants.push(grant);
            self.update_free_index(*worker);
        }
        self.update_usage(ix, true);
        if self.reserved_start.as_ref().is_some_and(|reserved_start| reserved_start.job == ix) {
            self.reserved_start = None;
            self.mark_capacity_freed();
        }
        self.set_timer(HOLD_TIMEOUT, Timer::HoldTimeout(ix, epoch));
        let instance = instance.map(|instance| self.instances[instance].name.clone());
        self.actions.push(Action::Place { job: id, epoch, members, instance, reason });
    }

    pub(super) fn member_agents(&self, ix: usize) -> Vec<skylarkpulley_types::AgentId> {
        let members = self.job(ix).members.iter();
        members.map(|(worker, _)| self.workers[*worker].agent.clone()).collect()
    }

    pub(super) fn handle_hold_answer(
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
            HoldResult::Pending if answers[position] == Answer::Missing => {
                answers[position] = Answer::Pending
            }
            HoldResult::Pending => {}
            HoldResult::Refused { reason, highest_epoch } => {
                self.epoch = self.epoch.max(highest_epoch);
                let reason = format!("{agent} refused the hold: {reason}");
                return self.retry(ix, &reason);
            }
            HoldResult::NoAnswer => {
                // Long enough for two placements on other workers within the time in which a claim
                // must start.
                self.avoid(worker, Duration::from_secs(5));
                return self.retry(ix, &format!("{agent} did not answer the hold in time"));
            }
        }
        let State::Holding { answers } = &self.job(ix).state else { return };
        if answers.iter().all(|answer| *answer == Answer::Held) {
            self.job_mut(ix).state = State::Committing(self.now + START_TIMEOUT);
            let epoch = self.job(ix).epoch;
            self.set_timer(START_TIMEOUT, Timer::HoldTimeout(ix, epoch));
        }
    }

    pub(super) fn hold_expired(&mut self, ix: usize) {
        let job = self.job(ix);
        let epoch = job.epoch;
        let waited = self.now - job.started_at;
        match &job.state {
            State::Holding { answers } => {
                let unanswered = answers.iter().position(|answer| *answer == Answer::Missing);
                if let Some(position) = unanswered {
                    let worker = job.members[position].0;
                    let reason =
                        format!("{} did not answer the hold in time", self.workers[worker].agent);
                    self.avoid(worker, Duration::from_secs(5));
                    return self.retry(ix, &reason);
                }
                if waited >= PENDING_HOLD_TIMEOUT {
                    let pending = answers.iter().position(|answer| *answer == Answer::Pending);
                    if let Some(position) = pending {
                        let worker = self.job(ix).members[position].0;
                        self.avoid(worker, Duration::from_secs(5));
                    }
                    return self
                        .retry(ix, "the evictions for a pending hold did not finish in time");
                }
                self.set_timer(PENDING_HOLD_TIMEOUT - waited, Timer::HoldTimeout(ix, epoch));
            }
            // Timers that were set while the holds were outstanding may fire before this time.
            State::Committing(until) if self.now >= *until => {
                self.retry(ix, "the committed gang did not start in time");
            }
            _ => {}
        }
    }

    /// Abandons the current placement and queues the job again after a backoff with jitter.
    pub(super) fn retry(&mut self, ix: usize, reason: &str) {
        let members = self.member_agents(ix);
        let job = self.job_mut(ix);
        job.consecutive_failures += 1;
        // Claims must start within a time limit and rarely conflict, so their backoff is short and
        // does not grow.
        let base =
            if job.spec.claim.is_some() { 20 } else { 50 << job.consecutive_failures.min(6) };
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        let reason = reason.to_owned();
        self.actions.push(Action::Release { job: id, epoch, members, reason: reason.clone() });
        let backoff = Duration::from_millis(base / 2 + self.rng.u64(0..base));
        self.release(ix);
        self.requeue(ix, backoff, &reason);
    }

    pub(super) fn gang_started(&mut self, ix: usize) {
        let now = self.now;
        let job = self.job_mut(ix);
        if matches!(job.state, State::Running | State::Stopping(_) | State::Waiting) {
            return;
        }
        job.state = State::Running;
        job.started_at = now;
        job.consecutive_failures = 0;
        let members = job.members.clone();
        self.probe_started(ix, &members);
    }

    /// Removes the grants and the claim of a gang and returns its job to the waiting state.
    pub(super) fn release(&mut self, ix: usize) {
        self.update_usage(ix, false);
        self.end_probe(ix);
        let members = std::mem::take(&mut self.job_mut(ix).members);
        for (worker, _) in &members {
            self.workers[*worker].grants.retain(|grant| grant.job != ix);
        }
        self.unclaim(ix);
        for (worker, _) in &members {
            self.update_free_index(*worker);
        }
        let job = self.job_mut(ix);
        job.state = State::Waiting;
        job.non_preemptible = false;
        job.memory_excess = None;
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        self.recently_ended.insert(id.clone(), (epoch, self.now));
        self.ended_order.push_back((self.now, id));
        self.mark_capacity_freed();
    }

    pub(super) fn expire_ended(&mut self) {
        let retention = Duration::from_secs(60);
        while let Some((at, id)) = self.ended_order.front() {
            if self.now - *at < retention {
                return;
            }
            if self.recently_ended.get(id).is_some_and(|(_, last)| last == at) {
                self.recently_ended.remove(id);
            }
            self.ended_order.pop_front();
        }
    }

    pub(super) fn gang_ended(&mut self, ix: usize, end: &GangEnd) {
        let now = self.now;
        let stopping = match self.job(ix).state {
            State::Stopping(after) => Some(after),
            _ => None,
        };
        let elapsed = now.saturating_duration_since(self.job(ix).started_at);
        let was_running = self.job(ix).is_running() || stopping.is_some();
        let members = self.job(ix).members.clone();
        let probed_workers = self.probed_by(ix);
        self.release(ix);
        match end {
            GangEnd::Finished => {
                let job = self.job(ix);
                let actual = elapsed + job.progress;
                if was_running && !job.placeholder {
                    self.estimates.observe(job.estimate, job.spec.run_time, actual);
                }
                for worker in probed_workers {
                    self.unquarantine(worker, "a probe finished successfully");
                }
                self.remove_job(ix);
            }
            // A job that is known only from reports is queued once it is submitted.
            _ if stopping == Some(AfterStop::Remove) || self.job(ix).placeholder => {
                self.remove_job(ix)
            }
            GangEnd::Failed { worker } => self.task_failed(ix, worker, &members, &probed_workers),
            GangEnd::LeaseLapsed | GangEnd::Stopped => self.requeue_stopped(ix, elapsed),
        }
    }

    /// Stops a running gang. A placement that has not started is released instead.
    pub(super) fn preempt(&mut self, ix: usize, reason: &str, after: AfterStop) {
        let members = self.member_agents(ix);
        let now = self.now;
        let job = self.job_mut(ix);
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        let mode = match (after, job.spec.preemption) {
            (AfterStop::Requeue, crate::Preemption::Checkpoint) => {
                PreemptMode::Checkpoint { grace: CHECKPOINT_GRACE }
            }
            _ => PreemptMode::Stop,
        };
        match job.state {
            State::Waiting => return,
            State::Stopping(before) => {
                if before != AfterStop::Remove {
                    job.state = State::Stopping(after);
                }
                return;
            }
            State::Holding { .. } | State::Committing(_) => {
                let reason = reason.to_owned();
                self.actions.push(Action::Release { job: id, epoch, members, reason });
                self.release(ix);
                match after {
                    AfterStop::Remove => self.remove_job(ix),
                    AfterStop::Requeue => self.requeue(ix, Duration::from_millis(50), "preempted"),
                }
                return;
            }
            State::Running => {}
        }
        job.state = State::Stopping(after);
        if after == AfterStop::Requeue {
            job.preempted_at
                .retain(|at| now.saturating_duration_since(*at) < queue::PREEMPTION_WINDOW);
            job.preempted_at.push(now);
            // The job may run on borrowed capacity again once its oldest preemption is an hour old.
            let again = queue::PREEMPTION_WINDOW.saturating_sub(now - job.preempted_at[0]);
            self.set_timer(again, Timer::FullPass);
        }
        let job = self.job(ix);
        let member_workers = job.members.clone();
        for (worker, _) in member_workers {
            for grant in &mut self.workers[worker].grants {
                grant.evicting |= grant.job == ix;
            }
        }
        self.set_timer(STOP_TIMEOUT, Timer::StopTimeout(ix, epoch));
        self.actions.push(Action::Preempt {
            job: id,
            epoch,
            members,
            mode,
            reason: reason.to_owned(),
        });
    }

    pub(super) fn cancel(&mut self, id: &str) {
        self.refused.retain(|refused| refused.spec.id != id);
        let Some(ix) = self.job_indices.get(id).copied() else { return };
        if self.job(ix).is_waiting() {
            return self.remove_job(ix);
        }
        self.preempt(ix, "the job was cancelled", AfterStop::Remove);
    }
}
