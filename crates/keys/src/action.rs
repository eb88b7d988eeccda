use std::sync::Arc;

use crate::{AgentEndpoint, CopyRequest, FenceRequest, Response};

/// Answer to a request of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyReply {
    /// The attempt may run on its target.
    Granted,
    /// Another attempt holds the key.
    InProgress,
    /// The key was answered with this response.
    Answered(Arc<Response>),
    /// An attempt with this key may or may not have run.
    Unknown,
    /// The key was used with another request.
    Mismatch,
    /// The range is full. The key was never granted, so the request was not run.
    Full,
    /// The agent does not serve the range, or could not copy the record to the witness in time.
    /// This attempt must not run; earlier attempts cannot be ruled out.
    NotOwner {
        /// Epoch of the range at the agent.
        epoch: u64,
    },
    /// The outcome of the attempt is recorded at owner and witness.
    Completed,
    /// The key is free again.
    Released,
    /// The attempt does not hold the key, so nothing was recorded or released.
    NotHeld,
}

/// What the agent has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer the request that was passed in with `ticket`.
    Reply {
        /// Number that the caller passed in with the request.
        ticket: u64,
        /// The answer.
        reply: KeyReply,
    },
    /// Send records to the witness.
    Copy {
        /// The witness.
        to: AgentEndpoint,
        /// The message.
        copy: CopyRequest,
    },
    /// Fence the witness.
    Fence {
        /// The witness.
        to: AgentEndpoint,
        /// The message.
        fence: FenceRequest,
    },
    /// Ask the target for an attempt and pass the result to `KeyTable::handle_lookup_result`.
    Lookup {
        /// The agent that the attempt was sent to.
        target: AgentEndpoint,
        /// Range of the key.
        range: usize,
        /// The key.
        key: String,
        /// The attempt.
        attempt: String,
    },
    /// Read the range's journal and pass the records to `KeyTable::import_journal`.
    LoadJournal {
        /// Range whose records are lost.
        range: usize,
        /// Epoch to pass to `import_journal`.
        epoch: u64,
    },
    /// The range's history is lost: ask an entry to mark it with `RangeMap::seal`.
    Seal {
        /// The range.
        range: usize,
        /// Epoch at which the loss was found.
        epoch: u64,
    },
    /// The seal has outlasted every key that may have been lost: ask an entry to call
    /// `RangeMap::unseal`.
    SealExpired {
        /// The range.
        range: usize,
        /// Epoch of the sealed range.
        epoch: u64,
    },
}
