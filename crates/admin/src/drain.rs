use serde::{Deserialize, Serialize};

/// State of a member that is being drained: it receives no new work and finishes its running work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReply {
    /// Name of the agent of the upstream or worker.
    pub member: String,
    /// Number of requests or tasks that are still running on the member.
    pub remaining: u32,
}
