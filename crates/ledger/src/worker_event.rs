/// Event that the worker reports about a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerEvent {
    /// The task has started.
    Started,
    /// The task could not be started, or ended with an error.
    Failed,
    /// The task ended by itself without an error.
    Finished,
    /// The task has written its checkpoint.
    Checkpointed,
    /// The task was stopped on command, its lease expired, or the worker has no such task.
    Stopped,
    /// The worker did not reply to a command, or replied with an error; the task may be running.
    NoAnswer,
}
