use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::Member;

/// Proposer to member: turns a hold into a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the hold.
    pub epoch: u64,
    /// All members; the first one is the lead.
    pub members: Vec<Member>,
    /// Description of the task, handed to the worker.
    pub task: Arc<[u8]>,
}

/// What a member knows of its part of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Committed, not started.
    Ready,
    /// The task was handed to the worker and holds a valid lease.
    Running,
    /// Running, but asked to checkpoint and stop.
    Leaving,
    /// The task failed, was stopped, or lost its lease.
    Failed,
    /// The task finished.
    Finished,
    /// No such gang at this epoch.
    Unknown,
}

/// Member to lead: state of the member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ready {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the gang.
    pub epoch: u64,
    /// The member.
    pub member: AgentId,
    /// Number of this message at the member; the lead returns the latest one with the lease.
    pub stamp: u64,
    /// State of the member.
    pub state: MemberState,
}

/// Lead to member: extends the lease; the first one starts the task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Renew {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the gang.
    pub epoch: u64,
    /// Length of the lease, counted from the moment at which the member sent `stamp`.
    pub lease: Duration,
    /// Latest stamp that the lead has received from the member.
    pub stamp: u64,
    /// Number of the renewal at the lead.
    pub sequence: u64,
}

/// Member to lead: answer to [`Renew`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewReply {
    /// State of the member.
    pub state: MemberState,
    /// Number of this message at the member.
    pub stamp: u64,
}

/// Ends a gang at a member. At the lead it ends the whole gang. Later commands with the same or a
/// lower epoch are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Id of the gang.
    pub gang: String,
    /// Ends proposals up to this epoch.
    pub epoch: u64,
    /// Whether to ask for a checkpoint first.
    pub checkpoint: bool,
    /// Time until the task is stopped; zero stops it at once.
    pub grace: Duration,
    /// Reason for the logs and for the submitter.
    pub reason: String,
}
