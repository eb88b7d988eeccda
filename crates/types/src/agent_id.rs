use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity of one incarnation of an agent.
///
/// `name` comes from the settings and stays the same after a restart. `incarnation` increases with
/// every start, so that a restarted agent, whose memory is empty, is never mistaken for its
/// predecessor.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{name}#{incarnation}")]
pub struct AgentId {
    /// Name from the agent's settings.
    pub name: String,
    /// Number of the incarnation; a higher one is later.
    pub incarnation: u64,
}

impl AgentId {
    /// Returns the identity of the given incarnation of the agent named `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: name.to_owned(), incarnation }
    }

    /// Returns whether `self` is a later incarnation of the same agent as `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation > other.incarnation
    }
}
