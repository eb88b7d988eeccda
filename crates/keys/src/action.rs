use std::sync::Arc;

use crate::{AgentEndpoint, CopyRequest, FenceRequest, Response};

/// Reply to an entry's request to reserve, complete or release a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyReply {
    /// The attempt may run on its target.
    Granted,
    /// Another attempt has reserved the key, or its outcome is not confirmed by the witness yet.
    InProgress,
    /// The response that was recorded for the key.
    Answered(Arc<Response>),
    /// An attempt with this key may or may not have run.
    Unknown,
    /// The key was used with a request of different content.
    Mismatch,
    /// The range has reached its limit of records or bytes. The key was never granted, so the
    /// request was not run.
    Full,
    /// The agent does not serve the range, or could not copy the record to the witness in time.
    /// This attempt must not run; an earlier attempt may have run.
    NotOwner {
        /// Epoch of the range at the agent.
        epoch: u64,
    },
    /// Owner and witness have recorded the outcome of the attempt.
    Completed,
    /// The key can be reserved again.
    Released,
    /// The key is not reserved for this attempt, or its response is already recorded; nothing was
    /// changed.
    NotReserved,
}

/// Work that a [`KeyTable`](crate::KeyTable) requests from its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Reply to the request that the agent passed in with `ticket`.
    Reply {
        /// Number that the caller passed in with the request.
        ticket: u64,
        /// The reply to send.
        reply: KeyReply,
    },
    /// Send records to the witness.
    Copy {
        /// The witness.
        to: AgentEndpoint,
        /// The message.
        copy: CopyRequest,
    },
    /// Ask the witness to refuse older epochs and to return its records.
    Fence {
        /// The witness.
        to: AgentEndpoint,
        /// The message.
        fence: FenceRequest,
    },
    /// Ask the target for the state of an attempt and pass the result to
    /// `KeyTable::handle_lookup_result`.
    Lookup {
        /// The agent that the attempt was sent to.
        target: AgentEndpoint,
        /// Range of the key.
        range: usize,
        /// The key.
        key: String,
        /// Id of the attempt.
        attempt: String,
    },
    /// Read the range's journal and pass the records to `KeyTable::import_journal`.
    LoadJournal {
        /// Range whose records neither agent has.
        range: usize,
        /// Epoch to pass to `import_journal`.
        epoch: u64,
    },
    /// The range's records are lost: ask an entry to mark the range with `RangeMap::seal`.
    Seal {
        /// The range.
        range: usize,
        /// Epoch at which the loss was detected.
        epoch: u64,
    },
    /// The retention of every key that may have been lost is over: ask an entry to call
    /// `RangeMap::unseal`.
    SealExpired {
        /// The range.
        range: usize,
        /// Epoch of the sealed range.
        epoch: u64,
    },
}
