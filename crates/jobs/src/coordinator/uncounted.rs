use std::collections::BTreeSet;
use std::time::Instant;

use super::entry::{JobEntry, Placement};
use super::wait_reason::WaitReason;
use super::{Coordinator, Timestamp};
use crate::{StepId, TaskId, TaskKey};

/// A step of an occurrence that could run, is not done, and of which planning counts no task as
/// waiting.
#[derive(Clone, Debug)]
pub(super) struct UncountedStep {
    /// The run that has been in the way for longest, with its number, and since when it is known to
    /// be; `None` if its order to stop, whose time is not kept, is in the way.
    pub(super) blocking: Option<(TaskKey, u32, Option<Instant>)>,
    counts: TaskCounts,
    pub(super) reason: WaitReason,
    pub(super) step: StepId,
}

/// Number of tasks of one step and occurrence by their state.
#[derive(Clone, Copy, Debug, Default)]
struct TaskCounts {
    done: u32,
    placed: u32,
    waiting: u32,
}

impl TaskCounts {
    fn new(entry: &JobEntry, occurrence: u32, step: u32, count: u32) -> Self {
        let mut counts = Self::default();
        let first = TaskKey { occurrence, step, index: 0 };
        for (_, task) in entry.tasks.range(first..TaskKey { index: count, ..first }) {
            match (task.done, &task.placement) {
                (true, _) => counts.done += 1,
                (false, Some(_)) => counts.placed += 1,
                (false, None) => counts.waiting += 1,
            }
        }
        counts
    }

    fn is_done(self) -> bool {
        self.placed == 0 && self.waiting == 0
    }
}

impl Coordinator {
    /// Returns the steps of a job that could run, without those in `counted`.
    pub(super) fn uncounted_steps(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        counted: &BTreeSet<(&str, u32, u32)>,
    ) -> Vec<UncountedStep> {
        let mut uncounted = Vec::new();
        if entry.is_final() || entry.is_ended() {
            return uncounted;
        }
        for occurrence in 0..entry.job.occurrences() {
            if entry.job.due_ms(occurrence).is_some_and(|due| due > now.wall_ms) {
                break;
            }
            let steps = (0_u32..).zip(&entry.job.steps);
            let counts: Vec<TaskCounts> = steps
                .map(|(step, spec)| TaskCounts::new(entry, occurrence, step, spec.count))
                .collect();
            let mut ready = 0;
            for (step, spec) in (0_u32..).zip(&entry.job.steps) {
                let is_done = |previous: &usize| counts.get(*previous).is_some_and(|c| c.is_done());
                let counts = counts[step as usize];
                if counts.is_done() || !spec.after.iter().all(is_done) {
                    continue;
                }
                ready += 1;
                if counted.contains(&(entry.job.id.as_str(), occurrence, step)) {
                    continue;
                }
                let key = TaskKey { occurrence, step, index: 0 };
                uncounted.extend(self.uncounted_step(entry, &key, counts));
            }
            let unready = counts.iter().position(|counts| !counts.is_done());
            if let (0, Some(step)) = (ready, unready) {
                let key = TaskKey { occurrence, step: u32::try_from(step).unwrap_or(0), index: 0 };
                uncounted.push(UncountedStep {
                    blocking: None,
                    counts: counts[step],
                    reason: WaitReason::Unready,
                    step: StepId::new(&entry.job.id, &key),
                });
            }
        }
        uncounted
    }

    fn uncounted_step(
        &self,
        entry: &JobEntry,
        first: &TaskKey,
        counts: TaskCounts,
    ) -> Option<UncountedStep> {
        let last = TaskKey { index: u32::MAX, ..*first };
        let runs = || {
            let tasks = entry.tasks.range(first..=&last);
            tasks.filter_map(|(key, task)| Some((key, task.placement.as_ref()?)))
        };
        let oldest = |runs: &mut dyn Iterator<Item = (&TaskKey, &Placement)>| {
            let oldest = runs.min_by_key(|(_, placement)| placement.placed_at);
            oldest.map(|(key, placement)| {
                let known = !placement.listed && !placement.stopping;
                (*key, placement.run, known.then_some(placement.placed_at))
            })
        };
        let idle = |run: &(&TaskKey, &Placement)| !run.1.listed || run.1.stopping || run.1.lost;
        let mut blocking = oldest(&mut runs().filter(idle));
        let reason = if counts.waiting == 0 {
            blocking?;
            WaitReason::Placed
        } else if entry.is_gang(first.step) && counts.placed + counts.done > 0 {
            blocking = blocking.or_else(|| oldest(&mut runs()));
            WaitReason::GangIncomplete
        } else {
            WaitReason::Unqueued
        };
        let step = StepId::new(&entry.job.id, first);
        Some(UncountedStep { blocking, counts, reason, step })
    }

    /// Describes a step of which no task is counted as waiting, with the run that is in the way and
    /// its worker.
    pub(super) fn describe_uncounted(&self, now: Timestamp, uncounted: &UncountedStep) -> String {
        let UncountedStep { reason, step, .. } = uncounted;
        let TaskCounts { done, placed, waiting } = uncounted.counts;
        let queued = self.waiting_jobs.contains(&step.job);
        let mut line = format!(
            "{reason}; tasks {waiting} without a run, {placed} placed, {done} done; job queued \
             {queued}"
        );
        let Some((key, ..)) = uncounted.blocking else { return line };
        if let Some(text) = self.describe_run(now, &TaskId::new(&step.job, key)) {
            line.push_str("; ");
            line.push_str(&text);
        }
        line
    }

    /// Describes a run that may be alive, and its worker.
    fn describe_run(&self, now: Timestamp, task: &TaskId) -> Option<String> {
        let entry = self.jobs.get(&task.job)?;
        let placement = entry.placement(&task.key)?;
        let Placement { attempted, listed, lost, run, stopping, worker: id, .. } = placement;
        let age = |at: Instant| now.monotonic.saturating_duration_since(at).as_millis();
        let run_text = format!(
            "run {run} of {task} on {id}: placed {} ms ago, listed {listed}, stopping {stopping}, \
             lost {lost}, attempted {attempted}, durable {}",
            age(placement.placed_at),
            entry.durable_version >= placement.version,
        );
        let Some(worker) = self.fleet.workers.get(id) else {
            return Some(format!("{run_text}; its worker is unknown"));
        };
        let closure = worker.closure(now.monotonic);
        let state = closure.map_or_else(|| "open".to_owned(), |closure| closure.to_string());
        Some(format!(
            "{run_text}; worker {state}, session {}, reached {}, last report {} ms ago, \
             incarnation {}, the run's {}, holds the run {}",
            worker.has_session,
            worker.is_reached,
            age(worker.last_report),
            worker.status.incarnation,
            placement.incarnation,
            worker.runs.contains_key(task),
        ))
    }
}
