use skylarkpulley_jobs::{AdviceAnswer, AdviceCall, Decision, Summary, WorkerReport};
use skylarkpulley_proto::v1;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::calls::{JobAnswer, JobCall};

/// Input of the leader.
pub enum LeaderMessage {
    /// A caller's request.
    Call {
        /// The request.
        call: JobCall,
        /// Receives the answer.
        reply: oneshot::Sender<JobAnswer>,
    },
    /// An agent has opened a session.
    Open {
        /// Number of the session.
        session: u64,
        /// Sends the updates of the session.
        outbound: mpsc::Sender<Result<v1::CoordinatorUpdate, Status>>,
    },
    /// A report of an agent.
    Report {
        /// Number of the session.
        session: u64,
        /// Number of the message.
        sequence: u64,
        /// The content.
        report: Box<WorkerReport>,
    },
    /// The call to the placement policy has ended.
    Advice {
        /// The question.
        call: Box<AdviceCall>,
        /// The answer; `None` when the call failed.
        answer: Option<AdviceAnswer>,
    },
    /// No earlier leader extends leases any more.
    PredecessorsEnded,
    /// An operator requests the state.
    Summary {
        /// Receives the answer.
        reply: oneshot::Sender<Summary>,
    },
    /// An operator asks why the tasks of a job do not start.
    Explain {
        /// Id of the job, of a step or of a task.
        id: String,
        /// Receives a line for each step whose tasks could start.
        reply: oneshot::Sender<Vec<Decision>>,
    },
    /// A session has ended.
    Close {
        /// Number of the session.
        session: u64,
    },
}
