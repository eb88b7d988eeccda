use derive_more::Display;
use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// A job to be queued. Also the body of a request on a route whose pool has workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmitRequest {
    /// Name of the route; empty in the body of a request that came in on a route.
    #[serde(default)]
    pub route: String,
    /// The team that pays.
    pub team: String,
    /// Kind of job; run times are estimated for each team and kind.
    pub kind: String,
    /// Accelerators that the job needs together.
    pub shape: Shape,
    /// Cores on each worker.
    pub cores: u32,
    /// Memory on each worker in MiB.
    pub memory_mib: u64,
    /// Declared run time in milliseconds.
    pub run_time_ms: u64,
    /// What may be done to the job while it runs on borrowed capacity.
    pub preemption: Preemption,
    /// Name of the guarantee that the job claims.
    #[serde(default)]
    pub claim: Option<String>,
    /// Urgent work starts before other work of its class.
    #[serde(default)]
    pub urgent: bool,
}

/// What may be done to a job while it runs on borrowed capacity.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Preemption {
    /// It may be stopped after it has written a checkpoint.
    #[display("checkpoint")]
    Checkpoint,
    /// It may be stopped and starts anew.
    #[display("stop")]
    Stop,
    /// It may not be preempted, so it runs only where no other team holds a guarantee.
    #[display("never")]
    Never,
}

/// The entry's decision about a submitted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum SubmitReply {
    /// The job is queued (status 200).
    Accepted {
        /// Id of the job.
        id: String,
        /// Where the job is recorded.
        durability: Durability,
    },
    /// The job can never run as described (status 422).
    Refused {
        /// Why.
        reason: String,
        /// What would make it fit.
        needed: String,
    },
}

/// Where an accepted job is recorded.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// In the store.
    #[display("stored")]
    Stored,
    /// At two entries, because the store does not answer.
    #[display("copied")]
    Copied,
}
