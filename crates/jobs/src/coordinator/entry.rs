use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::restarts::Restart;
use crate::progress::COMPLETE_PERCENT;
use crate::{
    CrashRecord, CrashRow, EndKind, Exposure, ExposureRow, Job, JobState, ProgressRow, Resources,
    RunTime, TaskId, TaskKey, TaskRow, WorkerRow,
};

/// A run that may be alive on a worker.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Address of the worker.
    pub address: String,
    /// Whether a start had no answer, so that the worker may have carried it out.
    pub attempted: bool,
    pub checkpoint: String,
    /// Whether the run began without a checkpoint, and under this coordinator.
    pub full_run: bool,
    pub incarnation: u64,
    /// Since when the run, or its gang if it is the first member, is expected to be late.
    pub late_since: Option<Instant>,
    /// When `percent` last rose.
    pub last_progress: Instant,
    /// Whether the worker has listed the run.
    pub listed: bool,
    /// When the worker first listed the run.
    pub listed_at: Option<Instant>,
    /// Whether the run is lost with an earlier incarnation of its worker. It ends once it is fenced
    /// in the present one, which may still carry out a late copy of its start.
    pub lost: bool,
    /// When the start was first ordered.
    pub ordered_at: Option<Instant>,
    /// Progress in percent.
    pub percent: u8,
    /// Whether its run time was counted.
    pub observed: bool,
    /// Number of points of progress at the last observation of its gang's speeds; 0 before the first.
    pub observed_points: u8,
    /// Permit of the placement policy.
    pub permit: String,
    pub placed_at: Instant,
    /// Since when the run works, and its progress in percent then; `None` until all members of its
    /// gang are listed.
    pub progress_start: Option<(Instant, u8)>,
    /// Progress in percent below 100 that was listed last, and when it was reached.
    pub sample: Option<(Instant, u8)>,
    /// Whether the run has survived its start.
    pub proven: bool,
    /// Whether an earlier coordinator placed the run.
    pub restored: bool,
    pub run: u32,
    /// Whether the run is ordered to stop.
    pub stopping: bool,
    /// Version of the job that must be durable before the start is ordered.
    pub version: u64,
    pub worker: String,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Worker on which the last run failed, and when; another one is preferred.
    pub avoided_worker: Option<(String, Instant)>,
    pub checkpoint: String,
    pub crash_record: CrashRecord,
    /// When a worker last crashed under the task.
    pub crashed_at: Option<Instant>,
    pub done: bool,
    pub exposure: Exposure,
    /// Number of the last run that was counted as failed. A gang thereby counts one failure per
    /// run.
    pub failed_run: u32,
    pub failures: u32,
    /// When a worker last crashed under a run, under this coordinator, and how many others were down
    /// then.
    pub last_loss: Option<(Instant, usize)>,
    pub placement: Option<Placement>,
    /// Why and where it starts again, if it is the first member of its gang or a single task.
    pub restart: Option<Restart>,
    /// Time of its last run, once it is known.
    pub run_time: Option<RunTime>,
    pub run: u32,
}

/// State of one job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub cancelled: bool,
    pub durable_version: u64,
    pub ended_at: Instant,
    pub ended_ms: Option<u64>,
    pub failed: bool,
    pub job: Job,
    pub started: bool,
    /// State in the last stored row.
    pub stored_state: JobState,
    /// Whether the row of the submission was part of a write.
    pub submission_written: bool,
    pub tasks: BTreeMap<TaskKey, TaskEntry>,
    pub version: u64,
}

impl JobEntry {
    pub fn new(job: Job, now: Instant) -> Self {
        let mut tasks = BTreeMap::new();
        for occurrence in 0..job.occurrences() {
            for (step, spec) in (0_u32..).zip(&job.steps) {
                for index in 0..spec.count {
                    tasks.insert(TaskKey { occurrence, step, index }, TaskEntry::default());
                }
            }
        }
        Self {
            cancelled: false,
            durable_version: 0,
            ended_at: now,
            ended_ms: None,
            failed: false,
            job,
            started: false,
            stored_state: JobState::Queued,
            submission_written: false,
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
        entry.submission_written = true;
        entry.version = 1;
        entry.durable_version = 1;
        for task_row in &row.tasks {
            let Some(task) = entry.tasks.get_mut(&task_row.key) else { continue };
            task.done = task_row.done;
            task.run = task_row.run;
            task.failures = task_row.failures;
            task.checkpoint = task_row.checkpoint.clone();
            let Some(worker) = task_row.worker.and_then(|index| row.workers.get(index)) else {
                continue;
            };
            task.placement = Some(Placement {
                address: worker.address.clone(),
                attempted: false,
                checkpoint: task_row.checkpoint.clone(),
                full_run: false,
                incarnation: worker.incarnation,
                last_progress: now,
                late_since: None,
                listed: false,
                listed_at: None,
                lost: false,
                ordered_at: None,
                observed: false,
                observed_points: 0,
                percent: 0,
                permit: String::new(),
                placed_at: now,
                progress_start: None,
                proven: false,
                restored: true,
                sample: None,
                run: task_row.run,
                stopping: row.cancelled || row.failed,
                version: 1,
                worker: worker.id.clone(),
            });
        }
        for (occurrence, step, run) in &row.failed_runs {
            let first = TaskKey { occurrence: *occurrence, step: *step, index: 0 };
            for member in entry.members(&first) {
                if let Some(task) = entry.tasks.get_mut(&member) {
                    task.failed_run = *run;
                }
            }
        }
        entry.stop_incomplete_gangs();
        for crash_row in &row.crashes {
            let Some(task) = entry.tasks.get_mut(&crash_row.key) else { continue };
            task.crash_record = crash_row.record;
            task.crashed_at = Some(now);
        }
        for exposure_row in &row.exposures {
            if let Some(task) = entry.tasks.get_mut(&exposure_row.key) {
                task.exposure = exposure_row.exposure;
            }
        }
        entry.stored_state = entry.state();
        entry
    }

    /// Orders the remaining runs of a gang to stop if other members have ended. Rows do not hold
    /// such orders, and a gang starts again only once all of its runs have ended.
    fn stop_incomplete_gangs(&mut self) {
        let is_missing =
            |(_, task): &(&TaskKey, &TaskEntry)| !task.done && task.placement.is_none();
        let missing: Vec<TaskKey> =
            self.tasks.iter().filter(is_missing).map(|(key, _)| *key).collect();
        for key in missing {
            for member in self.members(&key) {
                if let Some(placement) = self.placement_mut(&member) {
                    placement.stopping = true;
                }
            }
        }
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
        let suspects = self.tasks.iter().filter(|(_, task)| task.crash_record.is_suspect());
        let crashes = suspects.map(|(key, task)| CrashRow { key: *key, record: task.crash_record });
        let exposed = self.tasks.iter().filter(|(_, task)| !task.done && task.exposure.losses > 0);
        let exposures =
            exposed.map(|(key, task)| ExposureRow { exposure: task.exposure, key: *key });
        let failed_runs: BTreeSet<(u32, u32, u32)> = self
            .tasks
            .iter()
            .filter(|(key, task)| {
                let open = task.placement.as_ref();
                self.is_gang(key.step) && open.is_some_and(|open| open.run == task.failed_run)
            })
            .map(|(key, task)| (key.occurrence, key.step, task.failed_run))
            .collect();
        ProgressRow {
            cancelled: self.cancelled,
            crashes: crashes.collect(),
            ended_ms: self.ended_ms,
            exposures: exposures.collect(),
            failed: self.failed,
            failed_runs: failed_runs.into_iter().collect(),
            further: 0,
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

    /// Returns the state that callers may see. A final state is visible only once it is stored.
    pub fn visible_state(&self) -> JobState {
        if self.stored_state.is_final() {
            return self.stored_state;
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

    /// Returns the tasks that may have crashed a worker.
    pub fn suspects(&self) -> impl Iterator<Item = TaskId> {
        let suspects = self.tasks.iter().filter(|(_, task)| task.crash_record.is_suspect());
        suspects.map(|(key, _)| TaskId::new(&self.job.id, *key))
    }

    /// Returns the tasks of the gang of `key`, or only `key` if its step is not a gang.
    pub fn members(&self, key: &TaskKey) -> Vec<TaskKey> {
        if !self.is_gang(key.step) {
            return vec![*key];
        }
        let count = self.job.steps.get(key.step as usize).map_or(0, |step| step.count);
        (0..count).map(|index| TaskKey { index, ..*key }).collect()
    }

    /// Records that a worker has listed the run of `key` at `percent`. A gang works from the time at
    /// which all of its members are listed; until then none of them can make progress.
    pub fn record_listed(&mut self, key: &TaskKey, percent: u8, now: Instant) {
        let Some(placement) = self.placement_mut(key) else { return };
        if percent > placement.percent {
            placement.percent = percent;
            placement.last_progress = now;
            if percent < COMPLETE_PERCENT {
                placement.sample = Some((now, percent));
            }
        }
        if placement.listed {
            return;
        }
        placement.listed = true;
        placement.listed_at = Some(now);
        placement.last_progress = now;
        let members = self.members(key);
        let listed =
            |member: &TaskKey| self.placement(member).is_some_and(|placement| placement.listed);
        if !members.iter().all(listed) {
            return;
        }
        for member in &members {
            if let Some(placement) = self.placement_mut(member) {
                placement.last_progress = now;
                placement.progress_start = Some(match (placement.full_run, members.len()) {
                    (true, 1) => (placement.placed_at, 0),
                    (true, _) => (now, 0),
                    // It continued from a checkpoint, or an earlier coordinator started it.
                    (false, _) => (now, placement.percent),
                });
            }
        }
    }

    /// Records how a run ended; `None` means that it was lost with its worker.
    pub fn apply_end(
        &mut self,
        key: &TaskKey,
        run: u32,
        kind: Option<EndKind>,
        checkpoint: &str,
        worker: &str,
        now: Instant,
    ) {
        let members = self.members(key);
        let lasting = self.job.steps.get(key.step as usize).is_some_and(|step| step.lasting);
        match kind {
            Some(EndKind::Done) if !lasting => {
                // A gang ends together, so the end of one member applies to all.
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
            task.avoided_worker = Some((worker.to_owned(), now));
        }
        if kind != Some(EndKind::Done) && !checkpoint.is_empty() {
            // The checkpoint of any member is valid for its gang, and all members must use the same
            // one.
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
