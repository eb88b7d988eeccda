use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::{AgentId, Digest};

use crate::{AgentEndpoint, KeyRecord, Response};

/// Request from an entry to the owner: reserves a key for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReserveRequest {
    /// Range of the key.
    pub range: usize,
    /// Epoch of the range in the entry's range map.
    pub epoch: u64,
    /// The idempotency key.
    pub key: String,
    /// Unique id of the attempt.
    pub attempt: String,
    /// Digest of the request's content.
    pub digest: Digest,
    /// The only agent to which the attempt may be sent.
    pub target: AgentEndpoint,
    /// Time left until the deadline of the attempt.
    pub budget: Duration,
}

/// Identifies one attempt with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Range of the key.
    pub range: usize,
    /// The idempotency key.
    pub key: String,
    /// Unique id of the attempt.
    pub attempt: String,
}

/// Request from the owner to the witness: copies key records, in the order of `sequence`.
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
    /// True for the first message of a snapshot.
    pub snapshot_start: bool,
    /// True for the last message of a snapshot, after which the witness has every record of the
    /// range.
    pub snapshot_end: bool,
    /// Time since the range was sealed, or `None` when it is not sealed.
    pub seal_age: Option<Duration>,
    /// Records to store, or keys to free.
    pub records: Vec<KeyRecord>,
}

/// Reply of the witness to a [`CopyRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyReply {
    /// Range of the request.
    pub range: usize,
    /// Epoch of the request.
    pub epoch: u64,
    /// Sequence of the request.
    pub sequence: u64,
    /// True when the witness has stored the records.
    pub accepted: bool,
    /// Highest epoch that the witness has accepted.
    pub witness_epoch: u64,
}

/// Request from a new owner to the witness: refuse lower epochs from now on and return the records
/// after `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FenceRequest {
    /// Range to fence.
    pub range: usize,
    /// Epoch of the new owner.
    pub epoch: u64,
    /// Key after which the page of records starts, or `None` for the first page.
    pub after: Option<String>,
}

/// Reply of the witness to a [`FenceRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FenceReply {
    /// Range of the request.
    pub range: usize,
    /// Epoch of the request.
    pub epoch: u64,
    /// The `after` of the request, which identifies the page.
    pub after: Option<String>,
    /// Highest epoch that the witness has accepted; the request is refused when it is higher than
    /// `epoch`.
    pub witness_epoch: u64,
    /// True when the witness has every record of the range.
    pub complete: bool,
    /// Time since the range was sealed, or `None` when it is not sealed.
    pub seal_age: Option<Duration>,
    /// One page of records in key order.
    pub records: Vec<KeyRecord>,
    /// True when another page follows.
    pub more: bool,
}

/// State of an attempt as reported by its target agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookupResult {
    /// The attempt is still running.
    Running,
    /// The attempt ended with this response.
    Answered(Arc<Response>),
    /// The attempt has not run, and the target will refuse it. Valid only while the target still
    /// keeps all attempts of that age, see `Limits::attempt_retention`.
    NotRun,
    /// The outcome cannot be determined: the attempt ended without a complete response, or the
    /// target has restarted with another incarnation.
    Unknown,
    /// The target did not answer.
    NoAnswer,
}

/// Finished records of one range that are to be written to the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalBatch {
    /// Number of the batch, unique within this incarnation of the agent.
    pub id: u64,
    /// Range of the records.
    pub range: usize,
    /// The finished records.
    pub records: Vec<KeyRecord>,
}
