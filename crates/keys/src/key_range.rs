use serde::{Deserialize, Serialize};
use skylarkpulley_types::AgentId;

use crate::AgentEndpoint;

/// Assignment of one key range.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRange {
    /// Grows by one with every change of this range.
    pub epoch: u64,
    /// Last epoch at which the range had no history that matters: its creation, or its release by
    /// an operator after it was sealed.
    #[serde(rename = "fresh")]
    pub reset_epoch: u64,
    /// Decides reservations.
    pub owner: Option<AgentEndpoint>,
    /// Confirms every reservation; takes over when the owner is gone.
    pub witness: Option<AgentEndpoint>,
    /// True when owner and witness were lost together and the range was not released since.
    pub sealed: bool,
}

impl KeyRange {
    pub(crate) fn owned_by(&self, agent: &AgentId) -> bool {
        self.owner.as_ref().is_some_and(|endpoint| endpoint.agent == *agent)
    }

    pub(crate) fn witnessed_by(&self, agent: &AgentId) -> bool {
        self.witness.as_ref().is_some_and(|endpoint| endpoint.agent == *agent)
    }
}
