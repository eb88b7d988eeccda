use skylarkpulley_types::AgentId;

/// Permission to send one attempt to one incarnation of an agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Agent and its incarnation.
    pub agent: AgentId,
    /// Number of the attempt within its request, from 1.
    pub attempt: u32,
    /// Control address of the agent.
    pub control: String,
    /// Why the router chose this agent.
    pub reason: String,
}
