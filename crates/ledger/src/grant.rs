use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::{GANG_LEASE, Hold, Member, MemberState, Rank, Reservation};

/// Stamps remembered per gang: as many as are sent in twice the lease at the shortest interval.
const STAMPS: usize = 32;

/// Progress of a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// Waits for accelerators that are about to become free.
    Pending { expires: Instant },
    /// Held, not committed.
    Held { expires: Instant },
    /// Committed; the lead has been told at `told`.
    Committed { since: Instant, told: Instant },
    /// Handed to the worker; stops at `lease`, or at `leaving` after an eviction.
    Running { since: Instant, lease: Instant, leaving: Option<Instant> },
    /// The worker was told at `told` to stop the task and has not confirmed it.
    Stopping { since: Instant, told: Instant, state: MemberState },
}

/// Reservation that a grant has converted.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) reservation: Reservation,
    /// False when the reservation was ended while it was claimed.
    pub(crate) restore: bool,
}

/// Accelerators given to one gang.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) epoch: u64,
    pub(crate) accelerators: u32,
    pub(crate) rank: (Rank, String),
    pub(crate) claim: Option<Claim>,
    pub(crate) preemptible: bool,
    pub(crate) memory: u64,
    pub(crate) memory_used: u64,
    /// Since when the task uses more memory than declared.
    pub(crate) over: Option<Instant>,
    pub(crate) stage: Stage,
    pub(crate) lead: Option<Member>,
    pub(crate) task: Arc<[u8]>,
    stamps: VecDeque<(u64, Instant)>,
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
            over: None,
            stage: Stage::Pending { expires },
            lead: None,
            task: Arc::new([]),
            stamps: VecDeque::new(),
            last_stamp: 0,
        }
    }

    /// Accelerators that reservations of other instances must leave free for this grant.
    pub(crate) fn firm(&self) -> u32 {
        match &self.claim {
            Some(claim) if claim.restore => claim.reservation.accelerators,
            Some(_) => self.accelerators,
            None if self.preemptible => 0,
            None => self.accelerators,
        }
    }

    /// Whether the accelerators are taken; a pending hold only waits for them.
    pub(crate) fn occupies(&self) -> bool {
        !matches!(self.stage, Stage::Pending { .. })
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Pending { .. } | Stage::Held { .. })
    }

    /// Order in which holds are served: claims before borrowed work, then by rank.
    pub(crate) fn order(&self) -> (bool, &(Rank, String)) {
        (self.claim.is_none(), &self.rank)
    }

    /// Whether a claim may evict this grant.
    pub(crate) fn evictable(&self) -> bool {
        self.claim.is_none() && self.preemptible
    }

    /// Whether the accelerators come back within seconds.
    pub(crate) fn leaves(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. } | Stage::Running { leaving: Some(_), .. })
    }

    pub(crate) fn state(&self) -> MemberState {
        match self.stage {
            Stage::Pending { .. } | Stage::Held { .. } => MemberState::Unknown,
            Stage::Committed { .. } => MemberState::Ready,
            Stage::Running { leaving: None, .. } => MemberState::Running,
            Stage::Running { .. } => MemberState::Leaving,
            Stage::Stopping { state, .. } => state,
        }
    }

    /// Issues the number of a message to the lead.
    pub(crate) fn stamp(&mut self, now: Instant) -> u64 {
        self.last_stamp += 1;
        self.stamps.push_back((self.last_stamp, now));
        if self.stamps.len() > STAMPS {
            self.stamps.pop_front();
        }
        self.last_stamp
    }

    /// Returns when `stamp` was sent, unless every lease counted from it has expired.
    pub(crate) fn sent_at(&self, stamp: u64, now: Instant) -> Option<Instant> {
        let sent = self.stamps.iter().find(|(number, _)| *number == stamp)?.1;
        (now.saturating_duration_since(sent) < 2 * GANG_LEASE).then_some(sent)
    }
}
