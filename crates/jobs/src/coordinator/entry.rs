use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::{EndKind, Job, JobState, ProgressRow, Resources, TaskId, TaskKey, TaskRow, WorkerRow};

/// A run that may be alive.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Address of the worker.
    pub address: String,
    pub checkpoint: String,
    pub incarnation: u64,
    /// Progress in percent.
    pub percent: u8,
    /// Permit of the placement policy.
    pub permit: String,
    /// When `percent` last rose.
    pub progressed: Instant,
    pub run: u32,
    /// Whether the worker has listed the run.
    pub seen: bool,
    pub since: Instant,
    /// Whether the run is ordered to stop.
    pub stop: bool,
    /// Version of the job that must be durable before the start is ordered.
    pub version: u64,
    /// Whether the run began without a checkpoint, and here.
    pub whole: bool,
    pub worker: String,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Worker on which the last run failed.
    pub avoid: String,
    pub checkpoint: String,
    pub done: bool,
    /// Number of the last run that counted as a failure, so that a gang counts one a run.
    pub failed_run: u32,
    pub failures: u32,
    pub placement: Option<Placement>,
    pub run: u32,
}

/// State of one job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub cancelled: bool,
    pub durable: u64,
    pub ended_at: Instant,
    pub ended_ms: Option<u64>,
    pub failed: bool,
    pub job: Job,
    /// Whether the row of the submission is stored.
    pub kept: bool,
    pub shown: JobState,
    pub started: bool,
    pub tasks: BTreeMap<TaskKey, TaskEntry>,
    pub version: u64,
}

impl JobEntry {
    pub fn new(job: Job, now: Instant) -> Self {
        let mut tasks = BTreeMap::new();
        for occurrence in 0..job.occurrences() {
            for (step, content) in (0_u32..).zip(&job.steps) {
                for index in 0..content.count {
                    tasks.insert(TaskKey { occurrence, step, index }, TaskEntry::default());
                }
            }
        }
        Self {
            cancelled: false,
            durable: 0,
            ended_at: now,
            ended_ms: None,
            failed: false,
            job,
            kept: false,
            shown: JobState::Queued,
            started: false,
            tasks,
            version: 0,
        }
    }

    pub fn restore(job: Job, row: &ProgressRow, now: Instant) -> Self {
        let mut entry = Self::new(job, now);
        entry.cancelled = row.cancelled;
        entry.failed = row.failed;
        entry.started = row.started;
        entry.ended_ms = row.ended_ms;
        entry.kept = true;
        entry.version = 1;
        entry.durable = 1;
        for saved in &row.tasks {
            let Some(task) = entry.tasks.get_mut(&saved.key) else { continue };
            task.done = saved.done;
            task.run = saved.run;
            task.failures = saved.failures;
            task.checkpoint = saved.checkpoint.clone();
            let Some(worker) = saved.worker.and_then(|index| row.workers.get(index)) else {
                continue;
            };
            task.placement = Some(Placement {
                address: worker.address.clone(),
                checkpoint: saved.checkpoint.clone(),
                incarnation: worker.incarnation,
                percent: 0,
                permit: String::new(),
                progressed: now,
                run: saved.run,
                seen: false,
                since: now,
                stop: row.cancelled || row.failed,
                version: 1,
                whole: false,
                worker: worker.id.clone(),
            });
        }
        entry.shown = entry.state();
        entry
    }

    pub fn row(&self) -> ProgressRow {
        let workers: BTreeSet<WorkerRow> =
            self.placements().map(|(_, placement)| worker_row(placement)).collect();
        let workers: Vec<WorkerRow> = workers.into_iter().collect();
        let tasks = self.tasks.iter().filter(|(_, task)| task.run > 0);
        let tasks = tasks.map(|(key, task)| {
            let worker = task.placement.as_ref().map(worker_row);
            TaskRow {
                checkpoint: if task.done { String::new() } else { task.checkpoint.clone() },
                done: task.done,
                failures: task.failures,
                key: *key,
                run: task.run,
                worker: worker.and_then(|row| workers.binary_search(&row).ok()),
            }
        });
        ProgressRow {
            cancelled: self.cancelled,
            ended_ms: self.ended_ms,
            failed: self.failed,
            started: self.started,
            tasks: tasks.collect(),
            workers: workers.clone(),
        }
    }

    pub fn state(&self) -> JobState {
        if self.cancelled {
            return JobState::Cancelled;
        }
        if !self.tasks.is_empty() && self.tasks.values().all(|task| task.done) {
            return JobState::Completed;
        }
        if self.failed {
            return JobState::Failed;
        }
        if self.started { JobState::Running } else { JobState::Queued }
    }

    /// Returns the state that callers may see: a final one only once it is stored.
    pub fn visible_state(&self) -> JobState {
        if self.shown.is_final() {
            return self.shown;
        }
        if self.started { JobState::Running } else { JobState::Queued }
    }

    pub fn is_final(&self) -> bool {
        self.state().is_final()
    }

    pub fn is_ended(&self) -> bool {
        self.ended_ms.is_some()
    }

    pub fn resources(&self, step: u32) -> Resources {
        let Some(step) = self.job.steps.get(step as usize) else { return Resources::default() };
        let mut resources = step.resources;
        if step.fills {
            resources.cores = 0;
        }
        resources
    }

    pub fn is_gang(&self, step: u32) -> bool {
        self.job.steps.get(step as usize).is_some_and(|step| step.gang)
    }

    pub fn placement(&self, key: &TaskKey) -> Option<&Placement> {
        self.tasks.get(key)?.placement.as_ref()
    }

    pub fn placement_mut(&mut self, key: &TaskKey) -> Option<&mut Placement> {
        self.tasks.get_mut(key)?.placement.as_mut()
    }

    pub fn take_placement(&mut self, key: &TaskKey) -> Option<Placement> {
        self.tasks.get_mut(key)?.placement.take()
    }

    /// Returns the runs that may be alive.
    pub fn placements(&self) -> impl Iterator<Item = (TaskId, &Placement)> {
        self.tasks.iter().filter_map(|(key, task)| {
            let placement = task.placement.as_ref()?;
            Some((TaskId::new(&self.job.id, *key), placement))
        })
    }

    /// Returns the tasks that run only together with `key`, itself included.
    pub fn members(&self, key: &TaskKey) -> Vec<TaskKey> {
        if !self.is_gang(key.step) {
            return vec![*key];
        }
        let count = self.job.steps.get(key.step as usize).map_or(0, |step| step.count);
        (0..count).map(|index| TaskKey { index, ..*key }).collect()
    }

    /// Takes in how a run ended; `None` when it was lost with its worker.
    pub fn apply_end(
        &mut self,
        key: &TaskKey,
        run: u32,
        kind: Option<EndKind>,
        checkpoint: &str,
        worker: &str,
    ) {
        let members = self.members(key);
        let lasting = self.job.steps.get(key.step as usize).is_some_and(|step| step.lasting);
        match kind {
            Some(EndKind::Done) if !lasting => {
                // A gang ends together; the end of one member stands for all.
                for member in &members {
                    if let Some(task) = self.tasks.get_mut(member) {
                        task.done = true;
                    }
                }
            }
            Some(EndKind::Failed) if !lasting => self.count_failure(&members, run),
            _ => {}
        }
        if kind == Some(EndKind::Failed)
            && let Some(task) = self.tasks.get_mut(key)
        {
            task.avoid = worker.to_owned();
        }
        if kind != Some(EndKind::Done) && !checkpoint.is_empty() {
            // The checkpoint of any member is valid for its gang, and all must carry the same.
            for member in &members {
                if let Some(task) = self.tasks.get_mut(member) {
                    task.checkpoint = checkpoint.to_owned();
                }
            }
        }
        if kind.is_some() {
            self.started = true;
        }
    }

    fn count_failure(&mut self, members: &[TaskKey], run: u32) {
        for member in members {
            let Some(task) = self.tasks.get_mut(member) else { continue };
            if task.failed_run >= run {
                continue;
            }
            task.failed_run = run;
            task.failures += 1;
            if task.failures >= self.job.attempts {
                self.failed = true;
            }
        }
    }
}

fn worker_row(placement: &Placement) -> WorkerRow {
    WorkerRow {
        id: placement.worker.clone(),
        incarnation: placement.incarnation,
        address: placement.address.clone(),
    }
}
