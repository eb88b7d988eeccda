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

/// A job as its submitter declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobSpec {
    /// Unique id; the gang has the same name.
    pub id: String,
    /// The team that pays.
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
    /// Goes before all other jobs of its class.
    pub urgent: bool,
    /// Time that the job has waited already; not zero after a takeover.
    pub waited: Duration,
    /// Run time that its last checkpoint preserves; not zero after a takeover.
    pub progress: Duration,
    /// Highest epoch used for the job so far.
    pub epoch: u64,
}

impl JobSpec {
    /// Returns a preemptible job of one second with no claim, of class 5.
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
        }
    }

    /// Stands for a job that is known only from reports.
    pub(crate) fn unknown(id: &str, accelerators: u32) -> Self {
        Self {
            run_time: Duration::from_secs(3600),
            ..Self::new(id, "", Shape::new(accelerators, 1, Locality::Pool))
        }
    }
}

/// What happens to a job when its gang has stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum After {
    Remove,
    Requeue,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Waiting,
    /// Waiting for answers to holds; `answers` runs parallel to the members.
    Holding {
        answers: Vec<Answer>,
    },
    /// All members are held; waiting for the start until this time.
    Committing(Instant),
    Running,
    /// A stop was sent; waiting for the end.
    Stopping(After),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Held,
    None,
    Pending,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub spec: JobSpec,
    /// Index of the team.
    pub team: usize,
    /// Key of the run-time estimate.
    pub estimate: usize,
    pub state: State,
    pub epoch: u64,
    /// Worker and accelerators of each member.
    pub members: Vec<(usize, u32)>,
    pub instance: Option<usize>,
    /// The current grant must not be evicted.
    pub non_preemptible: bool,
    /// Start of the current try, or of the run once it runs.
    pub started: Instant,
    pub progress: Duration,
    /// Times of preemptions within the last hour.
    pub preempted: Vec<Instant>,
    /// Names of the workers on which the job failed.
    pub failed_on: Vec<String>,
    pub tries: u32,
    /// Memory needed on each worker: declared, or observed when that was more.
    pub memory: u64,
    /// Memory last reported in excess of it.
    pub memory_seen: u64,
    /// Level of the reaction to excess memory, and when it was taken.
    pub excess: Option<(u8, Instant)>,
    pub queued: Instant,
    /// When the job was submitted.
    pub submitted: Instant,
    pub not_before: Instant,
    /// Position in its queue.
    pub key: i64,
    pub wait_reason: String,
    /// Known only from reports.
    pub stub: bool,
    /// Edit of the pool against which the job was checked.
    pub edit: u64,
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
            started: now,
            progress: spec.progress,
            preempted: Vec::new(),
            failed_on: Vec::new(),
            tries: 0,
            memory: spec.memory_mib,
            memory_seen: 0,
            excess: None,
            queued: now.checked_sub(spec.waited).unwrap_or(now),
            submitted: now.checked_sub(spec.waited).unwrap_or(now),
            not_before: now,
            key: 0,
            wait_reason: String::new(),
            stub: false,
            edit: 0,
            spec,
        }
    }

    pub fn is_waiting(&self) -> bool {
        self.state == State::Waiting
    }

    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    pub fn total(&self) -> u64 {
        self.members.iter().map(|(_, accelerators)| u64::from(*accelerators)).sum()
    }
}
