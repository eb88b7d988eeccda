use derive_more::Display;
use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// A job as known to the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Name of the route that the job was submitted on.
    pub route: String,
    /// Team that pays for the job.
    pub team: String,
    /// Kind of the job; run times are estimated for each team and kind.
    pub kind: String,
    /// Accelerators that the job needs at the same time.
    pub shape: Shape,
    /// State of the job.
    pub state: JobState,
    /// Time since submission, in milliseconds.
    pub age_ms: u64,
    /// Names of the agents of the job's workers, sorted by name; the first one is the lead.
    pub members: Vec<String>,
    /// Reason for the state, as text.
    pub detail: String,
}

/// State of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job waits for workers.
    #[display("queued")]
    Queued,
    /// The workers of the job are chosen, but not all members are ready.
    #[display("starting")]
    Starting,
    /// All members are running.
    #[display("running")]
    Running,
    /// The job is being checkpointed or stopped.
    #[display("stopping")]
    Stopping,
    /// The job finished successfully.
    #[display("done")]
    Done,
    /// The job ended without success.
    #[display("failed")]
    Failed,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}
