use crate::AgentEndpoint;

/// A live agent that may own or witness key ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The agent incarnation and its control address.
    pub endpoint: AgentEndpoint,
    /// Failure domain of the agent.
    pub domain: String,
    /// True once the agent has announced that it is leaving; it is not assigned further ranges.
    pub leaving: bool,
}

impl Candidate {
    /// Returns a candidate that is not leaving.
    pub fn new(endpoint: AgentEndpoint, domain: &str) -> Self {
        Self { endpoint, domain: domain.to_owned(), leaving: false }
    }

    /// Marks the candidate as leaving.
    pub fn with_leaving(mut self) -> Self {
        self.leaving = true;
        self
    }
}
