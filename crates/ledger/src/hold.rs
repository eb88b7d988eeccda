use crate::{Rank, Refusal, Reservation};

/// Request from proposer to member for accelerators for a gang, or only for a change of
/// reservations when `gang` is empty. Every proposal of a gang uses a new, higher epoch; repeats of
/// one proposal use the same epoch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// Id of the gang.
    pub gang: String,
    /// Fencing epoch of the proposal; also fences `unreserve`.
    pub epoch: u64,
    /// Number of accelerators requested on this worker.
    pub accelerators: u32,
    /// Rank among the gangs that compete for accelerators.
    pub rank: Rank,
    /// Guarantee instance to claim; `None` requests borrowed capacity.
    pub instance: Option<String>,
    /// Whether the work may be checkpointed or stopped.
    pub preemptible: bool,
    /// Borrowed gangs that a claim may evict on this worker, in this order.
    pub evict: Vec<String>,
    /// Declared memory in MiB; 0 means no limit.
    pub memory: u64,
    /// Reservations to set.
    pub reserve: Vec<Reservation>,
    /// Instances whose reservations are removed.
    pub unreserve: Vec<String>,
}

/// Reply to a [`Hold`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// The accelerators are held for [`crate::HOLD_TIMEOUT`].
    Held,
    /// Enough accelerators become free within seconds. They are kept for this hold as long as the
    /// proposer repeats it with the same epoch within [`crate::HOLD_TIMEOUT`].
    Pending,
    /// The request was refused and changed nothing.
    Refused(Refusal),
}
