use skylarkpulley_types::{AgentId, Outcome};

use crate::v1;

impl From<&AgentId> for v1::AgentId {
    fn from(id: &AgentId) -> Self {
        Self { name: id.name.clone(), incarnation: id.incarnation }
    }
}

impl From<v1::AgentId> for AgentId {
    fn from(id: v1::AgentId) -> Self {
        Self { name: id.name, incarnation: id.incarnation }
    }
}

impl From<Outcome> for v1::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

/// Converts an unspecified outcome to [`Outcome::Unknown`], because it proves nothing.
impl From<v1::Outcome> for Outcome {
    fn from(outcome: v1::Outcome) -> Self {
        match outcome {
            v1::Outcome::Answered => Self::Answered,
            v1::Outcome::NotRun => Self::NotRun,
            v1::Outcome::Unknown | v1::Outcome::Unspecified => Self::Unknown,
        }
    }
}
