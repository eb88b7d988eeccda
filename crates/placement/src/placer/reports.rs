//! Workers that join, report, are drained or are lost.

use std::collections::BTreeSet;

use skylarkpulley_types::AgentId;

use super::{MAX_REPORT_LAG, Placer, Rack, Timer};
use crate::job::{AfterStop, Job, State};
use crate::worker::{Grant, Worker};
use crate::{Action, GangEnd, JobSpec, ReportedGrant, WorkerReport};

impl Placer {
    /// Returns the live worker of this agent and incarnation.
    pub(super) fn worker_of(&self, agent: &AgentId) -> Option<usize> {
        let ix = *self.worker_indices.get(&agent.name)?;
        (self.workers[ix].agent == *agent).then_some(ix)
    }

    pub(super) fn worker_joined(
        &mut self,
        agent: AgentId,
        domain: &str,
        rack: &str,
        accelerators: u32,
    ) {
        if let Some(ix) = self.worker_indices.get(&agent.name).copied() {
            if !agent.supersedes(&self.workers[ix].agent) {
                return;
            }
            self.worker_lost(ix, "the agent restarted");
        }
        let domain_ix = self.domains.iter().position(|name| name == domain).unwrap_or_else(|| {
            self.domains.push(domain.to_owned());
            self.domains.len() - 1
        });
        let rack_position =
            self.rack_names.iter().position(|name| name.0 == domain && name.1 == rack);
        let rack_ix = rack_position.unwrap_or_else(|| {
            self.rack_names.push((domain.to_owned(), rack.to_owned()));
            self.racks.push(Rack { domain: domain_ix, workers: BTreeSet::new() });
            self.racks.len() - 1
        });
        let worker = Worker {
            agent: agent.clone(),
            rack: rack_ix,
            domain: self.racks[rack_ix].domain,
            accelerators,
            alive: true,
            reported: false,
            draining: false,
            grants: Vec::new(),
            reserved: Vec::new(),
            failures: Vec::new(),
            quarantine: None,
            avoided_until: None,
        };
        let ix = self.worker_freelist.pop().unwrap_or(self.workers.len());
        if ix == self.workers.len() {
            self.workers.push(worker);
        } else {
            self.workers[ix] = worker;
        }
        self.worker_indices.insert(agent.name, ix);
        self.racks[rack_ix].workers.insert(ix);
    }

    pub(super) fn worker_lost(&mut self, ix: usize, reason: &str) {
        let agent = self.workers[ix].agent.clone();
        let cause = format!("{reason}: {agent}");
        let jobs: Vec<usize> = self.workers[ix].grants.iter().map(|grant| grant.job).collect();
        self.workers[ix].alive = false;
        self.update_free_index(ix);
        self.record_lost_starts(ix);
        for job in jobs {
            if self.jobs[job].is_some() && self.job(job).members.iter().any(|m| m.0 == ix) {
                self.member_lost(job, ix, &cause);
            }
        }
        for instance in 0..self.instances.len() {
            if self.instances[instance].members.contains(&ix) {
                self.withdraw_reservation(instance, &cause);
            }
        }
        let worker = &mut self.workers[ix];
        worker.grants.clear();
        worker.reserved.clear();
        self.racks[worker.rack].workers.remove(&ix);
        self.worker_indices.remove(&agent.name);
        self.worker_freelist.push(ix);
        let stale = |reserved_start: &super::ReservedStart| reserved_start.spare.contains_key(&ix);
        if self.reserved_start.as_ref().is_some_and(stale) {
            self.reserved_start = None;
        }
        self.planning_due = true;
    }

    fn member_lost(&mut self, job: usize, worker: usize, cause: &str) {
        match self.job(job).state {
            State::Waiting => {}
            State::Holding { .. } | State::Committing(_) => self.retry(job, cause),
            State::Running | State::Stopping(_) => {
                if self.job(job).members.len() == 1 {
                    return self.gang_ended(job, &GangEnd::LeaseLapsed);
                }
                // The other members stop when their lease lapses. Until then they use their
                // accelerators. The preemption does not count towards the limit of the job.
                if self.job(job).is_running() {
                    self.preempt(job, cause, AfterStop::Requeue);
                    self.job_mut(job).preempted_at.pop();
                }
                self.update_usage(job, false);
                self.job_mut(job).members.retain(|member| member.0 != worker);
                self.update_usage(job, true);
            }
        }
    }

    pub(super) fn set_draining(&mut self, name: &str, draining: bool) {
        let Some(ix) = self.worker_indices.get(name).copied() else { return };
        if self.workers[ix].draining == draining {
            return;
        }
        self.workers[ix].draining = draining;
        self.update_free_index(ix);
        self.planning_due = true;
        if !draining {
            return self.mark_capacity_freed();
        }
        self.withdraw_reservations_on(ix, "the worker is being drained");
        let movable = |grant: &&Grant| !grant.non_preemptible && !grant.evicting;
        let jobs: Vec<usize> =
            self.workers[ix].grants.iter().filter(movable).map(|grant| grant.job).collect();
        for job in jobs {
            if self.job(job).spec.preemption == crate::Preemption::Checkpoint {
                self.preempt(job, "the worker is being drained", AfterStop::Requeue);
            }
        }
    }

    pub(super) fn handle_report(&mut self, ix: usize, report: &WorkerReport) {
        for grant in &report.grants {
            self.handle_reported_grant(ix, grant);
        }
        self.check_missing_grants(ix, report);
        self.reconcile_reservations(ix, report);
        if !self.workers[ix].reported {
            self.workers[ix].reported = true;
            self.planning_due = true;
            self.mark_capacity_freed();
        }
        self.update_free_index(ix);
    }

    /// Compares a reported grant with the recorded ones and adopts it if it is unknown.
    fn handle_reported_grant(&mut self, ix: usize, grant: &ReportedGrant) {
        self.epoch = self.epoch.max(grant.epoch);
        let Some(job) = self.job_indices.get(&grant.job).copied() else {
            if self.has_ended(ix, grant) {
                return;
            }
            return self.adopt(ix, grant, None);
        };
        let current = self.job(job);
        if current.epoch == grant.epoch && !current.is_waiting() {
            let recorded = self.workers[ix].grants.iter_mut().find(|recorded| recorded.job == job);
            let Some(recorded) = recorded else { return self.adopt(ix, grant, Some(job)) };
            recorded.reported = true;
            let unclaimed = self.job(job).instance.is_none();
            if let Some(name) = grant.instance.as_ref().filter(|_| unclaimed) {
                // Another job claimed the instance when the grant was first reported.
                self.adopt_claim(ix, job, name);
                self.update_free_index(ix);
            }
            if grant.running && self.job(job).is_running() {
                self.observe_memory(job, grant.memory_mib);
            }
            return;
        }
        let is_waiting_job = current.is_waiting();
        if self.has_ended(ix, grant) {
            return;
        }
        let current = self.job(job);
        if is_waiting_job && grant.epoch >= current.epoch {
            self.adopt(ix, grant, Some(job));
        }
    }

    /// Reports whether the grant belongs to a gang that has ended. A grant that is still reported
    /// after `MAX_REPORT_LAG` is released again.
    fn has_ended(&mut self, ix: usize, grant: &ReportedGrant) -> bool {
        let Some((epoch, at)) = self.recently_ended.get(&grant.job).copied() else { return false };
        if grant.epoch > epoch {
            return false;
        }
        if self.now - at > MAX_REPORT_LAG {
            let members = vec![self.workers[ix].agent.clone()];
            let reason = "the gang has ended but its agent still reports it".to_owned();
            let job = grant.job.clone();
            self.actions.push(Action::Release { job, epoch: grant.epoch, members, reason });
        }
        true
    }

    /// Adopts a grant that another entry decided on.
    fn adopt(&mut self, ix: usize, grant: &ReportedGrant, job: Option<usize>) {
        let non_preemptible = grant.instance.is_some() || !grant.preemptible;
        let started = self.now.checked_sub(grant.run_time).unwrap_or(self.now);
        let job = job.unwrap_or_else(|| {
            let mut job = Job::new(JobSpec::placeholder(&grant.job, grant.accelerators), self.now);
            job.placeholder = true;
            self.add_job(job)
        });
        self.dequeue(job);
        if !self.job(job).members.is_empty() {
            self.update_usage(job, false);
        }
        let current = self.job_mut(job);
        if !matches!(current.state, State::Stopping(_)) {
            current.state = State::Running;
        }
        current.epoch = grant.epoch;
        current.started_at = started;
        current.non_preemptible |= non_preemptible;
        current.members.push((ix, grant.accelerators));
        let (cores, memory, non_preemptible) =
            (current.spec.cores, current.memory, current.non_preemptible);
        self.update_usage(job, true);
        let new_grant = Grant {
            job,
            accelerators: grant.accelerators,
            cores,
            memory,
            non_preemptible,
            evicting: false,
            reported: true,
        };
        self.workers[ix].grants.push(new_grant);
        if let Some(name) = &grant.instance {
            self.adopt_claim(ix, job, name);
        }
        self.resolve_overlap(ix);
        self.update_free_index(ix);
    }

    /// Handles grants that an earlier report listed and that this report does not list. They have
    /// ended at their agent.
    fn check_missing_grants(&mut self, ix: usize, report: &WorkerReport) {
        let listed = |job: &str| report.grants.iter().any(|grant| grant.job == job);
        let missing: Vec<usize> = self.workers[ix]
            .grants
            .iter()
            .filter(|grant| grant.reported && !listed(&self.job(grant.job).spec.id))
            .map(|grant| grant.job)
            .collect();
        for job in missing {
            if self.job(job).placeholder {
                self.update_usage(job, false);
                self.job_mut(job).members.retain(|member| member.0 != ix);
                self.update_usage(job, true);
                self.workers[ix].grants.retain(|grant| grant.job != job);
                self.planning_due = true;
                if self.job(job).members.is_empty() {
                    self.release(job);
                    self.remove_job(job);
                }
                continue;
            }
            // The end of the gang is usually reported at the same time, so the gang is preempted
            // only if that report does not arrive within `MAX_REPORT_LAG`.
            let epoch = self.job(job).epoch;
            for grant in self.workers[ix].grants.iter_mut().filter(|grant| grant.job == job) {
                grant.reported = false;
            }
            self.set_timer(MAX_REPORT_LAG, Timer::MissingMember(job, epoch, ix));
        }
    }

    /// Preempts a gang if one of its members is still missing from the reports and its end was not
    /// reported.
    pub(super) fn preempt_if_still_missing(&mut self, job: usize, worker: usize) {
        let missing = |grant: &Grant| grant.job == job && !grant.reported;
        if self.job(job).is_running() && self.workers[worker].grants.iter().any(missing) {
            self.preempt(job, "a member is no longer reported by its agent", AfterStop::Requeue);
            self.job_mut(job).preempted_at.pop();
        }
    }

    /// Sets reservations that a report lacks again, and clears reported ones that are not planned.
    fn reconcile_reservations(&mut self, ix: usize, report: &WorkerReport) {
        let now = self.now;
        let agent = self.workers[ix].agent.clone();
        for reserved in &report.reservations {
            self.epoch = self.epoch.max(reserved.epoch);
            let instance =
                self.instances.iter().position(|instance| instance.name == reserved.instance);
            if let Some(instance) = instance.filter(|_| !self.ready) {
                self.adopt_reservation(ix, instance, reserved.epoch);
                continue;
            }
            let recorded =
                instance.is_some_and(|instance| self.instances[instance].members.contains(&ix));
            // The report may have been sent before a recent change of the instance, which must not
            // be cleared.
            let stable = instance
                .is_none_or(|instance| now - self.instances[instance].changed_at > MAX_REPORT_LAG);
            if !recorded && stable && self.ready {
                self.actions.push(Action::ClearReservation {
                    instance: reserved.instance.clone(),
                    worker: agent.clone(),
                    accelerators: reserved.accelerators,
                    epoch: reserved.epoch,
                    reason: "the agent reports a reservation that is not planned".to_owned(),
                });
            }
        }
        let mut resend = Vec::new();
        // A claim converts the whole reservation at its agent, and the agent keeps the part that
        // the claim does not use.
        let converted: Vec<usize> = self.workers[ix]
            .grants
            .iter()
            .filter_map(|grant| self.job(grant.job).instance)
            .collect();
        for recorded in &mut self.workers[ix].reserved {
            let name = &self.instances[recorded.instance].name;
            let listed = report.reservations.iter().any(|reserved| {
                reserved.instance == *name && reserved.accelerators == recorded.accelerators
            });
            let converted = converted.contains(&recorded.instance);
            if listed || converted || now - recorded.set_at <= MAX_REPORT_LAG {
                continue;
            }
            recorded.set_at = now;
            resend.push(Action::SetReservation {
                instance: name.clone(),
                worker: agent.clone(),
                accelerators: recorded.accelerators,
                epoch: recorded.epoch,
                reason: "the agent does not report the planned reservation".to_owned(),
            });
        }
        self.actions.append(&mut resend);
    }
}
