use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::grant::{Grant, Stage};
use crate::lead::Lead;
use crate::{
    Action, CHECKPOINT_GRACE, End, FENCE_RETENTION, GANG_LEASE, GrantReport, Hold, HoldReply,
    MemberState, Refusal, Report, Reservation, WorkerEvent,
};

/// Time after which an unconfirmed stop is sent to the worker again.
const KILL_RETRY: Duration = Duration::from_millis(500);
/// Time after which a member that waits for its first lease tells the lead again.
const READY_RETRY: Duration = Duration::from_millis(250);
/// Time between the steps against a task that uses more memory than declared.
const OVERUSE_STEP: Duration = Duration::from_secs(5);

/// Proposals that are over: commands up to `epoch` are refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fence {
    pub(crate) epoch: u64,
    /// How the gang's last epoch ended here.
    pub(crate) state: MemberState,
    pub(crate) expires: Instant,
}

/// Holds, grants, reservations and gang leases of one worker.
///
/// Every method first drops what has expired at `now`, so that nothing is done on an expired lease
/// after a pause, whatever order events arrive in.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) agent: AgentId,
    pub(crate) accelerators: u32,
    opens: Instant,
    pub(crate) draining: bool,
    pub(crate) grants: BTreeMap<String, Grant>,
    pub(crate) reservations: BTreeMap<String, Reservation>,
    pub(crate) instances: BTreeMap<String, u64>,
    pub(crate) fences: BTreeMap<String, Fence>,
    pub(crate) leads: BTreeMap<String, Lead>,
}

impl Ledger {
    /// Returns the ledger of a worker with `accelerators`, started at `now`.
    ///
    /// A predecessor's tasks may run until their leases have expired, so that holds are refused for
    /// that long. `with_idle_worker` skips the wait.
    pub fn new(agent: AgentId, accelerators: u32, now: Instant) -> Self {
        Self {
            agent,
            accelerators,
            // The worker's clock may be 1 % slow; 5 % leave room for the delivery of a renewal.
            opens: now + GANG_LEASE + GANG_LEASE / 20,
            draining: false,
            grants: BTreeMap::new(),
            reservations: BTreeMap::new(),
            instances: BTreeMap::new(),
            fences: BTreeMap::new(),
            leads: BTreeMap::new(),
        }
    }

    /// States that the worker runs no task, so that holds are accepted from `now` on.
    pub fn with_idle_worker(mut self, now: Instant) -> Self {
        self.opens = now;
        self
    }

    /// Handles a request for accelerators, or for a change of reservations only.
    pub fn hold(&mut self, hold: &Hold, now: Instant) -> (HoldReply, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let changes = !hold.reserve.is_empty() || !hold.unreserve.is_empty();
        let before = changes
            .then(|| (self.grants.clone(), self.reservations.clone(), self.instances.clone()));
        let result = self.change_reservations(hold).and_then(|()| {
            if hold.gang.is_empty() {
                return Ok(HoldReply::Held);
            }
            self.check_open(hold, now)?;
            self.admit(hold, now, &mut actions)
        });
        let reply = result.unwrap_or_else(|refusal| {
            if let Some(before) = before {
                (self.grants, self.reservations, self.instances) = before;
            }
            HoldReply::Refused(refusal)
        });
        (reply, actions)
    }

    /// Ends a proposal that has not started: its hold, or its commit. Returns false when the gang
    /// runs already; it then has to be stopped.
    pub fn release(&mut self, gang: &str, epoch: u64, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let grant = self.grants.get(gang).filter(|grant| grant.epoch <= epoch);
        if grant.is_some_and(|grant| {
            matches!(grant.stage, Stage::Running { .. } | Stage::Stopping { .. })
        }) {
            return (false, actions);
        }
        let held = grant.is_some();
        self.bar(gang, epoch, MemberState::Failed, now);
        if held {
            self.drop_grant(gang);
        }
        if self.leads.get(gang).is_some_and(|lead| lead.epoch <= epoch) {
            self.end_gang(gang, End::Stopped, "released", Duration::ZERO, now, &mut actions);
        }
        (true, actions)
    }

    /// Handles a report of the worker about the task of `gang`.
    pub fn handle_worker_event(
        &mut self,
        gang: &str,
        epoch: u64,
        event: WorkerEvent,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let grant = self.grants.get(gang).filter(|grant| grant.epoch == epoch);
        let Some(stage) = grant.map(|grant| grant.stage) else {
            // A task without a grant, for instance one whose stop was lost.
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
            (WorkerEvent::Checkpointed, Stage::Running { leaving: Some(_), .. })
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

    /// Notes that the worker has restarted and runs no task.
    pub fn worker_restarted(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        for gang in self
            .gangs(|grant| matches!(grant.stage, Stage::Running { .. } | Stage::Stopping { .. }))
        {
            self.end_task(&gang, MemberState::Failed, now, &mut actions);
        }
        actions
    }

    /// Notes the memory that a task uses. A task above its declared memory is throttled, 5 s later
    /// asked for a checkpoint, and then stopped.
    pub fn record_memory_usage(&mut self, gang: &str, memory: u64, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let Some(grant) = self.grants.get_mut(gang) else { return actions };
        grant.memory_used = memory;
        if grant.memory == 0 || memory <= grant.memory {
            grant.over = None;
            return actions;
        }
        match grant.over {
            None => {
                grant.over = Some(now);
                let (gang, epoch) = (gang.to_owned(), grant.epoch);
                actions.push(Action::Throttle { gang, epoch });
            }
            Some(since) if now.saturating_duration_since(since) >= OVERUSE_STEP => {
                self.evict(gang, CHECKPOINT_GRACE, true, now, &mut actions);
            }
            Some(_) => {}
        }
        actions
    }

    /// Takes no new holds from now on; what is granted goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes holds again.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    /// Drops what has expired, renews the leases of gangs that are led here and repeats messages
    /// that may be lost. Call it at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        self.fences.retain(|_, fence| fence.expires > now);
        for gang in self.leads.keys().cloned().collect::<Vec<_>>() {
            self.tick_lead(&gang, now, &mut actions);
        }
        let due = |at: Instant, retry| now.saturating_duration_since(at) >= retry;
        for gang in self.gangs(|grant| match grant.stage {
            Stage::Committed { told, .. } => due(told, READY_RETRY),
            Stage::Stopping { told, .. } => due(told, KILL_RETRY),
            _ => false,
        }) {
            self.repeat(&gang, now, &mut actions);
        }
        actions
    }

    /// Returns the state that is reported to the entries.
    pub fn report(&self, now: Instant) -> Report {
        let grants = self.grants.iter().filter(|(_, grant)| grant.occupies());
        let claimed = self.grants.values().filter(|grant| !grant.occupies());
        let pending = claimed.filter_map(|grant| grant.claim.as_ref());
        let mut reservations: Vec<Reservation> = self.reservations.values().cloned().collect();
        reservations.extend(pending.map(|claim| claim.reservation.clone()));
        reservations.sort_by(|a, b| a.instance.cmp(&b.instance));
        Report {
            accelerators: self.accelerators,
            serving: !self.draining && now >= self.opens,
            grants: grants.map(|(gang, grant)| grant_report(gang, grant, now)).collect(),
            reservations,
        }
    }

    fn check_open(&self, hold: &Hold, now: Instant) -> Result<(), Refusal> {
        if now < self.opens {
            return Err(Refusal::Starting);
        }
        if self.draining {
            return Err(Refusal::Draining);
        }
        self.check_epoch(&hold.gang, hold.epoch)
    }

    pub(crate) fn check_epoch(&self, gang: &str, epoch: u64) -> Result<(), Refusal> {
        let fence = self.fences.get(gang).map(|fence| fence.epoch).filter(|seen| *seen >= epoch);
        let newer = self.grants.get(gang).map(|grant| grant.epoch).filter(|seen| *seen > epoch);
        match fence.or(newer) {
            Some(seen) => Err(Refusal::Stale { name: gang.to_owned(), epoch, seen }),
            None => Ok(()),
        }
    }

    /// Refuses commands of `gang` up to `epoch` for [`FENCE_RETENTION`].
    pub(crate) fn bar(&mut self, gang: &str, epoch: u64, state: MemberState, now: Instant) {
        let expires = now + FENCE_RETENTION;
        let fence = self.fences.entry(gang.to_owned()).or_insert(Fence { epoch, state, expires });
        fence.expires = expires;
        if epoch >= fence.epoch {
            (fence.epoch, fence.state) = (epoch, state);
        }
    }

    pub(crate) fn gangs(&self, test: impl Fn(&Grant) -> bool) -> Vec<String> {
        let found = self.grants.iter().filter(|(_, grant)| test(grant));
        found.map(|(gang, _)| gang.clone()).collect()
    }

    /// Drops expired holds and commits, and stops tasks whose lease or grace period is over.
    pub(crate) fn sweep(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired = self.gangs(|grant| match grant.stage {
            Stage::Pending { expires } | Stage::Held { expires } => now >= expires,
            Stage::Committed { since, .. } => now >= since + GANG_LEASE,
            Stage::Running { lease, leaving, .. } => {
                now >= lease || leaving.is_some_and(|leaving| now >= leaving)
            }
            Stage::Stopping { .. } => false,
        });
        for gang in expired {
            let Some(grant) = self.grants.get(&gang) else { continue };
            match grant.stage {
                Stage::Running { .. } => self.stop_task(&gang, MemberState::Failed, now, actions),
                Stage::Committed { .. } => {
                    let epoch = grant.epoch;
                    self.bar(&gang, epoch, MemberState::Failed, now);
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

fn grant_report(gang: &str, grant: &Grant, now: Instant) -> GrantReport {
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
