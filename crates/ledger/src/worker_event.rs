/// What the worker reports about a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerEvent {
    /// The task has started.
    Started,
    /// The task did not start, or ended with an error.
    Failed,
    /// The task has ended by itself.
    Finished,
    /// The checkpoint is written.
    Checkpointed,
    /// The task has stopped as asked, or no such task exists.
    Stopped,
    /// The worker did not answer a command; the task may run.
    NoAnswer,
}
