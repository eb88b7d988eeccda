use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{Start, TaskView, Usage, WorkerSettings};

/// What became of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It has done all its work.
    Finished,
    /// It failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
}

/// Why a call on a task was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// No task has the id.
    Unknown,
    /// A call with a higher epoch has been seen.
    Stale { seen: u64 },
}

/// The tasks of a worker without a network. Every call takes the time and first ends the tasks
/// that have finished or whose lease has lapsed by then.
#[derive(Debug)]
pub(super) struct Tasks {
    accelerators: u32,
    /// Highest epoch of a stop for a task that was not there.
    fences: BTreeMap<String, u64>,
    memory_percent: u64,
    most: u32,
    overlaps: u64,
    run_percent: u64,
    starts: u64,
    tasks: BTreeMap<String, Task>,
    usage: Option<(Instant, Vec<TaskView>)>,
}

#[derive(Debug)]
struct Task {
    accelerators: u32,
    checkpoint: Duration,
    epoch: u64,
    lease_end: Instant,
    memory: u64,
    progress: Duration,
    run: Duration,
    /// Highest epoch of any call on the task.
    seen: u64,
    /// Speed in percent.
    speed: u64,
    state: TaskState,
    /// Time up to which `progress` is counted.
    updated: Instant,
}

impl Tasks {
    pub(super) fn new(settings: &WorkerSettings) -> Self {
        Self {
            accelerators: settings.accelerators,
            fences: BTreeMap::new(),
            memory_percent: settings.memory_percent,
            most: 0,
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

    pub(super) fn most(&self) -> u32 {
        self.most
    }

    pub(super) fn starts(&self) -> u64 {
        self.starts
    }

    /// Starts a task. The same epoch again is answered without a second start; a higher one
    /// replaces the task. An epoch that was stopped before it arrived is refused.
    pub(super) fn start(
        &mut self,
        now: Instant,
        start: Start,
        fails: bool,
    ) -> Result<TaskView, Refusal> {
        self.advance(now);
        if let Some(task) = self.tasks.get(&start.id) {
            if start.epoch < task.seen {
                return Err(Refusal::Stale { seen: task.seen });
            }
            if start.epoch == task.epoch {
                return Ok(task.view(&start.id));
            }
        }
        if let Some(seen) = self.fences.get(&start.id).copied().filter(|seen| start.epoch <= *seen)
        {
            return Err(Refusal::Stale { seen });
        }
        let lease = Duration::from_millis(start.lease_ms);
        let resumed = Duration::from_millis(start.resume_ms);
        let task = Task {
            accelerators: start.accelerators,
            checkpoint: resumed,
            epoch: start.epoch,
            lease_end: now + lease,
            memory: start.memory * self.memory_percent / 100,
            progress: resumed,
            run: Duration::from_millis(start.run_ms * self.run_percent / 100),
            seen: start.epoch,
            speed: 100,
            state: if fails { TaskState::Failed } else { TaskState::Running },
            updated: now,
        };
        self.starts += 1;
        let view = task.view(&start.id);
        self.tasks.insert(start.id, task);
        let held = self.held();
        self.most = self.most.max(held);
        self.overlaps += u64::from(held > self.accelerators);
        Ok(view)
    }

    /// Extends the lease of a running task; a task that has ended stays as it is.
    pub(super) fn renew(
        &mut self,
        now: Instant,
        id: &str,
        epoch: u64,
        lease: Duration,
    ) -> Result<TaskView, Refusal> {
        let task = self.find(now, id, epoch)?;
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
        let task = self.find(now, id, epoch)?;
        task.speed = percent.min(100);
        Ok(task.view(id))
    }

    pub(super) fn stop(&mut self, now: Instant, id: &str, epoch: u64) -> Result<TaskView, Refusal> {
        if !self.tasks.contains_key(id) {
            let fence = self.fences.entry(id.to_owned()).or_default();
            *fence = epoch.max(*fence);
        }
        let task = self.find(now, id, epoch)?;
        if task.state == TaskState::Running {
            task.state = TaskState::Stopped;
        }
        Ok(task.view(id))
    }

    pub(super) fn view(&mut self, now: Instant, id: &str, epoch: u64) -> Result<TaskView, Refusal> {
        Ok(self.find(now, id, epoch)?.view(id))
    }

    /// Ends a checkpoint that saved `progress_ms`; it is void when the task ended meanwhile.
    pub(super) fn save(
        &mut self,
        now: Instant,
        id: &str,
        epoch: u64,
        progress_ms: u64,
    ) -> Result<TaskView, Refusal> {
        let task = self.find(now, id, epoch)?;
        if task.state == TaskState::Running && task.epoch == epoch {
            task.checkpoint = Duration::from_millis(progress_ms);
        }
        Ok(task.view(id))
    }

    pub(super) fn views(&mut self, now: Instant) -> Vec<TaskView> {
        self.advance(now);
        self.tasks.iter().map(|(id, task)| task.view(id)).collect()
    }

    /// Returns figures that are up to `lag` old.
    pub(super) fn usage(&mut self, now: Instant, lag: Duration) -> Usage {
        let fresh = self.usage.as_ref().is_some_and(|(taken, _)| now - *taken < lag);
        if !fresh {
            self.usage = Some((now, self.views(now)));
        }
        let Some((taken, tasks)) = &self.usage else { return Usage::default() };
        Usage { age_ms: (now - *taken).as_millis() as u64, tasks: tasks.clone() }
    }

    fn find(&mut self, now: Instant, id: &str, epoch: u64) -> Result<&mut Task, Refusal> {
        self.advance(now);
        let task = self.tasks.get_mut(id).ok_or(Refusal::Unknown)?;
        if epoch < task.seen {
            return Err(Refusal::Stale { seen: task.seen });
        }
        task.seen = epoch;
        Ok(task)
    }

    fn advance(&mut self, now: Instant) {
        for task in self.tasks.values_mut() {
            task.advance(now);
        }
    }

    fn held(&self) -> u32 {
        self.tasks.values().map(Task::held).sum()
    }
}

impl Task {
    fn advance(&mut self, now: Instant) {
        if self.state != TaskState::Running {
            return;
        }
        let until = now.min(self.lease_end);
        let elapsed = until.saturating_duration_since(self.updated);
        self.progress += elapsed * self.speed as u32 / 100;
        self.updated = until.max(self.updated);
        if self.progress >= self.run {
            self.progress = self.run;
            self.state = TaskState::Finished;
        } else if now >= self.lease_end {
            self.state = TaskState::Lapsed;
        }
    }

    fn held(&self) -> u32 {
        if self.state == TaskState::Running { self.accelerators } else { 0 }
    }

    fn view(&self, id: &str) -> TaskView {
        let running = self.state == TaskState::Running;
        TaskView {
            id: id.to_owned(),
            epoch: self.epoch,
            state: self.state,
            accelerators: self.held(),
            memory: if running { self.memory } else { 0 },
            progress_ms: self.progress.as_millis() as u64,
            checkpoint_ms: self.checkpoint.as_millis() as u64,
        }
    }
}
