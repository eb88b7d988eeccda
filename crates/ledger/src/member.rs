use skylarkpulley_types::AgentId;

/// Agent of a worker that belongs to a gang.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The agent, with its incarnation.
    pub agent: AgentId,
    /// Control address in the form "ip:port".
    pub control: String,
}

impl Member {
    /// Returns the member `agent` at the address `control`.
    pub fn new(agent: AgentId, control: &str) -> Self {
        Self { agent, control: control.to_owned() }
    }
}
