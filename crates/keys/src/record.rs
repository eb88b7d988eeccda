use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::Digest;

use crate::{AgentEndpoint, Response};

/// State of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordState {
    /// The key is reserved for an attempt whose outcome is not recorded yet.
    Granted,
    /// The attempt was answered with this response.
    Answered(Arc<Response>),
    /// The attempt may or may not have run.
    Unknown,
    /// The key can be reserved again: its attempt was proved not to have run, was never granted, or
    /// its retention is over.
    Released,
}

impl RecordState {
    /// Reports whether an outcome is recorded: a response, or that it is unknown.
    pub fn is_finished(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::Unknown)
    }
}

/// Record of one key, as agents exchange it and write it to the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRecord {
    /// The idempotency key.
    pub key: String,
    /// Id of the attempt for which the key is reserved.
    pub attempt: String,
    /// Digest of the content of the request that used the key.
    pub digest: Digest,
    /// State of the attempt.
    pub state: RecordState,
    /// The agent to which the attempt is sent; empty once the record is finished or released.
    pub target: AgentEndpoint,
    /// Time since the last change of `state`.
    pub age: Duration,
    /// Time from the reservation to the deadline of the attempt, after which the owner asks the
    /// target for its state.
    pub budget: Duration,
}

impl KeyRecord {
    /// Fixed memory of a record in bytes: the struct, its share of map nodes and of the key sets,
    /// and the allocator's overhead. The test `table_memory_per_key` compares it with the resident
    /// memory.
    const FIXED_BYTES: usize = 608;

    /// Returns the estimated memory of the record in bytes, which counts against the limit.
    pub fn size(&self) -> usize {
        let response = match &self.state {
            RecordState::Answered(response) => response.size(),
            _ => 0,
        };
        let target = self.target.agent.name.len() + self.target.control.len();
        // The key is stored twice, as map key and in the record.
        Self::FIXED_BYTES + 2 * self.key.len() + self.attempt.len() + target + response
    }
}
