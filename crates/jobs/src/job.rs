use serde::{Deserialize, Serialize};

/// Resources of a worker, or resources that a task needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Accelerators.
    pub accelerators: i64,
    /// Processor time in thousandths of a core.
    pub cores: i64,
    /// Memory in MB.
    pub memory: i64,
}

impl Resources {
    /// Reports whether these resources cover `need`.
    pub fn fits(&self, need: &Resources) -> bool {
        self.accelerators >= need.accelerators
            && self.cores >= need.cores
            && self.memory >= need.memory
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.accelerators += other.accelerators;
        self.cores += other.cores;
        self.memory += other.memory;
    }

    /// Subtracts `other`. The result may be negative while a claim waits for free resources.
    pub fn subtract(&mut self, other: &Resources) {
        self.accelerators -= other.accelerators;
        self.cores -= other.cores;
        self.memory -= other.memory;
    }

    /// Returns the resources of `count` tasks that need these each.
    pub fn times(&self, count: usize) -> Self {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
        }
    }

    /// Returns the weight in cores; an accelerator counts as 8 cores.
    pub fn weight(&self) -> f64 {
        self.cores as f64 / 1000.0 + self.accelerators as f64 * 8.0
    }
}

/// One step of a job: tasks that need the same resources.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Numbers of the steps whose tasks must all be done before this step starts.
    pub after: Vec<usize>,
    /// Whether the tasks record checkpoints.
    pub checkpoints: bool,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Number of tasks.
    pub count: u32,
    /// Rack near the data. The tasks are slower on other racks.
    pub near_rack: Option<String>,
    /// Estimated run time of a task in milliseconds; often wrong.
    pub estimate_ms: u64,
    /// Whether the tasks use only cores that others leave unused. Their own cores then do not
    /// count.
    pub fills: bool,
    /// Whether the tasks run only together, as a gang.
    pub gang: bool,
    /// Image that the tasks run. Tasks of one image behave alike.
    pub image: String,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Number of tasks of a lasting step that the system may leave absent at the same time; 0 means
    /// that no limit is given.
    pub may_miss: u32,
    /// Resources that one task needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Maximum number of tasks of one occurrence on one worker; 0 means no limit.
    pub spread: u32,
    /// Response time below which a serving task must stay, in milliseconds; 0 means no objective.
    pub response_ms: u64,
}

impl Step {
    fn memory_bytes(&self) -> usize {
        let optional = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let texts = self.image.len() + optional(&self.label) + optional(&self.near_rack);
        size_of::<Self>() + size_of_val(self.after.as_slice()) + texts
    }
}

/// Times at which the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// First due time, milliseconds since 1970.
    pub start_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as submitted; it never changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Time of acceptance, milliseconds since 1970.
    pub accepted_ms: u64,
    /// Whether an external placement policy decides which workers may run a step.
    #[serde(default)]
    pub advised: bool,
    /// Number of failed runs of a task or gang at which the job fails.
    pub attempts: u32,
    /// Priority class, 0 is the most urgent.
    pub class: u8,
    /// Id that the caller has chosen; unique in the deployment.
    pub id: String,
    /// Opaque description that tasks receive.
    pub payload: String,
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Name of the route.
    pub route: String,
    /// Host and path prefix at which it was submitted, which select its route in each version of the
    /// tables; empty in rows of earlier builds.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub selector: String,
    /// Schedule of its occurrences; `None` for a job with a single occurrence.
    pub schedule: Option<Schedule>,
    /// Objective for the end, as a multiple of the estimated critical path.
    pub slack: f64,
    /// Steps in order of their numbers.
    pub steps: Vec<Step>,
    /// Latency objective of the route in milliseconds.
    pub target_ms: u64,
    /// Team that pays for the job.
    pub team: String,
}

impl Job {
    /// Returns the approximate number of bytes that the job takes in memory.
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(Step::memory_bytes).sum::<usize>();
        size_of::<Self>() + self.payload.len() + steps
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns when `occurrence` is due, milliseconds since 1970; `None` when it is due at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule.map(|schedule| {
            schedule.start_ms.saturating_add(u64::from(occurrence) * schedule.interval_ms)
        })
    }

    /// Returns the largest number of accelerators that one step uses at the same time.
    pub fn accelerators(&self) -> i64 {
        self.steps
            .iter()
            .map(|step| step.resources.accelerators * i64::from(step.count))
            .max()
            .unwrap_or(0)
    }

    /// Returns the estimated time of the critical path in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_of(|step| step.estimate_ms)
    }

    /// Returns the time in milliseconds of the critical path, which is the longest chain of
    /// dependent steps, if a step takes the time `length`.
    pub fn critical_path_of(&self, length: impl Fn(&Step) -> u64) -> u64 {
        let mut ends = vec![0_u64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().filter_map(|previous| ends.get(*previous)).max();
            let end = start.copied().unwrap_or(0) + length(step);
            if let Some(slot) = ends.get_mut(number) {
                *slot = end;
            }
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the time from acceptance within which the job should be done if its critical path
    /// takes `critical_path_ms`, in milliseconds.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        // Run times are far below 2^53 ms.
        (critical_path_ms as f64 * self.slack) as u64 + self.target_ms
    }

    /// Returns what identifies its route: the selector, or the name in rows of earlier builds.
    pub fn route_id(&self) -> &str {
        if self.selector.is_empty() { &self.route } else { &self.selector }
    }

    /// Reports whether the tasks of any step run until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

/// A route as a call names it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteKey {
    /// Name in the current tables; empty if it is not known, because an earlier build has forwarded
    /// the call.
    pub name: String,
    /// Host and path prefix; empty if an earlier build has forwarded the call.
    pub selector: String,
}

impl RouteKey {
    /// Reports whether the route stands where `job` was submitted, under whatever name. Names decide
    /// where an earlier build has left out the selector.
    pub fn selects(&self, job: &Job) -> bool {
        if self.selector.is_empty() || job.selector.is_empty() {
            return self.name == job.route;
        }
        self.selector == job.selector
    }
}

/// Who asks about a job, and on which route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobAccess {
    /// Whether callers of the route need no key.
    pub open: bool,
    /// The route.
    pub route: RouteKey,
    /// Name of the caller's team; empty for a caller without a valid key on an open route.
    pub team: String,
}

impl JobAccess {
    /// Reports whether the caller may see and cancel `job`: it asks where the job was submitted, and
    /// with a key of its team unless the route is open. A route that has moved to another host or path
    /// keeps its jobs by its name, but only for their team.
    pub fn allows(&self, job: &Job) -> bool {
        if self.route.name.is_empty() {
            return true;
        }
        let same_team = self.team == job.team;
        if self.route.selects(job) {
            return self.open || same_team;
        }
        self.route.name == job.route && same_team
    }
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted; no task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended as done.
    Completed,
    /// A task or a gang has failed as often as its route allows.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Returns the name of the state in messages and to callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the state with this name.
    pub fn named(name: &str) -> Option<Self> {
        let states = [Self::Queued, Self::Running, Self::Completed, Self::Failed, Self::Cancelled];
        states.into_iter().find(|state| state.name() == name)
    }

    /// Reports whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
