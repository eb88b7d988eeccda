use std::time::Duration;

use skylarkpulley_types::AgentId;

/// A gang member for which a hold is requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GangMember {
    /// Agent of the worker.
    pub worker: AgentId,
    /// Accelerators on that worker.
    pub accelerators: u32,
    /// Gangs that the hold may evict on that worker.
    pub evict: Vec<String>,
}

/// How a gang is ended before it finishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptMode {
    /// The task gets `grace` to write a checkpoint and is then stopped.
    Checkpoint {
        /// Time for the checkpoint.
        grace: Duration,
    },
    /// The task is stopped at once.
    Stop,
}

/// An instruction to the caller of the placer. Every action carries a reason, which the caller
/// records for `explain`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Request holds for all members and commit the gang once all are held.
    Place {
        /// Id of the job; its gang has the same name.
        job: String,
        /// Fencing epoch of this placement.
        epoch: u64,
        /// Members in a fixed order; the first one is the lead.
        members: Vec<GangMember>,
        /// Guarantee instance that the gang claims; `None` for borrowed work.
        instance: Option<String>,
        /// Why these workers were chosen.
        reason: String,
    },
    /// Release the holds of a placement that did not start.
    Release {
        /// Id of the job.
        job: String,
        /// Epoch of the placement.
        epoch: u64,
        /// Agents that may hold capacity for members.
        members: Vec<AgentId>,
        /// Why the placement ended.
        reason: String,
    },
    /// End a running gang. The job is queued again and resumes from its checkpoint, unless it is
    /// stopped as well.
    Preempt {
        /// Id of the job.
        job: String,
        /// Epoch of the running gang.
        epoch: u64,
        /// Agents of its members; the first one is the lead.
        members: Vec<AgentId>,
        /// Whether the task may write a checkpoint first.
        mode: PreemptMode,
        /// Why this job was chosen.
        reason: String,
    },
    /// Throttle the tasks of a gang.
    Throttle {
        /// Id of the job.
        job: String,
        /// Epoch of the running gang.
        epoch: u64,
        /// Which limit was exceeded.
        reason: String,
    },
    /// Record a reservation at a worker's agent.
    SetReservation {
        /// Guarantee instance.
        instance: String,
        /// Agent of the worker.
        worker: AgentId,
        /// Accelerators on that worker.
        accelerators: u32,
        /// Epoch of the reservation.
        epoch: u64,
        /// Why the reservation is on this worker.
        reason: String,
    },
    /// Remove a reservation from a worker's agent.
    ClearReservation {
        /// Guarantee instance.
        instance: String,
        /// Agent of the worker.
        worker: AgentId,
        /// Accelerators that the reservation covered.
        accelerators: u32,
        /// Epoch of the change; not lower than that of the reservation.
        epoch: u64,
        /// Why it is removed.
        reason: String,
    },
    /// The job can never run on the described pool; it is not queued.
    Refuse {
        /// Id of the job.
        job: String,
        /// Why the job cannot run.
        reason: String,
        /// Which change would make it fit.
        remedy: String,
    },
    /// A job that was refused earlier fits the edited pool. It is not queued automatically.
    FitsNow {
        /// Id of the refused job.
        job: String,
        /// Why it was refused.
        reason: String,
    },
    /// The job stays in the queue. Returned only when the reason changes.
    Wait {
        /// Id of the job.
        job: String,
        /// What it waits for.
        reason: String,
    },
    /// The job is stopped for good and leaves the queue.
    StopJob {
        /// Id of the job.
        job: String,
        /// Why the job is stopped.
        reason: String,
    },
    /// No set of usable workers currently has the capacity for this instance.
    GuaranteeAtRisk {
        /// Guarantee instance.
        instance: String,
        /// Which capacity is missing.
        reason: String,
    },
    /// The instance has a reservation again.
    GuaranteeRestored {
        /// Guarantee instance.
        instance: String,
        /// What changed.
        reason: String,
    },
    /// The worker receives no work except probes.
    Quarantine {
        /// Agent of the worker.
        worker: AgentId,
        /// Which failures led to it.
        reason: String,
    },
    /// The worker receives work again.
    Unquarantine {
        /// Agent of the worker.
        worker: AgentId,
        /// Why the quarantine ended.
        reason: String,
    },
}
