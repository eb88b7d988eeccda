use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{StartCall, TaskView, Usage, WorkerSettings};

/// State of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task has completed its run time.
    Finished,
    /// The task failed at its start, because of [`super::WorkerFault::FailTasks`].
    Failed,
    /// The task was stopped by a call.
    Stopped,
    /// The lease of the task was not renewed in time.
    Lapsed,
}

/// Why a call on a task was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The worker has no task with this id.
    Unknown,
    /// The task has received a call with a higher epoch, or a stop with this or a higher epoch
    /// before its start.
    Stale { highest_epoch: u64 },
}

/// The tasks of a worker, independent of network and clock. Calls that read or change tasks are
/// given the current time and first end the tasks that have finished or whose lease has lapsed by
/// then.
#[derive(Debug)]
pub(super) struct Tasks {
    accelerators: u32,
    /// Highest epoch of the stop calls that arrived while no task had the id, by id.
    fences: BTreeMap<String, u64>,
    memory_percent: u64,
    most_accelerators: u32,
    overlaps: u64,
    run_percent: u64,
    starts: u64,
    tasks: BTreeMap<String, Task>,
    usage: Option<(Instant, Vec<TaskView>)>,
}

#[derive(Debug)]
struct Task {
    accelerators: u32,
    checkpoint_progress: Duration,
    epoch: u64,
    lease_end: Instant,
    memory: u64,
    progress: Duration,
    run_time: Duration,
    /// Highest epoch of all calls on the task.
    seen_epoch: u64,
    /// Speed at which the task progresses, in percent of its full speed; set by `throttle`.
    speed_percent: u64,
    state: TaskState,
    /// Time up to which `progress` has been computed.
    updated_at: Instant,
}

impl Tasks {
    pub(super) fn new(settings: &WorkerSettings) -> Self {
        Self {
            accelerators: settings.accelerators,
            fences: BTreeMap::new(),
            memory_percent: settings.memory_percent,
            most_accelerators: 0,
            overlaps: 0,
            run_percent: settings.run_percent,
            starts: 0,
            tasks: BTreeMap::new(),
            usage: None,
        }
    }

    pub(super) fn overlaps(&self) -> u64 {
        self.overlaps
    }

    pub(super) fn most_accelerators(&self) -> u32 {
        self.most_accelerators
    }

    pub(super) fn starts(&self) -> u64 {
        self.starts
    }

    /// Starts a task. A repeated start with the same epoch returns the task and starts nothing; a
    /// start with a higher epoch replaces the task. A start whose epoch was stopped before the
    /// start arrived is refused.
    pub(super) fn start(
        &mut self,
        now: Instant,
        start: StartCall,
        fails: bool,
    ) -> Result<TaskView, Refusal> {
        self.advance(now);
        if let Some(task) = self.tasks.get(&start.id) {
            if start.epoch < task.seen_epoch {
                return Err(Refusal::Stale { highest_epoch: task.seen_epoch });
            }
            if start.epoch == task.epoch {
                return Ok(task.view(&start.id));
            }
        }
        if let Some(highest_epoch) = self
            .fences
            .get(&start.id)
            .copied()
            .filter(|stopped_epoch| start.epoch <= *stopped_epoch)
        {
            return Err(Refusal::Stale { highest_epoch });
        }
        let lease = Duration::from_millis(start.lease_ms);
        let resume_progress = Duration::from_millis(start.resume_ms);
        let task = Task {
            accelerators: start.accelerators,
            checkpoint_progress: resume_progress,
            epoch: start.epoch,
            lease_end: now + lease,
            memory: start.memory * self.memory_percent / 100,
            progress: resume_progress,
            run_time: Duration::from_millis(start.run_ms * self.run_percent / 100),
            seen_epoch: start.epoch,
            speed_percent: 100,
            state: if fails { TaskState::Failed } else { TaskState::Running },
            updated_at: now,
        };
        self.starts += 1;
        let view = task.view(&start.id);
        self.tasks.insert(start.id, task);
        let used_accelerators = self.used_accelerators();
        self.most_accelerators = self.most_accelerators.max(used_accelerators);
        self.overlaps += u64::from(used_accelerators > self.accelerators);
        Ok(view)
    }

    /// Extends the lease of a running task; a task that has ended stays ended.
    pub(super) fn renew(
        &mut self,
        now: Instant,
        id: &str,
        epoch: u64,
        lease: Duration,
    ) -> Result<TaskView, Refusal> {
        let task = self.accept_call(now, id, epoch)?;
        task.lease_end = now + lease;
        Ok(task.view(id))
    }

    pub(super) fn throttle(
        &mut self,
        now: Instant,
        id: &str,
        epoch: u64,
        percent: u64,
    ) -> Result<TaskView, Refusal> {
        let task = self.accept_call(now, id, epoch)?;
        task.speed_percent = percent.min(100);
        Ok(task.view(id))
    }

    pub(super) fn stop(&mut self, now: Instant, id: &str, epoch: u64) -> Result<TaskView, Refusal> {
        if !self.tasks.contains_key(id) {
            let stopped_epoch = self.fences.entry(id.to_owned()).or_default();
            *stopped_epoch = epoch.max(*stopped_epoch);
        }
        let task = self.accept_call(now, id, epoch)?;
        if task.state == TaskState::Running {
            task.state = TaskState::Stopped;
        }
        Ok(task.view(id))
    }

    pub(super) fn view(&mut self, now: Instant, id: &str, epoch: u64) -> Result<TaskView, Refusal> {
        Ok(self.accept_call(now, id, epoch)?.view(id))
    }

    /// Records a checkpoint that saved `progress_ms`. The checkpoint is discarded when the task has
    /// ended or has been replaced in the meantime.
    pub(super) fn finish_checkpoint(
        &mut self,
        now: Instant,
        id: &str,
        epoch: u64,
        progress_ms: u64,
    ) -> Result<TaskView, Refusal> {
        let task = self.accept_call(now, id, epoch)?;
        if task.state == TaskState::Running && task.epoch == epoch {
            task.checkpoint_progress = Duration::from_millis(progress_ms);
        }
        Ok(task.view(id))
    }

    pub(super) fn views(&mut self, now: Instant) -> Vec<TaskView> {
        self.advance(now);
        self.tasks.iter().map(|(id, task)| task.view(id)).collect()
    }

    /// Returns the usage of all tasks, which is cached and less than `lag` old.
    pub(super) fn usage(&mut self, now: Instant, lag: Duration) -> Usage {
        let fresh = self.usage.as_ref().is_some_and(|(taken_at, _)| now - *taken_at < lag);
        if !fresh {
            self.usage = Some((now, self.views(now)));
        }
        let Some((taken_at, tasks)) = &self.usage else { return Usage::default() };
        Usage { age_ms: (now - *taken_at).as_millis() as u64, tasks: tasks.clone() }
    }

    /// Returns the task and records the epoch of the call; refuses an epoch lower than the highest
    /// one that the task has received.
    fn accept_call(&mut self, now: Instant, id: &str, epoch: u64) -> Result<&mut Task, Refusal> {
        self.advance(now);
        let task = self.tasks.get_mut(id).ok_or(Refusal::Unknown)?;
        if epoch < task.seen_epoch {
            return Err(Refusal::Stale { highest_epoch: task.seen_epoch });
        }
        task.seen_epoch = epoch;
        Ok(task)
    }

    fn advance(&mut self, now: Instant) {
        for task in self.tasks.values_mut() {
            task.advance(now);
        }
    }

    fn used_accelerators(&self) -> u32 {
        self.tasks.values().map(Task::used_accelerators).sum()
    }
}

impl Task {
    fn advance(&mut self, now: Instant) {
        if self.state != TaskState::Running {
            return;
        }
        let until = now.min(self.lease_end);
        let elapsed = until.saturating_duration_since(self.updated_at);
        self.progress += elapsed * self.speed_percent as u32 / 100;
        self.updated_at = until.max(self.updated_at);
        if self.progress >= self.run_time {
            self.progress = self.run_time;
            self.state = TaskState::Finished;
        } else if now >= self.lease_end {
            self.state = TaskState::Lapsed;
        }
    }

    fn used_accelerators(&self) -> u32 {
        if self.state == TaskState::Running { self.accelerators } else { 0 }
    }

    fn view(&self, id: &str) -> TaskView {
        let running = self.state == TaskState::Running;
        TaskView {
            id: id.to_owned(),
            epoch: self.epoch,
            state: self.state,
            accelerators: self.used_accelerators(),
            memory: if running { self.memory } else { 0 },
            progress_ms: self.progress.as_millis() as u64,
            checkpoint_ms: self.checkpoint_progress.as_millis() as u64,
        }
    }
}
