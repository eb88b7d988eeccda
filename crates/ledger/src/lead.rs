use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::{GANG_LEASE, Member};

/// Phase of a gang at its lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeadPhase {
    /// The lead waits until every member is ready.
    AwaitingMembers { since: Instant },
    /// The lead renews the lease.
    Leading,
    /// The lead renews the lease until the members have written their checkpoints.
    Checkpointing { until: Instant },
    /// A member has finished; the others have until `until` to finish as well.
    Finishing { until: Instant },
}

/// State that the lead tracks for one member, including itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follower {
    /// Latest stamp received from the member, and when it was received.
    pub(crate) latest_stamp: Option<(u64, Instant)>,
    /// Send time of the latest renewal to which the member replied that it is running.
    pub(crate) confirmed_at: Option<Instant>,
    /// Send times of the renewals that are unanswered, by sequence number.
    pub(crate) unanswered: BTreeMap<u64, Instant>,
    /// Whether the member's task has ended.
    pub(crate) ended: bool,
}

/// A gang that is led by this agent.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub(crate) epoch: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) phase: LeadPhase,
    pub(crate) followers: BTreeMap<AgentId, Follower>,
    pub(crate) next_renewal: Instant,
    pub(crate) sequence: u64,
}

impl Lead {
    pub(crate) fn new(epoch: u64, members: &[Member], now: Instant) -> Self {
        let follower = |member: &Member| (member.agent.clone(), Follower::default());
        Self {
            epoch,
            members: members.to_vec(),
            phase: LeadPhase::AwaitingMembers { since: now },
            followers: members.iter().map(follower).collect(),
            next_renewal: now,
            sequence: 0,
        }
    }

    pub(crate) fn record_stamp(&mut self, member: &AgentId, stamp: u64, now: Instant) {
        let Some(follower) = self.followers.get_mut(member) else { return };
        if follower.latest_stamp.is_none_or(|(latest, _)| latest < stamp) {
            follower.latest_stamp = Some((stamp, now));
        }
    }

    pub(crate) fn all_ready(&self) -> bool {
        self.followers.values().all(|follower| follower.latest_stamp.is_some())
    }

    /// Records that the task of `member` has ended. Returns whether the tasks of all members have
    /// ended.
    pub(crate) fn record_end(&mut self, member: &AgentId) -> bool {
        if let Some(follower) = self.followers.get_mut(member) {
            follower.ended = true;
        }
        self.followers.values().all(|follower| follower.ended)
    }

    /// Starts to issue leases. No task is running yet, so the first lease counts from `now`.
    pub(crate) fn start_leading(&mut self, now: Instant) {
        self.phase = LeadPhase::Leading;
        for follower in self.followers.values_mut() {
            follower.confirmed_at = Some(now);
        }
    }

    pub(crate) fn record_confirmation(&mut self, member: &AgentId, sequence: u64) {
        let Some(follower) = self.followers.get_mut(member) else { return };
        let Some(sent_at) = follower.unanswered.remove(&sequence) else { return };
        follower.unanswered.retain(|unanswered, _| *unanswered > sequence);
        follower.confirmed_at = follower.confirmed_at.max(Some(sent_at));
    }

    /// Returns the time by which the gang must have stopped on all members: the lease, counted from
    /// the moment at which every member was last known to be running.
    pub(crate) fn lease_end(&self) -> Option<Instant> {
        let confirmed_at = self.followers.values().map(|follower| follower.confirmed_at);
        confirmed_at.min().flatten().map(|since| since + GANG_LEASE)
    }

    /// Returns a member that can no longer be renewed in time, if any: one that has confirmed no
    /// renewal for 90 % of the lease. The threshold is below the lease, so that the lead identifies
    /// this member before the leases of the other members expire.
    pub(crate) fn unresponsive_member(&self, now: Instant) -> Option<&AgentId> {
        let unresponsive = self.followers.iter().find(|(_, follower)| {
            let since = follower.confirmed_at.map(|at| now.saturating_duration_since(at));
            since.unwrap_or(Duration::ZERO) >= GANG_LEASE * 9 / 10
        });
        unresponsive.map(|(member, _)| member)
    }
}
