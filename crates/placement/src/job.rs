use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use skylarkpulley_types::{Locality, Shape};

/// Whether and how a job's tasks may be ended early.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Preemption {
    /// The task writes a checkpoint on request.
    Checkpoint,
    /// The task may be stopped; its progress is lost.
    Stop,
    /// The task must not be ended early.
    Never,
}

/// A job as declared by its submitter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobSpec {
    /// Unique id; the gang of the job has the same name.
    pub id: String,
    /// Team whose share the job uses.
    pub team: String,
    /// Kind of work; run-time estimates are corrected per team and kind.
    pub kind: String,
    /// Priority class, 0 (most urgent) to 9.
    pub class: u8,
    /// Accelerators, workers and locality.
    pub shape: Shape,
    /// Cores on each worker.
    pub cores: u32,
    /// Memory on each worker, in MiB.
    pub memory_mib: u64,
    /// Declared run time.
    pub run_time: Duration,
    /// How the job may be ended early.
    pub preemption: Preemption,
    /// Name of the guarantee that the job claims.
    pub claim: Option<String>,
    /// Whether the job goes before all other jobs of its class.
    pub urgent: bool,
    /// Time that the job has already waited. Not zero when the job was read back after a takeover.
    pub waited: Duration,
    /// Run time that its last checkpoint preserves. Not zero when the job was read back after a
    /// takeover.
    pub progress: Duration,
    /// Highest epoch used for the job so far.
    pub epoch: u64,
    /// Workers in a row that were lost soon after the job had started on them. Not zero when the job
    /// was read back after a takeover.
    pub lost_starts: u32,
}

impl JobSpec {
    /// Returns a preemptible job of class 5 without a claim and with a run time of one second.
    pub fn new(id: &str, team: &str, shape: Shape) -> Self {
        Self {
            id: id.to_owned(),
            team: team.to_owned(),
            kind: String::new(),
            class: 5,
            shape,
            cores: 0,
            memory_mib: 0,
            run_time: Duration::from_secs(1),
            preemption: Preemption::Checkpoint,
            claim: None,
            urgent: false,
            waited: Duration::ZERO,
            progress: Duration::ZERO,
            epoch: 0,
            lost_starts: 0,
        }
    }

    /// Returns the spec of a job that is known only from reports.
    pub(crate) fn placeholder(id: &str, accelerators: u32) -> Self {
        Self {
            run_time: Duration::from_secs(3600),
            ..Self::new(id, "", Shape::new(accelerators, 1, Locality::Pool))
        }
    }
}

/// What happens to a job after its gang has stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AfterStop {
    Remove,
    Requeue,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Waiting,
    /// Waiting for answers to holds. `answers` has one element per member, in the same order.
    Holding {
        answers: Vec<Answer>,
    },
    /// All members are held. The gang must start before this time.
    Committing(Instant),
    Running,
    /// A stop was sent; the gang has not ended yet.
    Stopping(AfterStop),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Held,
    /// The agent has not answered yet.
    Missing,
    Pending,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub spec: JobSpec,
    /// Index of the team in `Placer::team_usage`.
    pub team: usize,
    /// Key of the run-time estimate.
    pub estimate: usize,
    pub state: State,
    pub epoch: u64,
    /// Worker and accelerators of each member.
    pub members: Vec<(usize, u32)>,
    pub instance: Option<usize>,
    /// The current gang must not be evicted.
    pub non_preemptible: bool,
    /// When the gang was placed; from the state `Running` on, when the run started.
    pub started_at: Instant,
    pub progress: Duration,
    /// Times of the preemptions within the last hour.
    pub preempted_at: Vec<Instant>,
    /// Names of the workers on which the job failed.
    pub failed_on: Vec<String>,
    /// Workers in a row that were lost soon after the job had started on them.
    pub lost_starts: u32,
    /// Placements and runs that failed since the gang last started.
    pub consecutive_failures: u32,
    /// Memory needed on each worker in MiB: the declared size, or the observed size if it was
    /// larger.
    pub memory: u64,
    /// Last reported memory use that exceeded `memory`, in MiB.
    pub reported_memory: u64,
    /// Step taken last against excess memory use, and when it was taken.
    pub memory_excess: Option<(u8, Instant)>,
    pub queued_at: Instant,
    pub submitted_at: Instant,
    /// The job is not placed before this time.
    pub not_before: Instant,
    /// Sort key of the job in its queue; see `Placer::queue_key`.
    pub queue_key: i64,
    pub wait_reason: String,
    /// The job is known only from reports and was not submitted yet.
    pub placeholder: bool,
    /// Version of the pool against which the job was last checked.
    pub checked_version: u64,
}

impl Job {
    pub fn new(spec: JobSpec, now: Instant) -> Self {
        Self {
            team: 0,
            estimate: 0,
            state: State::Waiting,
            epoch: spec.epoch,
            members: Vec::new(),
            instance: None,
            non_preemptible: false,
            started_at: now,
            progress: spec.progress,
            preempted_at: Vec::new(),
            failed_on: Vec::new(),
            lost_starts: spec.lost_starts,
            consecutive_failures: 0,
            memory: spec.memory_mib,
            reported_memory: 0,
            memory_excess: None,
            queued_at: now.checked_sub(spec.waited).unwrap_or(now),
            submitted_at: now.checked_sub(spec.waited).unwrap_or(now),
            not_before: now,
            queue_key: 0,
            wait_reason: String::new(),
            placeholder: false,
            checked_version: 0,
            spec,
        }
    }

    pub fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }

    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// Returns the accelerators of all current members.
    pub fn total_accelerators(&self) -> u64 {
        self.members.iter().map(|(_, accelerators)| u64::from(*accelerators)).sum()
    }
}
