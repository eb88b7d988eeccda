use serde::{Deserialize, Serialize};

/// The state of a member that is being drained: it receives no new work and finishes what it has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReply {
    /// Name of the upstream's or worker's agent.
    pub member: String,
    /// Requests or tasks that still run there.
    pub remaining: u32,
}
