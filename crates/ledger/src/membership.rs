use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::grant::Stage;
use crate::lead::{Lead, LeadPhase};
use crate::{
    Action, Commit, End, GANG_LEASE, Ledger, Member, MemberState, RENEW_INTERVAL, Ready, Refusal,
    Renew, RenewReply, Stop,
};

/// Time that the other members get to finish after the first one has finished.
const FINISH_GRACE: Duration = Duration::from_secs(1);

/// Gangs: the member's side and the lead's side.
impl Ledger {
    /// Turns the hold of `commit` into a grant and tells the lead.
    pub fn commit(&mut self, commit: &Commit, now: Instant) -> (Result<(), Refusal>, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let result = self.try_commit(commit, now, &mut actions);
        (result, actions)
    }

    /// Handles a member's state at the lead. Returns false when the gang is not led here.
    pub fn handle_ready(&mut self, ready: &Ready, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let known = self.take_ready(ready, now, &mut actions);
        (known, actions)
    }

    /// Handles a renewal of the gang lease at a member.
    pub fn renew(&mut self, renew: &Renew, now: Instant) -> (RenewReply, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let reply = self.take_renewal(renew, now, &mut actions);
        (reply, actions)
    }

    /// Handles a member's answer to a renewal at the lead.
    pub fn handle_renew_reply(
        &mut self,
        member: &Member,
        renew: &Renew,
        reply: RenewReply,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        self.take_reply(member, renew, reply, now, &mut actions);
        actions
    }

    /// Ends a gang: the whole of it at its lead, otherwise this member. Returns false when a newer
    /// proposal is in force.
    pub fn stop(&mut self, stop: &Stop, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.sweep(now, &mut actions);
        let newer = self.grants.get(&stop.gang).is_some_and(|grant| grant.epoch > stop.epoch);
        self.bar(&stop.gang, stop.epoch, MemberState::Failed, now);
        if self.leads.get(&stop.gang).is_some_and(|lead| lead.epoch <= stop.epoch) {
            self.stop_gang(stop, now, &mut actions);
        }
        self.stop_member(stop, now, &mut actions);
        (!newer, actions)
    }

    fn try_commit(
        &mut self,
        commit: &Commit,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        self.check_epoch(&commit.gang, commit.epoch)?;
        let lead = commit.members.first();
        let named = commit.members.iter().any(|member| member.agent == self.agent);
        let Some(lead) = lead.filter(|_| named) else {
            return Err(Refusal::NotMember { gang: commit.gang.clone() });
        };
        let grant = self.grants.get_mut(&commit.gang).filter(|g| g.epoch == commit.epoch);
        let not_held = Refusal::NotHeld { gang: commit.gang.clone(), epoch: commit.epoch };
        let grant = grant.ok_or(not_held.clone())?;
        match grant.stage {
            Stage::Pending { .. } => return Err(not_held),
            Stage::Held { .. } => {}
            // A repeat of the commit that took effect, as opposed to one of another proposer.
            _ if grant.lead.as_ref() == Some(lead) => return Ok(()),
            _ => {
                let (gang, epoch) = (commit.gang.clone(), commit.epoch);
                return Err(Refusal::Committed { gang, epoch });
            }
        }
        grant.stage = Stage::Committed { since: now, told: now };
        grant.lead = Some(lead.clone());
        grant.task = commit.task.clone();
        if lead.agent == self.agent {
            let lead = Lead::new(commit.epoch, &commit.members, now);
            self.leads.insert(commit.gang.clone(), lead);
        }
        self.tell_lead(&commit.gang, now, actions);
        Ok(())
    }

    /// Sends the member's current state to the lead.
    fn tell_lead(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        let Some(to) = grant.lead.clone() else { return };
        let ready = Ready {
            gang: gang.to_owned(),
            epoch: grant.epoch,
            member: self.agent.clone(),
            stamp: grant.stamp(now),
            state: grant.state(),
        };
        if to.agent == self.agent {
            self.take_ready(&ready, now, actions);
        } else {
            actions.push(Action::SendReady { to, ready });
        }
    }

    /// Repeats the message that a committed or stopping member waits on.
    pub(crate) fn repeat(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        match &mut grant.stage {
            Stage::Committed { told, .. } => {
                *told = now;
                self.tell_lead(gang, now, actions);
            }
            Stage::Stopping { told, .. } => {
                *told = now;
                actions.push(Action::Kill { gang: gang.to_owned(), epoch: grant.epoch });
            }
            _ => {}
        }
    }

    fn take_renewal(
        &mut self,
        renew: &Renew,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> RenewReply {
        let gone = self.fences.get(&renew.gang).filter(|fence| fence.epoch >= renew.epoch);
        let gone = gone.map_or(MemberState::Unknown, |fence| fence.state);
        let Some(grant) = self.grants.get_mut(&renew.gang).filter(|g| g.epoch == renew.epoch)
        else {
            return RenewReply { state: gone, stamp: 0 };
        };
        // The lease counts from a message that the member itself has sent, so that a renewal that
        // was delayed on its way does not extend it. 1 % allows for a clock that runs slow.
        let end = grant.sent_at(renew.stamp, now).map(|sent| sent + renew.lease * 99 / 100);
        if let Some(end) = end.filter(|end| *end > now) {
            let (gang, epoch, lease) = (renew.gang.clone(), renew.epoch, end - now);
            match &mut grant.stage {
                Stage::Committed { .. } => {
                    grant.stage = Stage::Running { since: now, lease: end, leaving: None };
                    let task = grant.task.clone();
                    actions.push(Action::Start { gang, epoch, lease, task });
                }
                Stage::Running { lease: until, .. } if end > *until => {
                    *until = end;
                    actions.push(Action::Extend { gang, epoch, lease });
                }
                _ => {}
            }
        }
        RenewReply { state: grant.state(), stamp: grant.stamp(now) }
    }

    /// Tells the worker to stop the task. Its accelerators stay taken until the worker confirms.
    pub(crate) fn stop_task(
        &mut self,
        gang: &str,
        state: MemberState,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        let Stage::Running { since, .. } = grant.stage else { return };
        let epoch = grant.epoch;
        grant.stage = Stage::Stopping { since, told: now, state };
        self.bar(gang, epoch, state, now);
        actions.push(Action::Kill { gang: gang.to_owned(), epoch });
        self.tell_lead(gang, now, actions);
    }

    /// Frees the accelerators of a task that has ended.
    pub(crate) fn end_task(
        &mut self,
        gang: &str,
        state: MemberState,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        let (epoch, running) = (grant.epoch, matches!(grant.stage, Stage::Running { .. }));
        if running {
            grant.stage = Stage::Stopping { since: now, told: now, state };
            self.tell_lead(gang, now, actions);
        }
        self.bar(gang, epoch, state, now);
        self.drop_grant(gang);
    }

    /// Asks a running task to leave within `grace`; ends a commit that has not started.
    pub(crate) fn evict(
        &mut self,
        gang: &str,
        grace: Duration,
        checkpoint: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        let epoch = grant.epoch;
        match &mut grant.stage {
            Stage::Pending { .. } | Stage::Held { .. } => self.drop_grant(gang),
            Stage::Committed { since, .. } => {
                // Reported as failed, so that the lead does not wait for this member.
                let (since, state) = (*since, MemberState::Failed);
                grant.stage = Stage::Stopping { since, told: now, state };
                self.tell_lead(gang, now, actions);
                self.bar(gang, epoch, state, now);
                self.drop_grant(gang);
            }
            Stage::Running { .. } if grace.is_zero() => {
                self.stop_task(gang, MemberState::Failed, now, actions);
            }
            Stage::Running { leaving, .. } => {
                let first = leaving.is_none();
                *leaving = Some(leaving.map_or(now + grace, |at| at.min(now + grace)));
                if first && checkpoint {
                    actions.push(Action::Checkpoint { gang: gang.to_owned(), epoch });
                }
                if first {
                    self.tell_lead(gang, now, actions);
                }
            }
            Stage::Stopping { .. } => {}
        }
    }

    fn stop_member(&mut self, stop: &Stop, now: Instant, actions: &mut Vec<Action>) {
        if self.grants.get(&stop.gang).is_some_and(|grant| grant.epoch <= stop.epoch) {
            self.evict(&stop.gang, stop.grace, stop.checkpoint, now, actions);
        }
    }

    fn take_ready(&mut self, ready: &Ready, now: Instant, actions: &mut Vec<Action>) -> bool {
        let gang = ready.gang.as_str();
        let Some(lead) = self.leads.get_mut(gang).filter(|lead| lead.epoch == ready.epoch) else {
            return false;
        };
        if !lead.followers.contains_key(&ready.member) {
            return false;
        }
        match ready.state {
            MemberState::Ready | MemberState::Running | MemberState::Leaving => {
                lead.hear(&ready.member, ready.stamp, now);
                let collecting = matches!(lead.phase, LeadPhase::Collecting { .. });
                if collecting && lead.all_ready() {
                    lead.begin(now);
                    self.renew_all(gang, now, actions);
                }
                if ready.state == MemberState::Leaving {
                    self.leave(gang, &ready.member.to_string(), now, actions);
                }
            }
            state => self.member_ended(gang, &ready.member, state, now, actions),
        }
        true
    }

    fn take_reply(
        &mut self,
        member: &Member,
        renew: &Renew,
        reply: RenewReply,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let gang = renew.gang.as_str();
        let Some(lead) = self.leads.get_mut(gang).filter(|lead| lead.epoch == renew.epoch) else {
            return;
        };
        if !lead.followers.contains_key(&member.agent) {
            return;
        }
        match reply.state {
            MemberState::Ready => lead.hear(&member.agent, reply.stamp, now),
            MemberState::Running | MemberState::Leaving => {
                lead.hear(&member.agent, reply.stamp, now);
                lead.confirm(&member.agent, renew.sequence);
                if reply.state == MemberState::Leaving {
                    self.leave(gang, &member.agent.to_string(), now, actions);
                }
            }
            state => self.member_ended(gang, &member.agent, state, now, actions),
        }
    }

    pub(crate) fn tick_lead(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get(gang) else { return };
        let silent = lead.silent(now).map(ToString::to_string);
        match (lead.phase, silent) {
            (LeadPhase::Collecting { since }, _) if now >= since + GANG_LEASE => {
                self.end_not_ready(gang, now, actions);
            }
            (LeadPhase::Collecting { .. }, _) => {}
            (LeadPhase::Leaving { until }, _) if now >= until => {
                self.end_gang(gang, End::Stopped, "stopped", Duration::ZERO, now, actions);
            }
            (LeadPhase::Finishing { until }, _) if now >= until => {
                let reason = "its members had their time to finish";
                self.end_gang(gang, End::Finished, reason, Duration::ZERO, now, actions);
            }
            (LeadPhase::Leading | LeadPhase::Leaving { .. }, Some(member)) => {
                let reason = format!("{member} does not answer");
                self.end_gang(gang, End::Failed, &reason, Duration::ZERO, now, actions);
            }
            _ if now >= lead.due => self.renew_all(gang, now, actions),
            _ => {}
        }
    }

    pub(crate) fn end_not_ready(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let reason = "not every member became ready";
        self.end_gang(gang, End::NotReady, reason, Duration::ZERO, now, actions);
    }

    /// Sends the lease to every member. It ends at the same time everywhere: [`GANG_LEASE`] after the
    /// whole gang was last known to be running.
    fn renew_all(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get_mut(gang) else { return };
        lead.due = now + RENEW_INTERVAL;
        lead.sequence += 1;
        let Some(limit) = lead.limit() else { return };
        let (epoch, sequence) = (lead.epoch, lead.sequence);
        let mut local = None;
        for member in &lead.members {
            let Some(follower) = lead.followers.get_mut(&member.agent) else { continue };
            if follower.ended {
                continue;
            }
            let Some((stamp, heard)) = follower.heard else { continue };
            let lease = limit.saturating_duration_since(heard);
            follower.sent.insert(sequence, now);
            let renew = Renew { gang: gang.to_owned(), epoch, lease, stamp, sequence };
            if member.agent == self.agent {
                local = Some((member.clone(), renew));
            } else {
                actions.push(Action::SendRenew { to: member.clone(), renew });
            }
        }
        if let Some((member, renew)) = local {
            let reply = self.take_renewal(&renew, now, actions);
            self.take_reply(&member, &renew, reply, now, actions);
        }
    }

    /// Lets the whole gang write checkpoints, because one member is asked to leave.
    fn leave(&mut self, gang: &str, member: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get(gang) else { return };
        if lead.phase != LeadPhase::Leading {
            return;
        }
        let stop = Stop {
            gang: gang.to_owned(),
            epoch: lead.epoch,
            checkpoint: true,
            grace: crate::CHECKPOINT_GRACE,
            reason: format!("{member} was asked to leave"),
        };
        self.stop_gang(&stop, now, actions);
    }

    fn stop_gang(&mut self, stop: &Stop, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get_mut(&stop.gang) else { return };
        if matches!(lead.phase, LeadPhase::Finishing { .. }) {
            if stop.grace.is_zero() {
                let (gang, grace) = (stop.gang.clone(), Duration::ZERO);
                self.end_gang(&gang, End::Finished, "a member finished", grace, now, actions);
            }
            return;
        }
        if stop.grace.is_zero() || matches!(lead.phase, LeadPhase::Collecting { .. }) {
            let (gang, grace) = (stop.gang.clone(), Duration::ZERO);
            return self.end_gang(&gang, End::Stopped, &stop.reason, grace, now, actions);
        }
        let until = now + stop.grace;
        lead.phase = match lead.phase {
            LeadPhase::Leaving { until: before } => LeadPhase::Leaving { until: before.min(until) },
            _ => LeadPhase::Leaving { until },
        };
        let stop = Stop { epoch: lead.epoch, ..stop.clone() };
        let members = lead.members.clone();
        self.send_stops(&members, &stop, now, actions);
    }

    /// Handles the end of one member's task. The first one that finishes speaks for the gang, which
    /// ends when the tasks of all members have.
    fn member_ended(
        &mut self,
        gang: &str,
        member: &AgentId,
        state: MemberState,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(lead) = self.leads.get_mut(gang) else { return };
        let all_ended = lead.end(member);
        let finishing = matches!(lead.phase, LeadPhase::Finishing { .. });
        if finishing || state == MemberState::Finished {
            if all_ended {
                let reason = format!("{member} finished");
                self.end_gang(gang, End::Finished, &reason, Duration::ZERO, now, actions);
            } else if !finishing {
                lead.phase = LeadPhase::Finishing { until: now + FINISH_GRACE };
            }
            return;
        }
        let (end, reason, grace) = match lead.phase {
            // The others may still be writing their checkpoints; their leases bound that.
            LeadPhase::Leaving { .. } => (End::Stopped, "stopped", crate::CHECKPOINT_GRACE),
            _ => (End::Failed, "failed", Duration::ZERO),
        };
        self.end_gang(gang, end, &format!("{member} {reason}"), grace, now, actions);
    }

    /// Ends a gang at its lead: no lease is issued any more, and every member is told to stop.
    pub(crate) fn end_gang(
        &mut self,
        gang: &str,
        end: End,
        reason: &str,
        grace: Duration,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(lead) = self.leads.remove(gang) else { return };
        let (gang, epoch, reason) = (gang.to_owned(), lead.epoch, reason.to_owned());
        self.bar(&gang, epoch, MemberState::Failed, now);
        let stop =
            Stop { gang: gang.clone(), epoch, checkpoint: false, grace, reason: reason.clone() };
        self.send_stops(&lead.members, &stop, now, actions);
        actions.push(Action::Ended { gang, epoch, end, reason });
    }

    fn send_stops(
        &mut self,
        members: &[Member],
        stop: &Stop,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        for to in members {
            if to.agent == self.agent {
                self.stop_member(stop, now, actions);
            } else {
                actions.push(Action::SendStop { to: to.clone(), stop: stop.clone() });
            }
        }
    }
}
