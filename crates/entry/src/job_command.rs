use skylarkpulley_admin::{JobView, SubmitRequest};
use skylarkpulley_placement::{HoldResult, Status};
use skylarkpulley_proto::v1;
use skylarkpulley_types::AgentId;
use tokio::sync::oneshot;

/// Command to the task that owns jobs and placers.
#[derive(Debug)]
pub(crate) enum JobCommand {
    Cancel(String, oneshot::Sender<Option<JobView>>),
    Copies(u64, oneshot::Sender<(Vec<v1::JobCopy>, u64)>),
    Drain(String, oneshot::Sender<Option<u32>>),
    Get(String, oneshot::Sender<Option<JobView>>),
    List(oneshot::Sender<Vec<JobView>>),
    HoldAnswered {
        pool: String,
        job: String,
        epoch: u64,
        worker: AgentId,
        result: HoldResult,
    },
    /// All job rows of the store have been read.
    Loaded,
    Merge(Vec<v1::JobCopy>),
    /// Job rows read from the store, with their versions.
    Rows(Vec<(v1::JobCopy, u64)>),
    Saved {
        id: String,
        revision: u64,
        version: Option<u64>,
    },
    Status(oneshot::Sender<Vec<(String, Status)>>),
    Submit {
        id: String,
        request: SubmitRequest,
        reply: oneshot::Sender<SubmitAnswer>,
    },
}

/// Answer of the task to a submission.
#[derive(Debug)]
pub(crate) enum SubmitAnswer {
    /// The job is queued; `change` is the number of its change.
    Queued { change: u64 },
    /// A job with this id already exists.
    Repeated,
    /// The job can never run on its pool.
    Refused { reason: String, needed: String },
    /// The request names a route, pool or team that does not exist.
    Invalid(String),
}
