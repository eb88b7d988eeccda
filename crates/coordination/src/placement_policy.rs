use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::{AdviceAnswer, AdviceCall};

/// A call to the placement policy that failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("placement policy: {detail}")]
pub struct PolicyError {
    /// Cause.
    pub detail: String,
}

/// External service that decides which workers may run a step.
#[async_trait]
pub trait PlacementPolicy: Send + Sync {
    /// Asks which of the named workers may run the step.
    async fn advise(&self, call: &AdviceCall) -> Result<AdviceAnswer, PolicyError>;
}
