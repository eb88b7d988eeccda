use std::time::Duration;

use derive_more::Display;

use crate::{Resources, TaskId};

/// A broken rule of the coordinator's state, found by [`crate::Coordinator::audit`].
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// A worker's occupied resources are not those of the runs placed on it.
    #[display("{worker} counts {booked:?} as occupied, its runs need {placed:?}")]
    Occupied {
        /// Resources that count as occupied.
        booked: Resources,
        /// Resources of the runs that are placed there.
        placed: Resources,
        /// Id of the worker.
        worker: String,
    },
    /// Some members of a gang are placed, others are not, and none is ordered to stop.
    #[display("{placed} of {members} members of the gang of {task} are placed and continue")]
    PartialGang {
        /// Number of members.
        members: usize,
        /// Number of members that are placed and not ordered to stop.
        placed: usize,
        /// First member.
        task: TaskId,
    },
    /// A run stands in the book of a worker on which it is not placed.
    #[display("{worker} has run {run} of {task}, which is not placed there")]
    StrayRun {
        /// Number of the run.
        run: u32,
        /// The task.
        task: TaskId,
        /// Id of the worker.
        worker: String,
    },
    /// A placed run does not stand in the book of its worker, or is of another incarnation of it.
    #[display(
        "run {run} of {task} is placed on {worker} (incarnation {incarnation}), which does not \
         have it (incarnation {current:?})"
    )]
    UnbookedRun {
        /// Incarnation of the worker in the book; `None` if the worker is unknown.
        current: Option<u64>,
        /// Incarnation for which the run is placed.
        incarnation: u64,
        /// Number of the run.
        run: u32,
        /// The task.
        task: TaskId,
        /// Id of the worker.
        worker: String,
    },
    /// A job is in a final state and has no runs, but has not ended.
    #[display("{job} is in a final state without runs, and has not ended")]
    UnendedJob {
        /// Id of the job.
        job: String,
    },
    /// A task is not done, has no run, and its job does not wait for workers.
    #[display("{task} is not done and has no run, and its job does not wait")]
    UnplannedTask {
        /// The task.
        task: TaskId,
    },
    /// A run that its agent could settle is neither listed nor ended.
    #[display(
        "run {run} of {task} on {worker} is neither listed nor ended after {} ms, {} ms of them \
         observed; stopping {stopping}, lost {lost}",
        total.as_millis(), observed.as_millis()
    )]
    UnsettledRun {
        /// Whether the run is lost with an earlier incarnation.
        lost: bool,
        /// Time for which its agent reported and reached the worker.
        observed: Duration,
        /// Number of the run.
        run: u32,
        /// Whether the run is ordered to stop.
        stopping: bool,
        /// The task.
        task: TaskId,
        /// Time since the run needs to be settled.
        total: Duration,
        /// Id of the worker.
        worker: String,
    },
    /// Tasks wait although there are free resources for them twice over.
    #[display(
        "{tasks} tasks from {task} wait for {} ms with free resources for twice as many",
        waited.as_millis()
    )]
    WaitingUnit {
        /// First of the tasks.
        task: TaskId,
        /// Number of the tasks.
        tasks: usize,
        /// Time for which the resources were free.
        waited: Duration,
    },
}
