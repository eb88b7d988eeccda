use std::time::Duration;

use derive_more::Display;
use skylarkpulley_platform_standins::EndKind;

/// What was seen of a task of a job that did not end.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OpenTask {
    /// It never started, and an earlier step is not done.
    #[display("{task} waits for step {step}")]
    Follows {
        /// The earlier step.
        step: usize,
        /// Name of the task.
        task: String,
    },
    /// It never started.
    #[display("{task} never started")]
    NotStarted {
        /// Name of the task.
        task: String,
    },
    /// Its last run has not ended.
    #[display("{task} run {run} started on {worker} at {at:?} and has not ended")]
    NotEnded {
        /// When the run began.
        at: Duration,
        /// Number of the run.
        run: u32,
        /// Name of the task.
        task: String,
        /// Id of the worker.
        worker: String,
    },
    /// Its last run has ended, and its worker has not received the acknowledgement.
    #[display("{task} run {run} ended as {kind} on {worker} at {at:?}, not acknowledged there")]
    NotNoted {
        /// When the run ended.
        at: Duration,
        /// How the run ended.
        kind: EndKind,
        /// Number of the run.
        run: u32,
        /// Name of the task.
        task: String,
        /// Id of the worker.
        worker: String,
    },
    /// The end of its last run was acknowledged, and it did not start again.
    #[display("{task} run {run} ended as {kind} on {worker} at {at:?} and did not start again")]
    NotRestarted {
        /// When the run ended.
        at: Duration,
        /// How the run ended.
        kind: EndKind,
        /// Number of the run.
        run: u32,
        /// Name of the task.
        task: String,
        /// Id of the worker.
        worker: String,
    },
}
