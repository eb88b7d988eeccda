use serde::{Deserialize, Serialize};
use skylarkpulley_types::AgentId;

/// An agent incarnation and the address of its control listener.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AgentEndpoint {
    /// Name and incarnation of the agent.
    pub agent: AgentId,
    /// Control address as "ip:port".
    pub control: String,
}

impl AgentEndpoint {
    /// Returns the endpoint of `agent` at the address `control`.
    pub fn new(agent: AgentId, control: &str) -> Self {
        Self { agent, control: control.to_owned() }
    }

    /// Returns the empty endpoint, which marks a record that is no longer in progress.
    pub(crate) fn unset() -> Self {
        Self::new(AgentId::new("", 0), "")
    }
}
