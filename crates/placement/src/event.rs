use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::JobSpec;

/// A grant or hold as reported by its agent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedGrant {
    /// Id of the job; its gang has the same name.
    pub job: String,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Accelerators on this worker.
    pub accelerators: u32,
    /// Guarantee instance that the gang claims; `None` for borrowed work.
    pub instance: Option<String>,
    /// Whether the gang may be evicted.
    pub preemptible: bool,
    /// False while the grant is only held or committed.
    pub running: bool,
    /// Time since the start of the task.
    pub run_time: Duration,
    /// Memory in use on this worker.
    pub memory_mib: u64,
}

/// A reservation as reported by its agent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedReservation {
    /// Guarantee instance.
    pub instance: String,
    /// Epoch of the reservation.
    pub epoch: u64,
    /// Accelerators on this worker.
    pub accelerators: u32,
}

/// Grants and reservations of a worker as its agent last knew them. A report may be older than the
/// latest decisions of the placer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// All grants and holds of the agent.
    pub grants: Vec<ReportedGrant>,
    /// All reservations of the agent.
    pub reservations: Vec<ReportedReservation>,
}

/// An agent's answer to a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldResult {
    /// The accelerators are held.
    Held,
    /// The agent is still evicting other gangs; the hold is requested again.
    Pending,
    /// The agent refuses the hold.
    Refused {
        /// The agent's reason.
        reason: String,
        /// Highest epoch that the agent has received for the gang or instance; 0 when unknown.
        highest_epoch: u64,
    },
    /// The agent did not answer within the time limit of the hold.
    NoAnswer,
}

/// How a gang ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GangEnd {
    /// All members finished.
    Finished,
    /// The task failed on this worker.
    Failed {
        /// Agent of the member that failed.
        worker: AgentId,
    },
    /// The gang lease was not renewed.
    LeaseLapsed,
    /// The gang was stopped on request.
    Stopped,
}

/// An input of the placer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A worker's agent opened a session. The worker receives work only after its first report.
    WorkerJoined {
        /// The agent.
        agent: AgentId,
        /// Failure domain.
        domain: String,
        /// Rack, unique within the domain.
        rack: String,
        /// Accelerators of the worker.
        accelerators: u32,
    },
    /// The worker or its agent was lost.
    WorkerLost {
        /// The agent.
        agent: AgentId,
    },
    /// Periodic report of a worker.
    WorkerReport {
        /// The agent.
        agent: AgentId,
        /// Grants and reservations of the worker.
        report: WorkerReport,
    },
    /// A job was submitted, or was read back after a takeover.
    Submit(JobSpec),
    /// The submitter cancelled the job.
    Cancel {
        /// Id of the job.
        job: String,
    },
    /// An agent answered a hold or did not answer in time.
    HoldAnswered {
        /// Id of the job.
        job: String,
        /// Epoch of the placement.
        epoch: u64,
        /// The agent.
        worker: AgentId,
        /// Its answer.
        result: HoldResult,
    },
    /// All members of the gang are running.
    GangStarted {
        /// Id of the job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// The gang wrote a checkpoint.
    Checkpointed {
        /// Id of the job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
        /// Run time that the checkpoint preserves, summed over all runs of the job.
        progress: Duration,
    },
    /// No member of the gang is running any more.
    GangEnded {
        /// Id of the job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
        /// How it ended.
        end: GangEnd,
    },
    /// An operator starts or ends the draining of a worker.
    Drain {
        /// Name of the worker's agent.
        worker: String,
        /// Whether the worker is drained from now on.
        draining: bool,
    },
}
