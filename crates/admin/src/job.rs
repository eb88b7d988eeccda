use derive_more::Display;
use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// A job as the entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Name of the route.
    pub route: String,
    /// The team that pays.
    pub team: String,
    /// Kind of job.
    pub kind: String,
    /// Accelerators that the job needs together.
    pub shape: Shape,
    /// Where the job stands.
    pub state: JobState,
    /// Time since submission, in milliseconds.
    pub age_ms: u64,
    /// Workers that hold the job, in order of name; the lead first.
    pub members: Vec<String>,
    /// Why the job is in this state, in words.
    pub detail: String,
}

/// Where a job stands.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Waits for workers.
    #[display("queued")]
    Queued,
    /// Its workers are held, but not all are ready.
    #[display("starting")]
    Starting,
    /// All members run.
    #[display("running")]
    Running,
    /// Is being checkpointed or stopped.
    #[display("stopping")]
    Stopping,
    /// Finished.
    #[display("done")]
    Done,
    /// Ended without success.
    #[display("failed")]
    Failed,
    /// Was cancelled.
    #[display("cancelled")]
    Cancelled,
}
