use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::{GANG_LEASE, Member};

/// Progress of a gang at its lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeadPhase {
    /// Waits until every member is ready.
    Collecting { since: Instant },
    /// Renews the lease.
    Leading,
    /// Renews the lease until the members have written their checkpoints.
    Leaving { until: Instant },
    /// A member has finished; the others get until then to finish as well.
    Finishing { until: Instant },
}

/// What the lead knows of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follower {
    /// Latest stamp and when it arrived.
    pub(crate) heard: Option<(u64, Instant)>,
    /// When the latest renewal that the member answered as running was sent.
    pub(crate) confirmed: Option<Instant>,
    /// Unanswered renewals.
    pub(crate) sent: BTreeMap<u64, Instant>,
    /// The member's task has ended.
    pub(crate) ended: bool,
}

/// A gang that is led here.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub(crate) epoch: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) phase: LeadPhase,
    pub(crate) followers: BTreeMap<AgentId, Follower>,
    pub(crate) due: Instant,
    pub(crate) sequence: u64,
}

impl Lead {
    pub(crate) fn new(epoch: u64, members: &[Member], now: Instant) -> Self {
        let follower = |member: &Member| (member.agent.clone(), Follower::default());
        Self {
            epoch,
            members: members.to_vec(),
            phase: LeadPhase::Collecting { since: now },
            followers: members.iter().map(follower).collect(),
            due: now,
            sequence: 0,
        }
    }

    pub(crate) fn hear(&mut self, member: &AgentId, stamp: u64, now: Instant) {
        let Some(follower) = self.followers.get_mut(member) else { return };
        if follower.heard.is_none_or(|(latest, _)| latest < stamp) {
            follower.heard = Some((stamp, now));
        }
    }

    pub(crate) fn all_ready(&self) -> bool {
        self.followers.values().all(|follower| follower.heard.is_some())
    }

    /// Notes that the task of `member` has ended. Returns whether all tasks have.
    pub(crate) fn end(&mut self, member: &AgentId) -> bool {
        if let Some(follower) = self.followers.get_mut(member) {
            follower.ended = true;
        }
        self.followers.values().all(|follower| follower.ended)
    }

    /// Starts to issue leases. None runs yet, so that the first lease counts from now.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.phase = LeadPhase::Leading;
        for follower in self.followers.values_mut() {
            follower.confirmed = Some(now);
        }
    }

    pub(crate) fn confirm(&mut self, member: &AgentId, sequence: u64) {
        let Some(follower) = self.followers.get_mut(member) else { return };
        let Some(sent) = follower.sent.remove(&sequence) else { return };
        follower.sent.retain(|other, _| *other > sequence);
        follower.confirmed = follower.confirmed.max(Some(sent));
    }

    /// Returns the time at which the gang must have stopped everywhere: the lease counted from the
    /// moment at which every member was last known to be running.
    pub(crate) fn limit(&self) -> Option<Instant> {
        let confirmed = self.followers.values().map(|follower| follower.confirmed);
        confirmed.min().flatten().map(|since| since + GANG_LEASE)
    }

    /// Returns a member that can no longer be renewed in time, if any. The limit is below the lease,
    /// so that the lead names the member before the leases of the others run out.
    pub(crate) fn silent(&self, now: Instant) -> Option<&AgentId> {
        let silent = self.followers.iter().find(|(_, follower)| {
            let since = follower.confirmed.map(|at| now.saturating_duration_since(at));
            since.unwrap_or(Duration::ZERO) >= GANG_LEASE * 9 / 10
        });
        silent.map(|(member, _)| member)
    }
}
