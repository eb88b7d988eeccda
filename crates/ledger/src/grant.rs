use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::{GANG_LEASE, Hold, Member, MemberState, Rank, Reservation};

/// Maximum number of stamps recorded per gang: as many as are sent during two leases at the
/// shortest interval.
const MAX_SENT_STAMPS: usize = 32;

/// Stage of a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The hold waits for accelerators that are about to become free.
    Pending { expires: Instant },
    /// The accelerators are held, but the hold is not committed.
    Held { expires: Instant },
    /// The hold is committed. The latest message to the lead was sent at `last_sent`.
    Committed { since: Instant, last_sent: Instant },
    /// The task was passed to the worker. It is stopped at `lease_expires`, or at `grace_expires`
    /// after an eviction.
    Running { since: Instant, lease_expires: Instant, grace_expires: Option<Instant> },
    /// The worker was last commanded at `last_sent` to stop the task and has not confirmed the
    /// stop.
    Stopping { since: Instant, last_sent: Instant, state: MemberState },
}

/// Reservation that a grant has claimed.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) reservation: Reservation,
    /// Whether the reservation is restored when the grant ends; false if the reservation was
    /// removed while it was claimed.
    pub(crate) restorable: bool,
}

/// Accelerators allocated, or to be allocated, to one gang.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) epoch: u64,
    pub(crate) accelerators: u32,
    pub(crate) rank: (Rank, String),
    pub(crate) claim: Option<Claim>,
    pub(crate) preemptible: bool,
    pub(crate) memory: u64,
    pub(crate) memory_used: u64,
    /// Time since which the task has used more memory than declared.
    pub(crate) overuse_since: Option<Instant>,
    pub(crate) stage: Stage,
    pub(crate) lead: Option<Member>,
    pub(crate) task: Arc<[u8]>,
    sent_stamps: VecDeque<(u64, Instant)>,
    last_stamp: u64,
}

impl Grant {
    pub(crate) fn new(hold: &Hold, claim: Option<Claim>, expires: Instant) -> Self {
        Self {
            epoch: hold.epoch,
            accelerators: hold.accelerators,
            rank: (hold.rank, hold.gang.clone()),
            claim,
            preemptible: hold.preemptible,
            memory: hold.memory,
            memory_used: 0,
            overuse_since: None,
            stage: Stage::Pending { expires },
            lead: None,
            task: Arc::new([]),
            sent_stamps: VecDeque::new(),
            last_stamp: 0,
        }
    }

    /// Returns the number of accelerators that reservations of other instances must leave free for
    /// this grant.
    pub(crate) fn guaranteed_accelerators(&self) -> u32 {
        match &self.claim {
            Some(claim) if claim.restorable => claim.reservation.accelerators,
            Some(_) => self.accelerators,
            None if self.preemptible => 0,
            None => self.accelerators,
        }
    }

    /// Returns whether the accelerators are allocated; a pending hold only waits for them.
    pub(crate) fn is_allocated(&self) -> bool {
        !matches!(self.stage, Stage::Pending { .. })
    }

    pub(crate) fn is_uncommitted(&self) -> bool {
        matches!(self.stage, Stage::Pending { .. } | Stage::Held { .. })
    }

    /// Returns the sort key by which holds are served: claims before borrowed capacity, then by
    /// rank.
    pub(crate) fn admission_order(&self) -> (bool, &(Rank, String)) {
        (self.claim.is_none(), &self.rank)
    }

    /// Returns whether a claim may evict this grant.
    pub(crate) fn is_evictable(&self) -> bool {
        self.claim.is_none() && self.preemptible
    }

    /// Returns whether the accelerators become free within seconds.
    pub(crate) fn is_ending(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. } | Stage::Running { grace_expires: Some(_), .. })
    }

    pub(crate) fn state(&self) -> MemberState {
        match self.stage {
            Stage::Pending { .. } | Stage::Held { .. } => MemberState::Unknown,
            Stage::Committed { .. } => MemberState::Ready,
            Stage::Running { grace_expires: None, .. } => MemberState::Running,
            Stage::Running { .. } => MemberState::Leaving,
            Stage::Stopping { state, .. } => state,
        }
    }

    /// Returns the sequence number for a message to the lead and records when it was sent.
    pub(crate) fn next_stamp(&mut self, now: Instant) -> u64 {
        self.last_stamp += 1;
        self.sent_stamps.push_back((self.last_stamp, now));
        if self.sent_stamps.len() > MAX_SENT_STAMPS {
            self.sent_stamps.pop_front();
        }
        self.last_stamp
    }

    /// Returns when `stamp` was sent, or `None` if it is unknown or every lease that counts from it
    /// has expired.
    pub(crate) fn stamp_sent_at(&self, stamp: u64, now: Instant) -> Option<Instant> {
        let sent = self.sent_stamps.iter().find(|(number, _)| *number == stamp)?.1;
        (now.saturating_duration_since(sent) < 2 * GANG_LEASE).then_some(sent)
    }
}
