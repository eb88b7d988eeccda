use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::Member;

/// Message from proposer to member that turns a hold into a grant.
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

/// State of a gang at one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The hold is committed and the task has not started.
    Ready,
    /// The task was passed to the worker and has a valid lease.
    Running,
    /// The task is running and was asked to write a checkpoint and stop.
    Leaving,
    /// The task failed, was stopped, or lost its lease.
    Failed,
    /// The task finished.
    Finished,
    /// The member has no such gang at this epoch.
    Unknown,
}

/// Message from member to lead with the state of the member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ready {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the gang.
    pub epoch: u64,
    /// The member.
    pub member: AgentId,
    /// Sequence number of this message at the member; the lead returns the latest one with the
    /// lease.
    pub stamp: u64,
    /// State of the member.
    pub state: MemberState,
}

/// Message from lead to member that extends the lease; the first one starts the task.
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
    /// Sequence number of the renewal at the lead.
    pub sequence: u64,
}

/// Reply of a member to [`Renew`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RenewReply {
    /// State of the member.
    pub state: MemberState,
    /// Sequence number of this message at the member.
    pub stamp: u64,
}

/// Command that ends a gang at a member, or the whole gang if the member is the lead. Later
/// commands with the same or a lower epoch are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Id of the gang.
    pub gang: String,
    /// Highest epoch of the proposals that are ended.
    pub epoch: u64,
    /// Whether the task is asked to write a checkpoint first.
    pub checkpoint: bool,
    /// Time after which the task is stopped; zero stops it immediately.
    pub grace: Duration,
    /// Reason for the logs and for the submitter.
    pub reason: String,
}
