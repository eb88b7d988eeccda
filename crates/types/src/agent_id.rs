use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity of one run of an agent process.
///
/// `name` comes from the settings and survives a restart; `incarnation` grows with every start, so
/// a restarted agent, whose memory is empty, is never mistaken for its predecessor.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{name}#{incarnation}")]
pub struct AgentId {
    /// Name from the agent's settings.
    pub name: String,
    /// Start counter; higher is newer.
    pub incarnation: u64,
}

impl AgentId {
    /// Returns the identity of run `incarnation` of the agent called `name`.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: name.to_owned(), incarnation }
    }

    /// Reports whether `self` is a later run of the same agent as `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation > other.incarnation
    }
}
