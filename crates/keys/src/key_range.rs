use serde::{Deserialize, Serialize};
use skylarkpulley_types::AgentId;

use crate::AgentEndpoint;

/// Assignment of one key range; part of the stored range map.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRange {
    /// Increases by one whenever the owner or witness changes or the range is unsealed. Messages
    /// with a lower epoch are refused.
    pub epoch: u64,
    /// Last epoch at which no earlier record counted as missing: that of the range's creation, or of
    /// the end of its seal, when an operator released the range or the seal expired.
    #[serde(rename = "fresh")]
    pub reset_epoch: u64,
    /// Agent that grants or refuses reservations.
    pub owner: Option<AgentEndpoint>,
    /// Agent that confirms every reservation and becomes the owner when the owner is lost.
    pub witness: Option<AgentEndpoint>,
    /// True while records may be missing, because owner and witness were lost together or neither
    /// has all records, and the range has not been unsealed since.
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
