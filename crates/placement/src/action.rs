use std::time::Duration;

use skylarkpulley_types::AgentId;

/// One member of a gang that is to be held.
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
    /// The task may write a checkpoint for `grace`, then it is stopped.
    Checkpoint {
        /// Time for the checkpoint.
        grace: Duration,
    },
    /// The task is stopped at once.
    Stop,
}

/// What the caller of the placer must do. Every action has a reason for `explain`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Hold all members and, when all are held, commit them.
    Place {
        /// The job, which is also the name of its gang.
        job: String,
        /// Fencing epoch of this try.
        epoch: u64,
        /// Members in a fixed order; the first one leads.
        members: Vec<GangMember>,
        /// Guarantee instance that the gang claims; none for borrowed work.
        instance: Option<String>,
        /// Why these workers.
        reason: String,
    },
    /// Release the holds of a try that did not start.
    Release {
        /// The job.
        job: String,
        /// Epoch of the try.
        epoch: u64,
        /// Agents that may hold members.
        members: Vec<AgentId>,
        /// Why the try ended.
        reason: String,
    },
    /// End a gang; unless the job is stopped as well, it is queued again from its checkpoint.
    Preempt {
        /// The job.
        job: String,
        /// Epoch of the running gang.
        epoch: u64,
        /// The agents of its members; the first one leads.
        members: Vec<AgentId>,
        /// With or without a checkpoint.
        mode: PreemptMode,
        /// Why this job.
        reason: String,
    },
    /// Slow the tasks of a gang down.
    Throttle {
        /// The job.
        job: String,
        /// Epoch of the running gang.
        epoch: u64,
        /// What was exceeded.
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
        /// Why it stands there.
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
    /// The job can never run on the pool as described.
    Refuse {
        /// The job.
        job: String,
        /// Why not.
        reason: String,
        /// What would make it fit.
        remedy: String,
    },
    /// A job refused earlier would fit after a pool edit; it is not queued by itself.
    FitsNow {
        /// The refused job.
        job: String,
        /// What it was refused for.
        reason: String,
    },
    /// The job stays in the queue. Sent when the reason changes.
    Wait {
        /// The job.
        job: String,
        /// What it waits for.
        reason: String,
    },
    /// The job is given up and leaves the queue.
    StopJob {
        /// The job.
        job: String,
        /// Why.
        reason: String,
    },
    /// No set of workers can hold this instance at present.
    GuaranteeAtRisk {
        /// Guarantee instance.
        instance: String,
        /// What is missing.
        reason: String,
    },
    /// The instance has a reservation again.
    GuaranteeRestored {
        /// Guarantee instance.
        instance: String,
        /// What changed.
        reason: String,
    },
    /// The worker receives no more work, except probes.
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
        /// Why.
        reason: String,
    },
}
