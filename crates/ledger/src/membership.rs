use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::grant::Stage;
use crate::lead::{Lead, LeadPhase};
use crate::{
    Action, Commit, End, GANG_LEASE, Ledger, Member, MemberState, RENEW_INTERVAL, Ready, Refusal,
    Renew, RenewReply, Stop,
};

/// Time that the other members have to finish after the first one has finished.
const FINISH_GRACE: Duration = Duration::from_secs(1);

/// Gang protocol, for the roles of member and lead.
impl Ledger {
    /// Turns the hold of `commit` into a grant and notifies the lead.
    pub fn commit(&mut self, commit: &Commit, now: Instant) -> (Result<(), Refusal>, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let result = self.try_commit(commit, now, &mut actions);
        (result, actions)
    }

    /// Handles the state that a member reports to its lead. Returns false if this agent does not
    /// lead the gang, or the member does not belong to it.
    pub fn handle_ready(&mut self, ready: &Ready, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let accepted = self.process_ready(ready, now, &mut actions);
        (accepted, actions)
    }

    /// Handles a renewal of the gang lease at a member.
    pub fn renew(&mut self, renew: &Renew, now: Instant) -> (RenewReply, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let reply = self.process_renewal(renew, now, &mut actions);
        (reply, actions)
    }

    /// Handles a member's reply to a renewal at the lead.
    pub fn handle_renew_reply(
        &mut self,
        member: &Member,
        renew: &Renew,
        reply: RenewReply,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.process_renew_reply(member, renew, reply, now, &mut actions);
        actions
    }

    /// Ends the whole gang if this agent leads it, otherwise only this member. Returns false if a
    /// newer proposal of the gang has a grant.
    pub fn stop(&mut self, stop: &Stop, now: Instant) -> (bool, Vec<Action>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let has_newer = self.grants.get(&stop.gang).is_some_and(|grant| grant.epoch > stop.epoch);
        self.fence(&stop.gang, stop.epoch, MemberState::Failed, now);
        if self.leads.get(&stop.gang).is_some_and(|lead| lead.epoch <= stop.epoch) {
            self.stop_gang(stop, now, &mut actions);
        }
        self.stop_member(stop, now, &mut actions);
        (!has_newer, actions)
    }

    fn try_commit(
        &mut self,
        commit: &Commit,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        self.check_epoch(&commit.gang, commit.epoch)?;
        let lead = commit.members.first();
        let is_member = commit.members.iter().any(|member| member.agent == self.agent);
        let Some(lead) = lead.filter(|_| is_member) else {
            return Err(Refusal::NotMember { gang: commit.gang.clone() });
        };
        let grant = self.grants.get_mut(&commit.gang).filter(|g| g.epoch == commit.epoch);
        let not_held = Refusal::NotHeld { gang: commit.gang.clone(), epoch: commit.epoch };
        let grant = grant.ok_or(not_held.clone())?;
        match grant.stage {
            Stage::Pending { .. } => return Err(not_held),
            Stage::Held { .. } => {}
            // The same lead identifies a repeat of the accepted commit, as opposed to the commit of
            // another proposer.
            _ if grant.lead.as_ref() == Some(lead) => return Ok(()),
            _ => {
                let (gang, epoch) = (commit.gang.clone(), commit.epoch);
                return Err(Refusal::Committed { gang, epoch });
            }
        }
        grant.stage = Stage::Committed { since: now, last_sent: now };
        grant.lead = Some(lead.clone());
        grant.task = commit.task.clone();
        if lead.agent == self.agent {
            let lead = Lead::new(commit.epoch, &commit.members, now);
            self.leads.insert(commit.gang.clone(), lead);
        }
        self.notify_lead(&commit.gang, now, actions);
        Ok(())
    }

    /// Sends the member's current state to the lead.
    fn notify_lead(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        let Some(to) = grant.lead.clone() else { return };
        let ready = Ready {
            gang: gang.to_owned(),
            epoch: grant.epoch,
            member: self.agent.clone(),
            stamp: grant.next_stamp(now),
            state: grant.state(),
        };
        if to.agent == self.agent {
            self.process_ready(&ready, now, actions);
        } else {
            actions.push(Action::SendReady { to, ready });
        }
    }

    /// Repeats the message whose effect a committed or stopping member is waiting for.
    pub(crate) fn resend(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.get_mut(gang) else { return };
        match &mut grant.stage {
            Stage::Committed { last_sent, .. } => {
                *last_sent = now;
                self.notify_lead(gang, now, actions);
            }
            Stage::Stopping { last_sent, .. } => {
                *last_sent = now;
                actions.push(Action::Kill { gang: gang.to_owned(), epoch: grant.epoch });
            }
            _ => {}
        }
    }

    fn process_renewal(
        &mut self,
        renew: &Renew,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> RenewReply {
        let fence = self.fences.get(&renew.gang).filter(|fence| fence.epoch >= renew.epoch);
        let ended_state = fence.map_or(MemberState::Unknown, |fence| fence.state);
        let Some(grant) = self.grants.get_mut(&renew.gang).filter(|g| g.epoch == renew.epoch)
        else {
            return RenewReply { state: ended_state, stamp: 0 };
        };
        // The lease counts from a message that the member itself has sent, so that a renewal that
        // was delayed in transit does not extend it. The lease is shortened by 1 %, because the
        // clock may be slow.
        let lease_expires =
            grant.stamp_sent_at(renew.stamp, now).map(|sent| sent + renew.lease * 99 / 100);
        if let Some(expires) = lease_expires.filter(|expires| *expires > now) {
            let (gang, epoch, lease) = (renew.gang.clone(), renew.epoch, expires - now);
            match &mut grant.stage {
                Stage::Committed { .. } => {
                    grant.stage =
                        Stage::Running { since: now, lease_expires: expires, grace_expires: None };
                    let task = grant.task.clone();
                    actions.push(Action::Start { gang, epoch, lease, task });
                }
                Stage::Running { lease_expires: current, .. } if expires > *current => {
                    *current = expires;
                    actions.push(Action::Extend { gang, epoch, lease });
                }
                _ => {}
            }
        }
        RenewReply { state: grant.state(), stamp: grant.next_stamp(now) }
    }

    /// Commands the worker to stop the task. Its accelerators stay allocated until the worker
    /// confirms the stop.
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
        grant.stage = Stage::Stopping { since, last_sent: now, state };
        self.fence(gang, epoch, state, now);
        actions.push(Action::Kill { gang: gang.to_owned(), epoch });
        self.notify_lead(gang, now, actions);
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
            grant.stage = Stage::Stopping { since: now, last_sent: now, state };
            self.notify_lead(gang, now, actions);
        }
        self.fence(gang, epoch, state, now);
        self.drop_grant(gang);
    }

    /// Stops a running task after `grace` at the latest, or ends a commit that has not started.
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
                // The member reports a failure, so that the lead does not wait for it.
                let (since, state) = (*since, MemberState::Failed);
                grant.stage = Stage::Stopping { since, last_sent: now, state };
                self.notify_lead(gang, now, actions);
                self.fence(gang, epoch, state, now);
                self.drop_grant(gang);
            }
            Stage::Running { .. } if grace.is_zero() => {
                self.stop_task(gang, MemberState::Failed, now, actions);
            }
            Stage::Running { grace_expires, .. } => {
                let is_first = grace_expires.is_none();
                *grace_expires = Some(grace_expires.map_or(now + grace, |at| at.min(now + grace)));
                if is_first && checkpoint {
                    actions.push(Action::Checkpoint { gang: gang.to_owned(), epoch });
                }
                if is_first {
                    self.notify_lead(gang, now, actions);
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

    fn process_ready(&mut self, ready: &Ready, now: Instant, actions: &mut Vec<Action>) -> bool {
        let gang = ready.gang.as_str();
        let Some(lead) = self.leads.get_mut(gang).filter(|lead| lead.epoch == ready.epoch) else {
            return false;
        };
        if !lead.followers.contains_key(&ready.member) {
            return false;
        }
        match ready.state {
            MemberState::Ready | MemberState::Running | MemberState::Leaving => {
                lead.record_stamp(&ready.member, ready.stamp, now);
                let awaiting_members = matches!(lead.phase, LeadPhase::AwaitingMembers { .. });
                if awaiting_members && lead.all_ready() {
                    lead.start_leading(now);
                    self.renew_members(gang, now, actions);
                }
                if ready.state == MemberState::Leaving {
                    self.stop_for_eviction(gang, &ready.member.to_string(), now, actions);
                }
            }
            state => self.record_member_end(gang, &ready.member, state, now, actions),
        }
        true
    }

    fn process_renew_reply(
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
            MemberState::Ready => lead.record_stamp(&member.agent, reply.stamp, now),
            MemberState::Running | MemberState::Leaving => {
                lead.record_stamp(&member.agent, reply.stamp, now);
                lead.record_confirmation(&member.agent, renew.sequence);
                if reply.state == MemberState::Leaving {
                    self.stop_for_eviction(gang, &member.agent.to_string(), now, actions);
                }
            }
            state => self.record_member_end(gang, &member.agent, state, now, actions),
        }
    }

    pub(crate) fn tick_lead(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get(gang) else { return };
        let unresponsive = lead.unresponsive_member(now).map(ToString::to_string);
        match (lead.phase, unresponsive) {
            (LeadPhase::AwaitingMembers { since }, _) if now >= since + GANG_LEASE => {
                self.end_not_ready(gang, now, actions);
            }
            (LeadPhase::AwaitingMembers { .. }, _) => {}
            (LeadPhase::Checkpointing { until }, _) if now >= until => {
                self.end_gang(gang, End::Stopped, "stopped", Duration::ZERO, now, actions);
            }
            (LeadPhase::Finishing { until }, _) if now >= until => {
                let reason = "the grace period for the other members to finish has expired";
                self.end_gang(gang, End::Finished, reason, Duration::ZERO, now, actions);
            }
            (LeadPhase::Leading | LeadPhase::Checkpointing { .. }, Some(member)) => {
                let reason = format!("{member} did not confirm a lease renewal in time");
                self.end_gang(gang, End::Failed, &reason, Duration::ZERO, now, actions);
            }
            _ if now >= lead.next_renewal => self.renew_members(gang, now, actions),
            _ => {}
        }
    }

    pub(crate) fn end_not_ready(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let reason = "not every member became ready in time";
        self.end_gang(gang, End::NotReady, reason, Duration::ZERO, now, actions);
    }

    /// Sends a lease renewal to every member. The lease ends at the same time on all members:
    /// [`GANG_LEASE`] after the whole gang was last known to be running.
    fn renew_members(&mut self, gang: &str, now: Instant, actions: &mut Vec<Action>) {
        let Some(lead) = self.leads.get_mut(gang) else { return };
        lead.next_renewal = now + RENEW_INTERVAL;
        lead.sequence += 1;
        let Some(lease_end) = lead.lease_end() else { return };
        let (epoch, sequence) = (lead.epoch, lead.sequence);
        let mut local = None;
        for member in &lead.members {
            let Some(follower) = lead.followers.get_mut(&member.agent) else { continue };
            if follower.ended {
                continue;
            }
            let Some((stamp, received)) = follower.latest_stamp else { continue };
            let lease = lease_end.saturating_duration_since(received);
            follower.unanswered.insert(sequence, now);
            let renew = Renew { gang: gang.to_owned(), epoch, lease, stamp, sequence };
            if member.agent == self.agent {
                local = Some((member.clone(), renew));
            } else {
                actions.push(Action::SendRenew { to: member.clone(), renew });
            }
        }
        if let Some((member, renew)) = local {
            let reply = self.process_renewal(&renew, now, actions);
            self.process_renew_reply(&member, &renew, reply, now, actions);
        }
    }

    /// Stops the whole gang with a grace period for checkpoints, because one member is being
    /// evicted.
    fn stop_for_eviction(
        &mut self,
        gang: &str,
        member: &str,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(lead) = self.leads.get(gang) else { return };
        if lead.phase != LeadPhase::Leading {
            return;
        }
        let stop = Stop {
            gang: gang.to_owned(),
            epoch: lead.epoch,
            checkpoint: true,
            grace: crate::CHECKPOINT_GRACE,
            reason: format!("{member} is being evicted"),
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
        if stop.grace.is_zero() || matches!(lead.phase, LeadPhase::AwaitingMembers { .. }) {
            let (gang, grace) = (stop.gang.clone(), Duration::ZERO);
            return self.end_gang(&gang, End::Stopped, &stop.reason, grace, now, actions);
        }
        let until = now + stop.grace;
        lead.phase = match lead.phase {
            LeadPhase::Checkpointing { until: current } => {
                LeadPhase::Checkpointing { until: current.min(until) }
            }
            _ => LeadPhase::Checkpointing { until },
        };
        let stop = Stop { epoch: lead.epoch, ..stop.clone() };
        let members = lead.members.clone();
        self.send_stops(&members, &stop, now, actions);
    }

    /// Handles the end of one member's task. After the first task has finished, the gang counts as
    /// finished; it ends when the tasks of all members have ended.
    fn record_member_end(
        &mut self,
        gang: &str,
        member: &AgentId,
        state: MemberState,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(lead) = self.leads.get_mut(gang) else { return };
        let all_ended = lead.record_end(member);
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
            // The other members may still be writing their checkpoints; their leases limit the time
            // for that.
            LeadPhase::Checkpointing { .. } => (End::Stopped, "stopped", crate::CHECKPOINT_GRACE),
            _ => (End::Failed, "failed", Duration::ZERO),
        };
        self.end_gang(gang, end, &format!("{member} {reason}"), grace, now, actions);
    }

    /// Ends a gang at its lead: the lead issues no more leases and commands every member to stop.
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
        self.fence(&gang, epoch, MemberState::Failed, now);
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
