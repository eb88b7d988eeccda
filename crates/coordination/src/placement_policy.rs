use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::{AdviceAnswer, AdviceCall};

/// A question to the placement policy that was not answered.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("placement policy: {detail}")]
pub struct PolicyError {
    /// Cause.
    pub detail: String,
}

/// Service outside that knows which workers may run a step.
#[async_trait]
pub trait PlacementPolicy: Send + Sync {
    /// Asks which of the named workers may run the step.
    async fn advise(&self, call: &AdviceCall) -> Result<AdviceAnswer, PolicyError>;
}
