use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::JobSpec;

/// A grant or hold as its agent reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedGrant {
    /// The gang, which has the name of its job.
    pub job: String,
    /// Epoch of the grant.
    pub epoch: u64,
    /// Accelerators on this worker.
    pub accelerators: u32,
    /// Guarantee instance; none for borrowed work.
    pub instance: Option<String>,
    /// Whether the work may be evicted.
    pub preemptible: bool,
    /// False while the grant is only held or committed.
    pub running: bool,
    /// Time since the start of the task.
    pub run_time: Duration,
    /// Memory in use on this worker.
    pub memory_mib: u64,
}

/// A reservation as its agent reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedReservation {
    /// Guarantee instance.
    pub instance: String,
    /// Epoch of the reservation.
    pub epoch: u64,
    /// Accelerators on this worker.
    pub accelerators: u32,
}

/// State of a worker as its agent last saw it; may be older than the latest decisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Everything the agent has granted or holds.
    pub grants: Vec<ReportedGrant>,
    /// Everything the agent has reserved.
    pub reservations: Vec<ReportedReservation>,
}

/// An agent's answer to a hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldResult {
    /// The accelerators are held.
    Held,
    /// Evictions are under way; the hold is asked for again.
    Pending,
    /// The agent refuses.
    Refused {
        /// The agent's reason.
        reason: String,
        /// Highest epoch that the agent has seen for the gang or instance; 0 when unknown.
        highest_epoch: u64,
    },
    /// No answer within the hold's time limit.
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

/// What the placer is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A worker's agent opened a session. The worker is used from its first report on.
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
    /// The worker or its agent is gone.
    WorkerLost {
        /// The agent.
        agent: AgentId,
    },
    /// Periodic state of a worker.
    WorkerReport {
        /// The agent.
        agent: AgentId,
        /// Its state.
        report: WorkerReport,
    },
    /// A job was submitted, or read back after a takeover.
    Submit(JobSpec),
    /// The submitter no longer wants the job.
    Cancel {
        /// The job.
        job: String,
    },
    /// An agent answered a hold, or failed to.
    HoldAnswered {
        /// The job.
        job: String,
        /// Epoch of the try.
        epoch: u64,
        /// The agent.
        worker: AgentId,
        /// Its answer.
        result: HoldResult,
    },
    /// All members of the gang run.
    GangStarted {
        /// The job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// The gang wrote a checkpoint.
    Checkpointed {
        /// The job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
        /// Run time that the checkpoint preserves, over all tries.
        progress: Duration,
    },
    /// No member of the gang runs any more.
    GangEnded {
        /// The job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
        /// How it ended.
        end: GangEnd,
    },
    /// An operator takes a worker out of use, or returns it.
    Drain {
        /// Name of the worker's agent.
        worker: String,
        /// True to take it out.
        draining: bool,
    },
}
