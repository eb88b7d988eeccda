use derive_more::Display;
use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// A job to submit. Also the body of a client's request on a route whose pool has workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubmitRequest {
    /// Name of the route; empty in the body of a client's request, which already has a route.
    #[serde(default)]
    pub route: String,
    /// Team that pays for the job.
    pub team: String,
    /// Kind of the job; run times are estimated for each team and kind.
    pub kind: String,
    /// Accelerators that the job needs at the same time.
    pub shape: Shape,
    /// Cores that the job needs on each worker.
    pub cores: u32,
    /// Memory that the job needs on each worker, in MiB.
    pub memory_mib: u64,
    /// Declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// How the job may be preempted while it runs on borrowed capacity.
    pub preemption: Preemption,
    /// Name of the guarantee that the job claims; `None` if it claims none.
    #[serde(default)]
    pub claim: Option<String>,
    /// Whether the job starts before other work of its class.
    #[serde(default)]
    pub urgent: bool,
}

/// How a job may be preempted while it runs on borrowed capacity.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Preemption {
    /// The job may be stopped after it has written a checkpoint.
    #[display("checkpoint")]
    Checkpoint,
    /// The job may be stopped and later starts from the beginning.
    #[display("stop")]
    Stop,
    /// The job may not be preempted, so it runs only where no other team has a guarantee.
    #[display("never")]
    Never,
}

/// The entry's decision about a submitted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum SubmitReply {
    /// The job is recorded and queued (status 200).
    Accepted {
        /// Id of the job.
        id: String,
        /// Where the job is recorded.
        durability: Durability,
    },
    /// The job can never run as described (status 422).
    Refused {
        /// Why the job cannot run.
        reason: String,
        /// What would have to change for the job to fit.
        needed: String,
    },
}

/// Where an accepted job is recorded.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The job is recorded in the store.
    #[display("stored")]
    Stored,
    /// The job is recorded at two entries, because the store does not answer.
    #[display("copied")]
    Copied,
}
