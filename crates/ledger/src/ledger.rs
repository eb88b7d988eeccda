use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::grant::{Grant, Stage};
use crate::lead::Lead;
use crate::{
    Action, CHECKPOINT_GRACE, End, FENCE_RETENTION, GANG_LEASE, GrantReport, Hold, HoldReply,
    MemberState, Refusal, Report, Reservation, WorkerEvent,
};

/// Interval at which an unconfirmed stop command is sent to the worker again.
const KILL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a member that waits for its first lease reports to the lead again.
const READY_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time between throttling a task that uses more memory than declared and evicting it.
const MEMORY_OVERUSE_INTERVAL: Duration = Duration::from_secs(5);

/// Record of a gang's ended proposals: commands with an epoch up to `epoch` are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fence {
    pub(crate) epoch: u64,
    /// Final state of the gang's last epoch on this worker.
    pub(crate) state: MemberState,
    pub(crate) expires: Instant,
}

/// Holds, grants, reservations and gang leases of one worker.
///
/// Every method that handles an event first expires holds and leases at `now`, so that after a
/// pause of the process nothing is done on an expired lease, in whatever order events arrive.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) agent: AgentId,
    pub(crate) accelerators: u32,
    refuses_until: Instant,
    pub(crate) draining: bool,
    pub(crate) grants: BTreeMap<String, Grant>,
    pub(crate) reservations: BTreeMap<String, Reservation>,
    pub(crate) instance_epochs: BTreeMap<String, u64>,
    pub(crate) fences: BTreeMap<String, Fence>,
    pub(crate) leads: BTreeMap<String, Lead>,
}

impl Ledger {
    /// Returns the ledger of a worker with `accelerators` for an agent that started at `now`.
    ///
    /// Tasks of the agent's previous incarnation may run until their leases have expired, so holds
    /// are refused for that long. [`Ledger::with_idle_worker`] skips the wait.
    pub fn new(agent: AgentId, accelerators: u32, now: Instant) -> Self {
        Self {
            agent,
            accelerators,
            // The worker's clock may be 1 % slow; the margin of 5 % also covers the delivery of a
            // renewal.
            refuses_until: now + GANG_LEASE + GANG_LEASE / 20,
            draining: false,
            grants: BTreeMap::new(),
            reservations: BTreeMap::new(),
            instance_epochs: BTreeMap::new(),
            fences: BTreeMap::new(),
            leads: BTreeMap::new(),
        }
    }

    /// Accepts holds from `now` on. The caller asserts that the worker is running no task.
    pub fn with_idle_worker(mut self, now: Instant) -> Self {
        self.refuses_until = now;
        self
    }

    /// Handles a request for accelerators, or only for a change of reservations.
    pub fn hold(&mut self, hold: &Hold, now: Instant) -> (HoldReply, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let changes_reservations = !hold.reserve.is_empty() || !hold.unreserve.is_empty();
        let snapshot = changes_reservations.then(|| {
            (self.grants.clone(), self.reservations.clone(), self.instance_epochs.clone())
        });
        let result = self.change_reservations(hold).and_then(|()| {
            if hold.gang.is_empty() {
                return Ok(HoldReply::Held);
            }
            self.check_accepts_hold(hold, now)?;
            self.admit(hold, now, &mut actions)
        });
        let reply = result.unwrap_or_else(|refusal| {
            if let Some(snapshot) = snapshot {
                (self.grants, self.reservations, self.instance_epochs) = snapshot;
            }
            HoldReply::Refused(refusal)
        });
        (reply, actions)
    }

    /// Ends a proposal whose task has not started, by dropping its hold or its commit. Returns
    /// false if the task is already running; the caller must then stop the gang.
    pub fn release(&mut self, gang: &str, epoch: u64, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let grant = self.grants.get(gang).filter(|grant| grant.epoch <= epoch);
        if grant.is_some_and(|grant| {
            matches!(grant.stage, Stage::Running { .. } | Stage::Stopping { .. })
        }) {
            return (false, actions);
        }
        let has_grant = grant.is_some();
        self.fence(gang, epoch, MemberState::Failed, now);
        if has_grant {
            self.drop_grant(gang);
        }
        if self.leads.get(gang).is_some_and(|lead| lead.epoch <= epoch) {
            self.end_gang(gang, End::Stopped, "released", Duration::ZERO, now, &mut actions);
        }
        (true, actions)
    }

    /// Handles an event that the worker reports about the task of `gang`.
    pub fn handle_worker_event(
        &mut self,
        gang: &str,
        epoch: u64,
        event: WorkerEvent,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let grant = self.grants.get(gang).filter(|grant| grant.epoch == epoch);
        let Some(stage) = grant.map(|grant| grant.stage) else {
            // The task has no grant, for example because the command to stop it was lost.
            if event == WorkerEvent::Started {
                actions.push(Action::Kill { gang: gang.to_owned(), epoch });
            }
            return actions;
        };
        let state = match (event, stage) {
            (WorkerEvent::Finished, _) => MemberState::Finished,
            (_, Stage::Stopping { state, .. }) => state,
            _ => MemberState::Failed,
        };
        match (event, stage) {
            (WorkerEvent::Started, _) => {}
            (_, Stage::Pending { .. } | Stage::Held { .. } | Stage::Committed { .. }) => {}
            (WorkerEvent::Checkpointed, Stage::Running { grace_expires: Some(_), .. })
            | (WorkerEvent::NoAnswer, Stage::Running { .. }) => {
                self.stop_task(gang, state, now, &mut actions);
            }
            (WorkerEvent::Checkpointed | WorkerEvent::NoAnswer, _) => {}
            (WorkerEvent::Failed | WorkerEvent::Finished | WorkerEvent::Stopped, _) => {
                self.end_task(gang, state, now, &mut actions);
            }
        }
        actions
    }

    /// Records that the worker has restarted and is running no task.
    pub fn worker_restarted(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        for gang in self.gangs_where(|grant| {
            matches!(grant.stage, Stage::Running { .. } | Stage::Stopping { .. })
        }) {
            self.end_task(&gang, MemberState::Failed, now, &mut actions);
        }
        actions
    }

    /// Records the memory that a task uses. A task that exceeds its declared memory is throttled,
    /// asked 5 s later to write a checkpoint, and then stopped.
    pub fn record_memory_usage(&mut self, gang: &str, memory: u64, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let Some(grant) = self.grants.get_mut(gang) else { return actions };
        grant.memory_used = memory;
        if grant.memory == 0 || memory <= grant.memory {
            grant.overuse_since = None;
            return actions;
        }
        match grant.overuse_since {
            None => {
                grant.overuse_since = Some(now);
                let (gang, epoch) = (gang.to_owned(), grant.epoch);
                actions.push(Action::Throttle { gang, epoch });
            }
            Some(since) if now.saturating_duration_since(since) >= MEMORY_OVERUSE_INTERVAL => {
                self.evict(gang, CHECKPOINT_GRACE, true, now, &mut actions);
            }
            Some(_) => {}
        }
        actions
    }

    /// Refuses new holds from now on; granted tasks keep running.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Accepts new holds again.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Expires holds, leases and fences, renews the leases of gangs that this agent leads, and
    /// repeats messages that may have been lost. It must be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.fences.retain(|_, fence| fence.expires > now);
        for gang in self.leads.keys().cloned().collect::<Vec<_>>() {
            self.tick_lead(&gang, now, &mut actions);
        }
        let is_due = |last_sent: Instant, retry| now.saturating_duration_since(last_sent) >= retry;
        for gang in self.gangs_where(|grant| match grant.stage {
            Stage::Committed { last_sent, .. } => is_due(last_sent, READY_RETRY_INTERVAL),
            Stage::Stopping { last_sent, .. } => is_due(last_sent, KILL_RETRY_INTERVAL),
            _ => false,
        }) {
            self.resend(&gang, now, &mut actions);
        }
        actions
    }

    /// Returns the state of the ledger that is reported to the entries.
    pub fn report(&self, now: Instant) -> Report {
        let allocated = self.grants.iter().filter(|(_, grant)| grant.is_allocated());
        let pending = self.grants.values().filter(|grant| !grant.is_allocated());
        let pending_claims = pending.filter_map(|grant| grant.claim.as_ref());
        let mut reservations: Vec<Reservation> = self.reservations.values().cloned().collect();
        reservations.extend(pending_claims.map(|claim| claim.reservation.clone()));
        reservations.sort_by(|a, b| a.instance.cmp(&b.instance));
        Report {
            accelerators: self.accelerators,
            serving: !self.draining && now >= self.refuses_until,
            grants: allocated.map(|(gang, grant)| to_grant_report(gang, grant, now)).collect(),
            reservations,
        }
    }

    fn check_accepts_hold(&self, hold: &Hold, now: Instant) -> Result<(), Refusal> {
        if now < self.refuses_until {
            return Err(Refusal::Starting);
        }
        if self.draining {
            return Err(Refusal::Draining);
        }
        self.check_epoch(&hold.gang, hold.epoch)
    }

    pub(crate) fn check_epoch(&self, gang: &str, epoch: u64) -> Result<(), Refusal> {
        let fence =
            self.fences.get(gang).map(|fence| fence.epoch).filter(|fenced| *fenced >= epoch);
        let newer =
            self.grants.get(gang).map(|grant| grant.epoch).filter(|granted| *granted > epoch);
        match fence.or(newer) {
            Some(seen) => Err(Refusal::Stale { name: gang.to_owned(), epoch, seen }),
            None => Ok(()),
        }
    }

    /// Refuses commands of `gang` with an epoch up to `epoch` for [`FENCE_RETENTION`].
    pub(crate) fn fence(&mut self, gang: &str, epoch: u64, state: MemberState, now: Instant) {
        let expires = now + FENCE_RETENTION;
        let fence = self.fences.entry(gang.to_owned()).or_insert(Fence { epoch, state, expires });
        fence.expires = expires;
        if epoch >= fence.epoch {
            (fence.epoch, fence.state) = (epoch, state);
        }
    }

    pub(crate) fn gangs_where(&self, predicate: impl Fn(&Grant) -> bool) -> Vec<String> {
        let matching = self.grants.iter().filter(|(_, grant)| predicate(grant));
        matching.map(|(gang, _)| gang.clone()).collect()
    }

    /// Drops expired holds and commits, and stops tasks whose lease or grace period has expired.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired = self.gangs_where(|grant| match grant.stage {
            Stage::Pending { expires } | Stage::Held { expires } => now >= expires,
            Stage::Committed { since, .. } => now >= since + GANG_LEASE,
            Stage::Running { lease_expires, grace_expires, .. } => {
                now >= lease_expires || grace_expires.is_some_and(|expires| now >= expires)
            }
            Stage::Stopping { .. } => false,
        });
        for gang in expired {
            let Some(grant) = self.grants.get(&gang) else { continue };
            match grant.stage {
                Stage::Running { .. } => self.stop_task(&gang, MemberState::Failed, now, actions),
                Stage::Committed { .. } => {
                    let epoch = grant.epoch;
                    self.fence(&gang, epoch, MemberState::Failed, now);
                    self.drop_grant(&gang);
                    if self.leads.get(&gang).is_some_and(|lead| lead.epoch == epoch) {
                        self.end_not_ready(&gang, now, actions);
                    }
                }
                _ => self.drop_grant(&gang),
            }
        }
    }
}

fn to_grant_report(gang: &str, grant: &Grant, now: Instant) -> GrantReport {
    let since = match grant.stage {
        Stage::Running { since, .. } | Stage::Stopping { since, .. } => Some(since),
        _ => None,
    };
    GrantReport {
        gang: gang.to_owned(),
        epoch: grant.epoch,
        accelerators: grant.accelerators,
        instance: grant.claim.as_ref().map(|claim| claim.reservation.instance.clone()),
        preemptible: grant.preemptible,
        running: since.is_some(),
        running_for: since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        lead: grant.lead.as_ref().map(|lead| lead.agent.clone()),
        memory_used: grant.memory_used,
    }
}
