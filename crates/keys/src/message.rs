use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::{AgentId, Digest};

use crate::{AgentEndpoint, KeyRecord, Response};

/// Entry to owner: asks for the right to run one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReserveRequest {
    /// Range of the key.
    pub range: usize,
    /// Epoch of the range in the entry's map.
    pub epoch: u64,
    /// The idempotency key.
    pub key: String,
    /// Unique id of the attempt.
    pub attempt: String,
    /// Digest of the request.
    pub digest: Digest,
    /// The only agent that the attempt may be sent to.
    pub target: AgentEndpoint,
    /// Time left for the attempt.
    pub budget: Duration,
}

/// One attempt on one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Range of the key.
    pub range: usize,
    /// The idempotency key.
    pub key: String,
    /// Id of the attempt.
    pub attempt: String,
}

/// Owner to witness: key records in the order of `sequence`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// Range of the records.
    pub range: usize,
    /// Epoch of the owner.
    pub epoch: u64,
    /// The owner.
    pub owner: AgentId,
    /// Position of this message in the epoch, from 1. The next one is sent only after this one is
    /// acknowledged.
    pub sequence: u64,
    /// First message of a snapshot.
    pub snapshot_start: bool,
    /// Last message of a snapshot: from here on the witness holds the whole range.
    pub snapshot_end: bool,
    /// Age of the seal when the range's history is lost.
    pub seal_age: Option<Duration>,
    /// The records.
    pub records: Vec<KeyRecord>,
}

/// Witness to owner: answer to [`CopyRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyReply {
    /// Range of the request.
    pub range: usize,
    /// Epoch of the request.
    pub epoch: u64,
    /// Sequence of the request.
    pub sequence: u64,
    /// True when the witness holds the records.
    pub accepted: bool,
    /// Highest epoch that the witness has accepted.
    pub witness_epoch: u64,
}

/// New owner to witness: refuse lower epochs from now on and return the records after `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FenceRequest {
    /// Range to fence.
    pub range: usize,
    /// Epoch of the new owner.
    pub epoch: u64,
    /// Key after which the page of records starts.
    pub after: Option<String>,
}

/// Witness to new owner: answer to [`FenceRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FenceReply {
    /// Range of the request.
    pub range: usize,
    /// Epoch of the request.
    pub epoch: u64,
    /// Page of the request.
    pub after: Option<String>,
    /// Highest epoch that the witness has accepted; higher than `epoch` means refused.
    pub witness_epoch: u64,
    /// True when the witness holds every record of the range.
    pub complete: bool,
    /// Age of the seal when the range's history is lost.
    pub seal_age: Option<Duration>,
    /// One page of records in key order.
    pub records: Vec<KeyRecord>,
    /// True when another page follows.
    pub more: bool,
}

/// What the target agent knows of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupResult {
    /// Still running.
    Running,
    /// Ended with this response.
    Answered(Arc<Response>),
    /// Not run, and it will not run any more. Counts only as long as the target remembers all
    /// attempts of that age, see `Limits::attempt_retention`.
    NotRun,
    /// The outcome cannot be known: the attempt ended without a complete response, or the target
    /// is another incarnation.
    Unknown,
    /// The target did not answer.
    NoAnswer,
}

/// Finished records of one range for the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number of the batch, unique for this run of the agent.
    pub id: u64,
    /// Range of the records.
    pub range: usize,
    /// The records.
    pub records: Vec<KeyRecord>,
}
