use crate::{Rank, Refusal, Reservation};

/// Proposer to member: asks for accelerators for a gang, or only sets reservations when `gang` is
/// empty. Every proposal of a gang uses a new, higher epoch; repeats of one proposal use the same.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// Id of the gang.
    pub gang: String,
    /// Fencing epoch of the proposal; also fences `unreserve`.
    pub epoch: u64,
    /// Accelerators on this worker.
    pub accelerators: u32,
    /// Order among competing gangs.
    pub rank: Rank,
    /// Guarantee instance to claim; `None` asks for borrowed capacity.
    pub instance: Option<String>,
    /// Whether the work may be checkpointed or stopped.
    pub preemptible: bool,
    /// Borrowed gangs that a claim may evict on this worker, in this order.
    pub evict: Vec<String>,
    /// Declared memory in MiB; 0 means no limit.
    pub memory: u64,
    /// Reservations to set.
    pub reserve: Vec<Reservation>,
    /// Instances whose reservation ends.
    pub unreserve: Vec<String>,
}

/// Answer to a [`Hold`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// The accelerators are held for [`crate::HOLD_TIMEOUT`].
    Held,
    /// Accelerators become free within seconds and are kept for this hold as long as it is asked
    /// for again, with the same epoch, within [`crate::HOLD_TIMEOUT`].
    Pending,
    /// Nothing was changed.
    Refused(Refusal),
}
