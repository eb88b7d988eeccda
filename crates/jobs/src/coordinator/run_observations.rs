use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::{JobEntry, Placement};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::progress::COMPLETE_PERCENT;
use crate::{EndKind, Job, RunTime, Step, StepKind, TaskId, TaskKey};

/// Progress in percent from which the time of a run follows from its speed. Reports are up to a
/// second apart, which is a small part of the time that a run takes for this much.
const MIN_PERCENT: u8 = 20;

/// Maximum number of runs of one step that a run is compared with. More change the result little.
const MAX_COMPARED: usize = 64;

/// Logarithmic difference between the members of a gang from which each of them shows its own
/// progress. Below it, they advance together, and the slowest determines the speed.
const MIN_DIFFERENCE: f64 = 0.05;

/// Returns what the model of run times knows a step by.
pub(super) fn step_kind<'a>(job: &'a Job, step: &Step) -> StepKind<'a> {
    StepKind { estimate_ms: step.estimate_ms, route: job.route_id(), team: &job.team }
}

/// Returns the time of a run in milliseconds, as it follows from its progress, or from its end now if
/// it is done.
fn run_time_ms(now: Timestamp, run: &Placement, done: bool) -> Option<f64> {
    let started = if run.full_run { Some((run.placed_at, 0)) } else { None };
    let (since, start) = run.progress_start.or(started)?;
    let (until, percent) = if done {
        (now.monotonic, f64::from(COMPLETE_PERCENT))
    } else {
        // The listed percentage is rounded down.
        let (at, percent) = run.sample?;
        (at, f64::from(percent) + 0.5)
    };
    let points = percent - f64::from(start);
    let elapsed = until.saturating_duration_since(since);
    if points < f64::from(MIN_PERCENT) || elapsed.is_zero() {
        return None;
    }
    Some(elapsed.as_secs_f64() * 1000.0 * f64::from(COMPLETE_PERCENT) / points)
}

impl Coordinator {
    /// Returns the expected run time of a step on a worker.
    pub(super) fn expected_run_time(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        step: u32,
        worker: &str,
    ) -> Duration {
        let Some(step) = entry.job.steps.get(step as usize) else { return Duration::ZERO };
        let usual = Duration::from_millis(self.run_times.median_ms(&step_kind(&entry.job, step)));
        if !self.run_times.is_used() {
            return usual;
        }
        let slowness = self.run_times.slowness(worker, now.monotonic);
        // Of a worker that is hardly known, the mean is near the usual speed.
        usual.mul_f64(slowness.mean.exp())
    }

    /// Returns the median of the expected run time of a unit's tasks on a usual worker.
    pub(super) fn expected_ms(&self, unit: &Unit) -> u64 {
        let entry = self.jobs.get(&unit.job);
        let step = unit.keys.first().zip(entry).and_then(|(key, entry)| {
            let step = entry.job.steps.get(key.step as usize)?;
            Some(step_kind(&entry.job, step))
        });
        step.map_or(0, |kind| self.run_times.median_ms(&kind))
    }

    /// Learns from a run that ends now. Each run counts once, also if it is stopped or lost, so that
    /// short and long runs count alike. Runs that failed do not count.
    pub(super) fn observe_end(&mut self, now: Timestamp, task: &TaskId, kind: Option<EndKind>) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.job.steps.get(task.key.step as usize) else { return };
        let Some(placement) = entry.placement(&task.key) else { return };
        let counts = !step.lasting && !step.fills && kind != Some(EndKind::Failed);
        if !counts || placement.observed || placement.lost {
            return;
        }
        let done = kind == Some(EndKind::Done);
        if step.gang {
            self.observe_gang(now, task, done);
        } else {
            self.observe_single(now, task, done);
        }
    }

    /// Reports whether runs of a step are slow because of where they are.
    fn is_far(&self, step: &Step, workers: &[&str]) -> bool {
        let rack = |id: &&str| Some(self.fleet.workers.get(*id)?.status.rack.as_str());
        let racks: BTreeSet<Option<&str>> = workers.iter().map(rack).collect();
        let far = |near: &String| racks.iter().any(|rack| *rack != Some(near));
        step.near_rack.as_ref().is_some_and(far) || (step.same_rack && racks.len() > 1)
    }

    fn run_time(&self, now: Timestamp, run: &Placement, time_ms: f64) -> RunTime {
        let slowness = self.run_times.slowness(&run.worker, now.monotonic);
        RunTime { log_ms: time_ms.ln(), slowness, worker: run.worker.clone() }
    }

    fn observe_single(&mut self, now: Timestamp, task: &TaskId, done: bool) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.job.steps.get(task.key.step as usize) else { return };
        let Some(placement) = entry.placement(&task.key) else { return };
        let Some(time) = run_time_ms(now, placement, done) else { return };
        if self.is_far(step, &[&placement.worker]) {
            return;
        }
        let run = self.run_time(now, placement, time);
        let siblings = (0..step.count).filter(|index| *index != task.key.index);
        let siblings = siblings.filter_map(|index| entry.tasks.get(&TaskKey { index, ..task.key }));
        let ended = siblings.clone().any(|sibling| sibling.run_time.is_some());
        let others = siblings.filter_map(|sibling| {
            let Some(other) = &sibling.placement else { return sibling.run_time.clone() };
            let time = run_time_ms(now, other, false)?;
            let near = !self.is_far(step, &[&other.worker]);
            near.then(|| self.run_time(now, other, time))
        });
        let others: Vec<RunTime> = others.take(MAX_COMPARED).collect();
        let kind = step_kind(&entry.job, step);
        let expected = self.run_times.expect(&kind);
        // All further runs of a step together weigh as much as the first one.
        let weight = if ended { 1.0 / f64::from(step.count) } else { 1.0 };
        self.run_times.observe_work(now.monotonic, &kind, run.log_ms - run.slowness.mean, weight);
        self.run_times.observe_speed(now.monotonic, &run, &others, expected.as_ref());
        let entry = self.jobs.get_mut(&task.job);
        if let Some(state) = entry.and_then(|entry| entry.tasks.get_mut(&task.key)) {
            state.run_time = Some(run);
            if let Some(placement) = &mut state.placement {
                placement.observed = true;
            }
        }
    }

    /// Learns from a gang that ends now. It ends with its slowest member: its run time counts for the
    /// step and for the member that is expected to be the slowest, unless each shows its own
    /// progress.
    fn observe_gang(&mut self, now: Timestamp, task: &TaskId, done: bool) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.job.steps.get(task.key.step as usize) else { return };
        let members = entry.members(&task.key);
        let placements: Vec<&Placement> =
            members.iter().filter_map(|key| entry.placement(key)).collect();
        let workers: Vec<&str> = placements.iter().map(|run| run.worker.as_str()).collect();
        if self.is_far(step, &workers) || placements.iter().any(|run| run.lost) {
            return;
        }
        let time = |run: &&Placement| Some(self.run_time(now, run, run_time_ms(now, run, false)?));
        let runs: Vec<RunTime> = placements.iter().filter_map(time).collect();
        let by_time = |a: &&RunTime, b: &&RunTime| a.log_ms.total_cmp(&b.log_ms);
        let range = runs.iter().max_by(by_time).zip(runs.iter().min_by(by_time));
        let longest = range
            .filter(|(longest, shortest)| longest.log_ms - shortest.log_ms > MIN_DIFFERENCE)
            .map(|(longest, _)| longest.worker.clone());
        let slowness = |worker: &str| self.run_times.slowness(worker, now.monotonic).mean;
        let slowest = longest.clone().or_else(|| {
            let slowest = workers.iter().max_by(|a, b| slowness(a).total_cmp(&slowness(b)));
            slowest.map(|worker| (*worker).to_owned())
        });
        let whole = placements.iter().find_map(|run| {
            let time = run_time_ms(now, run, done).filter(|_| done && run.progress_start.is_some());
            Some(time?.ln())
        });
        let kind = step_kind(&entry.job, step);
        let expected = self.run_times.expect(&kind);
        if let (Some(log_ms), Some(worker)) = (whole, slowest) {
            let usual = log_ms - slowness(&worker);
            self.run_times.observe_work(now.monotonic, &kind, usual, 1.0);
            if longest.is_none() {
                let slowness = self.run_times.slowness(&worker, now.monotonic);
                let run = RunTime { log_ms, slowness, worker };
                self.run_times.observe_speed(now.monotonic, &run, &[], expected.as_ref());
            }
        }
        if longest.is_some() {
            for run in &runs {
                self.run_times.observe_speed(now.monotonic, run, &runs, None);
            }
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        for key in members {
            if let Some(placement) = entry.placement_mut(&key) {
                placement.observed = true;
            }
        }
    }
}
