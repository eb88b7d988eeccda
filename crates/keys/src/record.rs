use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_types::Digest;

use crate::{AgentEndpoint, Response};

/// What is known of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordState {
    /// An attempt holds the key; its outcome is open.
    Granted,
    /// The attempt was answered with this response.
    Answered(Arc<Response>),
    /// The attempt may or may not have run.
    Unknown,
    /// The key is free again: its attempt was proved not to have run, or its retention has passed.
    Released,
}

impl RecordState {
    /// Reports whether the outcome of the attempt is settled.
    pub fn is_finished(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::Unknown)
    }
}

/// Record of one key, as it travels between agents and into the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRecord {
    /// The idempotency key.
    pub key: String,
    /// The attempt that holds the key.
    pub attempt: String,
    /// Digest of the request that came with the key.
    pub digest: Digest,
    /// What is known of the attempt.
    pub state: RecordState,
    /// The agent that the attempt is sent to; empty unless the record is in progress.
    pub target: AgentEndpoint,
    /// Time since `state` was entered.
    pub age: Duration,
    /// Time that the attempt has from its reservation; afterwards the target is asked.
    pub budget: Duration,
}

impl KeyRecord {
    /// Fixed part of a record's memory: the struct, its share of map nodes and of the key sets, and
    /// the allocator's overhead.
    /// `table_memory_per_key` measures it.
    const OVERHEAD: usize = 608;

    /// Returns the bytes that the record is accounted with.
    pub fn size(&self) -> usize {
        let response = match &self.state {
            RecordState::Answered(response) => response.size(),
            _ => 0,
        };
        let target = self.target.agent.name.len() + self.target.control.len();
        // The key is held twice, as map key and in the record.
        Self::OVERHEAD + 2 * self.key.len() + self.attempt.len() + target + response
    }
}
