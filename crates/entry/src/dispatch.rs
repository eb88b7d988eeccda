use skylarkpulley_types::AgentId;

/// Permission to send one attempt to one run of an agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The agent, with its incarnation.
    pub agent: AgentId,
    /// Number of the attempt at this entry, from 1.
    pub attempt: u32,
    /// Control address of the agent.
    pub control: String,
    /// Why this one was chosen.
    pub reason: String,
}
