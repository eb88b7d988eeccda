//! Workers that join, report, drain and leave.

use std::collections::BTreeSet;

use skylarkpulley_types::AgentId;

use super::{Placer, REPORT_LAG, Rack, Timer};
use crate::job::{After, Job, State};
use crate::worker::{Grant, Worker};
use crate::{Action, GangEnd, JobSpec, ReportedGrant, WorkerReport};

impl Placer {
    /// Returns the live worker of this agent and incarnation.
    pub(super) fn worker_of(&self, agent: &AgentId) -> Option<usize> {
        let ix = *self.by_name.get(&agent.name)?;
        (self.workers[ix].agent == *agent).then_some(ix)
    }

    pub(super) fn join(&mut self, agent: AgentId, domain: &str, rack: &str, accelerators: u32) {
        if let Some(ix) = self.by_name.get(&agent.name).copied() {
            if !agent.supersedes(&self.workers[ix].agent) {
                return;
            }
            self.lose(ix, "agent restarted");
        }
        let domain_ix = self.domains.iter().position(|name| name == domain).unwrap_or_else(|| {
            self.domains.push(domain.to_owned());
            self.domains.len() - 1
        });
        let found = self.rack_names.iter().position(|name| name.0 == domain && name.1 == rack);
        let rack_ix = found.unwrap_or_else(|| {
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
            avoid: None,
        };
        let ix = self.spare_workers.pop().unwrap_or(self.workers.len());
        if ix == self.workers.len() {
            self.workers.push(worker);
        } else {
            self.workers[ix] = worker;
        }
        self.by_name.insert(agent.name, ix);
        self.racks[rack_ix].workers.insert(ix);
    }

    pub(super) fn lose(&mut self, ix: usize, reason: &str) {
        let agent = self.workers[ix].agent.clone();
        let cause = format!("{reason}: {agent}");
        let jobs: Vec<usize> = self.workers[ix].grants.iter().map(|grant| grant.job).collect();
        self.workers[ix].alive = false;
        self.refresh(ix);
        for job in jobs {
            if self.jobs[job].is_some() && self.job(job).members.iter().any(|m| m.0 == ix) {
                self.member_lost(job, ix, &cause);
            }
        }
        for instance in 0..self.instances.len() {
            if self.instances[instance].members.contains(&ix) {
                self.displace(instance, &cause);
            }
        }
        let worker = &mut self.workers[ix];
        worker.grants.clear();
        worker.reserved.clear();
        self.racks[worker.rack].workers.remove(&ix);
        self.by_name.remove(&agent.name);
        self.spare_workers.push(ix);
        let stale = |shadow: &super::Shadow| shadow.spare.contains_key(&ix);
        if self.shadow.as_ref().is_some_and(stale) {
            self.shadow = None;
        }
        self.plan = true;
    }

    fn member_lost(&mut self, job: usize, worker: usize, cause: &str) {
        match self.job(job).state {
            State::Waiting => {}
            State::Holding { .. } | State::Committing(_) => self.retry(job, cause),
            State::Running | State::Stopping(_) => {
                if self.job(job).members.len() == 1 {
                    return self.end(job, &GangEnd::LeaseLapsed);
                }
                // The other members stop when their lease lapses; until then their accelerators
                // are in use.
                if self.job(job).is_running() {
                    self.preempt(job, cause, After::Requeue);
                    self.job_mut(job).preempted.pop();
                }
                self.account(job, false);
                self.job_mut(job).members.retain(|member| member.0 != worker);
                self.account(job, true);
            }
        }
    }

    pub(super) fn drain(&mut self, name: &str, draining: bool) {
        let Some(ix) = self.by_name.get(name).copied() else { return };
        if self.workers[ix].draining == draining {
            return;
        }
        self.workers[ix].draining = draining;
        self.refresh(ix);
        self.plan = true;
        if !draining {
            return self.freed();
        }
        self.displace_worker(ix, "worker drains");
        let movable = |grant: &&Grant| !grant.non_preemptible && !grant.evicting;
        let jobs: Vec<usize> =
            self.workers[ix].grants.iter().filter(movable).map(|grant| grant.job).collect();
        for job in jobs {
            if self.job(job).spec.preemption == crate::Preemption::Checkpoint {
                self.preempt(job, "worker drains", After::Requeue);
            }
        }
    }

    pub(super) fn take_report(&mut self, ix: usize, report: &WorkerReport) {
        for grant in &report.grants {
            self.take_grant(ix, grant);
        }
        self.find_missing(ix, report);
        self.compare_reservations(ix, report);
        if !self.workers[ix].reported {
            self.workers[ix].reported = true;
            self.plan = true;
            self.freed();
        }
        self.refresh(ix);
    }

    fn take_grant(&mut self, ix: usize, grant: &ReportedGrant) {
        self.epoch = self.epoch.max(grant.epoch);
        let Some(job) = self.by_id.get(&grant.job).copied() else {
            if self.is_ended(ix, grant) {
                return;
            }
            return self.adopt(ix, grant, None);
        };
        let known = self.job(job);
        if known.epoch == grant.epoch && !known.is_waiting() {
            let held = self.workers[ix].grants.iter_mut().find(|held| held.job == job);
            let Some(held) = held else { return self.adopt(ix, grant, Some(job)) };
            held.covered = true;
            let unclaimed = self.job(job).instance.is_none();
            if let Some(name) = grant.instance.as_ref().filter(|_| unclaimed) {
                // The instance was claimed by another job when the grant was first reported.
                self.adopt_claim(ix, job, name);
                self.refresh(ix);
            }
            if grant.running && self.job(job).is_running() {
                self.observe_memory(job, grant.memory_mib);
            }
            return;
        }
        let waits = known.is_waiting();
        if self.is_ended(ix, grant) {
            return;
        }
        let known = self.job(job);
        if waits && grant.epoch >= known.epoch {
            self.adopt(ix, grant, Some(job));
        }
    }

    /// Reports whether the grant belongs to a gang that has ended. One that outlives the lag of
    /// reports is released again.
    fn is_ended(&mut self, ix: usize, grant: &ReportedGrant) -> bool {
        let Some((epoch, at)) = self.ended.get(&grant.job).copied() else { return false };
        if grant.epoch > epoch {
            return false;
        }
        if self.now - at > REPORT_LAG {
            let members = vec![self.workers[ix].agent.clone()];
            let reason = "gang ended but is still reported".to_owned();
            let job = grant.job.clone();
            self.out.push(Action::Release { job, epoch: grant.epoch, members, reason });
        }
        true
    }

    /// Takes over a grant that another entry decided on.
    fn adopt(&mut self, ix: usize, grant: &ReportedGrant, job: Option<usize>) {
        let non_preemptible = grant.instance.is_some() || !grant.preemptible;
        let started = self.now.checked_sub(grant.run_time).unwrap_or(self.now);
        let job = job.unwrap_or_else(|| {
            let mut job = Job::new(JobSpec::unknown(&grant.job, grant.accelerators), self.now);
            job.stub = true;
            self.add_job(job)
        });
        self.dequeue(job);
        if !self.job(job).members.is_empty() {
            self.account(job, false);
        }
        let known = self.job_mut(job);
        if !matches!(known.state, State::Stopping(_)) {
            known.state = State::Running;
        }
        known.epoch = grant.epoch;
        known.started = started;
        known.non_preemptible |= non_preemptible;
        known.members.push((ix, grant.accelerators));
        let (cores, memory, non_preemptible) =
            (known.spec.cores, known.memory, known.non_preemptible);
        self.account(job, true);
        let grant_ix = Grant {
            job,
            accelerators: grant.accelerators,
            cores,
            memory,
            non_preemptible,
            evicting: false,
            covered: true,
        };
        self.workers[ix].grants.push(grant_ix);
        if let Some(name) = &grant.instance {
            self.adopt_claim(ix, job, name);
        }
        self.resolve_overlap(ix);
        self.refresh(ix);
    }

    /// A grant that a report covered once and that is missing now has ended at its agent.
    fn find_missing(&mut self, ix: usize, report: &WorkerReport) {
        let listed = |job: &str| report.grants.iter().any(|grant| grant.job == job);
        let gone: Vec<usize> = self.workers[ix]
            .grants
            .iter()
            .filter(|grant| grant.covered && !listed(&self.job(grant.job).spec.id))
            .map(|grant| grant.job)
            .collect();
        for job in gone {
            if self.job(job).stub {
                self.account(job, false);
                self.job_mut(job).members.retain(|member| member.0 != ix);
                self.account(job, true);
                self.workers[ix].grants.retain(|grant| grant.job != job);
                self.plan = true;
                if self.job(job).members.is_empty() {
                    self.release(job);
                    self.remove_job(job);
                }
                continue;
            }
            // The end of the gang is usually reported at the same time.
            let epoch = self.job(job).epoch;
            for grant in self.workers[ix].grants.iter_mut().filter(|grant| grant.job == job) {
                grant.covered = false;
            }
            self.set_timer(REPORT_LAG, Timer::Missing(job, epoch, ix));
        }
    }

    /// Ends a gang of which a member is still missing from reports; its end was not reported.
    pub(super) fn still_missing(&mut self, job: usize, worker: usize) {
        let missing = |grant: &Grant| grant.job == job && !grant.covered;
        if self.job(job).is_running() && self.workers[worker].grants.iter().any(missing) {
            self.preempt(job, "a member is no longer reported", After::Requeue);
            self.job_mut(job).preempted.pop();
        }
    }

    fn compare_reservations(&mut self, ix: usize, report: &WorkerReport) {
        let now = self.now;
        let agent = self.workers[ix].agent.clone();
        for reserved in &report.reservations {
            self.epoch = self.epoch.max(reserved.epoch);
            let instance =
                self.instances.iter().position(|instance| instance.name == reserved.instance);
            if let Some(instance) = instance.filter(|_| !self.settled) {
                self.adopt_reservation(ix, instance, reserved.epoch);
                continue;
            }
            let held =
                instance.is_some_and(|instance| self.instances[instance].members.contains(&ix));
            // A change that is under way must not be cleared by a report that predates it.
            let settled =
                instance.is_none_or(|instance| now - self.instances[instance].moved > REPORT_LAG);
            if !held && settled && self.settled {
                self.out.push(Action::ClearReservation {
                    instance: reserved.instance.clone(),
                    worker: agent.clone(),
                    accelerators: reserved.accelerators,
                    epoch: reserved.epoch,
                    reason: "reported but not planned".to_owned(),
                });
            }
        }
        let mut again = Vec::new();
        // A claim converts the whole reservation at its agent, which keeps the unused rest.
        let converted: Vec<usize> = self.workers[ix]
            .grants
            .iter()
            .filter_map(|grant| self.job(grant.job).instance)
            .collect();
        for held in &mut self.workers[ix].reserved {
            let name = &self.instances[held.instance].name;
            let listed = report.reservations.iter().any(|reserved| {
                reserved.instance == *name && reserved.accelerators == held.accelerators
            });
            let converted = converted.contains(&held.instance);
            if listed || converted || now - held.set <= REPORT_LAG {
                continue;
            }
            held.set = now;
            again.push(Action::SetReservation {
                instance: name.clone(),
                worker: agent.clone(),
                accelerators: held.accelerators,
                epoch: held.epoch,
                reason: "planned but not reported".to_owned(),
            });
        }
        self.out.append(&mut again);
    }
}
