use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::{JobEntry, Placement};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::progress::COMPLETE_PERCENT;
use crate::{EndKind, Job, MemberSpeed, Normal, RunTime, Step, StepKind, TaskId, TaskKey};

/// Progress in percent from which the time of a run follows from its speed. Reports are up to a
/// second apart, which is a small part of the time that a run takes for this much.
const MIN_PERCENT: u8 = 20;

/// Maximum number of runs of one step that a run is compared with. More change the result little.
const MAX_COMPARED: usize = 64;

/// Shortest time after which the progress of a run tells its speed.
const MIN_MEASURED: Duration = Duration::from_millis(300);

/// Deviation of the logarithm of a measured speed up to which the members of a running gang are
/// observed. A worker that takes 1.6 times the usual time deviates by four times as much. With
/// [`TIMING_DEVIATION`] it is reached after 0.5 to 0.6 s and 6 points or more.
const MEASURED_DEVIATION: f64 = 0.11;

/// Deviation in percentage points of a listed percentage, which is rounded down to an integer.
const ROUNDING_DEVIATION: f64 = 0.3;

/// Deviation in seconds of the time at which a percentage was reached: reports are some 100 ms apart,
/// and are delayed by some 10 ms.
const TIMING_DEVIATION: f64 = 0.05;

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

/// Returns the points of progress that a run has shown, and in which time.
fn measured(run: &Placement) -> Option<(f64, Duration)> {
    let (since, start) = run.progress_start?;
    let (at, percent) = run.sample?;
    // The listed percentage is rounded down.
    let points = f64::from(percent) + 0.5 - f64::from(start);
    let elapsed = at.saturating_duration_since(since);
    (points > 0.5 && elapsed >= MIN_MEASURED).then_some((points, elapsed))
}

/// Returns the speed of a member of a gang, with the variance that rounding and the times of reports
/// leave.
fn member_speed(run: &Placement) -> Option<MemberSpeed> {
    let (points, elapsed) = measured(run)?;
    let whole = elapsed.as_secs_f64() * 1000.0 * f64::from(COMPLETE_PERCENT) / points;
    let rounding = ROUNDING_DEVIATION / points;
    let timing = TIMING_DEVIATION / elapsed.as_secs_f64();
    let log_ms = Normal { mean: whole.ln(), variance: rounding * rounding + timing * timing };
    Some(MemberSpeed { log_ms, worker: run.worker.clone() })
}

/// Identifies a run of a gang in the model of run times.
pub(super) fn gang_run(job: &str, key: &TaskKey, run: u32) -> String {
    format!("{job}/{}/{}/{run}", key.occurrence, key.step)
}

impl Coordinator {
    /// Returns the logarithm of the slowness of a worker; 0 is usual.
    pub fn worker_slowness(&self, worker: &str, now: Timestamp) -> Normal {
        self.run_times.slowness(worker, now.monotonic)
    }

    /// Returns the speeds of the members of a gang, or of a single task, if all of them run and have shown their speeds
    /// with enough accuracy.
    pub(super) fn gang_speeds(&self, entry: &JobEntry, key: &TaskKey) -> Option<Vec<MemberSpeed>> {
        let speed = |member: &TaskKey| {
            let run = entry.placement(member).filter(|run| !run.lost)?;
            member_speed(run).filter(|speed| speed.log_ms.deviation() <= MEASURED_DEVIATION)
        };
        entry.members(key).iter().map(speed).collect()
    }

    /// Learns from the members of a running gang, once the speeds of all of them are measured, and
    /// again when they have made twice as much progress.
    ///
    /// Load pattern: a deployment runs some ten jobs in its first seconds, and urgent ones miss their
    /// objective on slow workers before the first gangs have ended.
    pub(super) fn observe_running(&mut self, now: Timestamp, task: &TaskId) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.job.steps.get(task.key.step as usize) else { return };
        let Some(placement) = entry.placement(&task.key) else { return };
        let Some((points, _)) = measured(placement) else { return };
        let is_due = points >= 2.0 * f64::from(placement.observed_points);
        if !step.gang || step.count < 2 || step.lasting || step.fills || !is_due {
            return;
        }
        if placement.observed || placement.stopping {
            return;
        }
        let Some(speeds) = self.gang_speeds(entry, &task.key) else { return };
        let workers: Vec<&str> = speeds.iter().map(|speed| speed.worker.as_str()).collect();
        if !self.is_far(step, &workers) {
            let kind = step_kind(&entry.job, step);
            let run = gang_run(&task.job, &task.key, placement.run);
            self.run_times.observe_members(now.monotonic, &kind, &run, &speeds);
        }
        let members = entry.members(&task.key);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        for member in members {
            if let Some(placement) = entry.placement_mut(&member)
                && let Some((points, _)) = measured(placement)
            {
                // At most 100 points.
                placement.observed_points = points as u8;
            }
        }
    }

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
        let done = kind == Some(EndKind::Done);
        if counts && !placement.observed && !placement.lost {
            if step.gang {
                self.observe_gang(now, task, done);
            } else {
                self.observe_single(now, task, done);
            }
        }
        self.settle_gang(now, task);
    }

    /// Makes the last observation of a gang that ends final.
    fn settle_gang(&mut self, now: Timestamp, task: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(number) = entry.placement(&task.key).map(|placement| placement.run) else {
            return;
        };
        let run = gang_run(&task.job, &task.key, number);
        for member in entry.members(&task.key) {
            let Some(placement) = entry.placement_mut(&member) else { continue };
            if placement.observed_points > 0 {
                placement.observed_points = 0;
                self.run_times.settle_run(now.monotonic, &run, &placement.worker);
            }
        }
    }

    /// Reports whether runs of a step are slow because of where they are.
    pub(super) fn is_far(&self, step: &Step, workers: &[&str]) -> bool {
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
        let Some(placement) = entry.placement(&task.key) else { return };
        let members = entry.members(&task.key);
        let placements: Vec<&Placement> =
            members.iter().filter_map(|key| entry.placement(key)).collect();
        let workers: Vec<&str> = placements.iter().map(|run| run.worker.as_str()).collect();
        if self.is_far(step, &workers) || placements.iter().any(|run| run.lost) {
            return;
        }
        let speeds = self.gang_speeds(entry, &task.key).unwrap_or_default();
        let by_time = |a: &&MemberSpeed, b: &&MemberSpeed| a.log_ms.mean.total_cmp(&b.log_ms.mean);
        let longest = speeds.iter().max_by(by_time).map(|speed| speed.worker.clone());
        let slowness = |worker: &str| self.run_times.slowness(worker, now.monotonic).mean;
        let slowest = longest.or_else(|| {
            let slowest = workers.iter().max_by(|a, b| slowness(a).total_cmp(&slowness(b)));
            slowest.map(|worker| (*worker).to_owned())
        });
        let whole = placements.iter().find_map(|run| {
            let time = run_time_ms(now, run, done).filter(|_| done && run.progress_start.is_some());
            Some(time?.ln())
        });
        let kind = step_kind(&entry.job, step);
        let expected = self.run_times.expect(&kind);
        let run = gang_run(&task.job, &task.key, placement.run);
        let by_member = !speeds.is_empty()
            && self.run_times.observe_members(now.monotonic, &kind, &run, &speeds);
        for speed in &speeds {
            self.run_times.settle_run(now.monotonic, &run, &speed.worker);
        }
        if let (Some(log_ms), Some(worker)) = (whole, slowest) {
            let slowness = self.run_times.slowness(&worker, now.monotonic);
            self.run_times.observe_work(now.monotonic, &kind, log_ms - slowness.mean, 1.0);
            if !by_member {
                let run = RunTime { log_ms, slowness, worker };
                self.run_times.observe_speed(now.monotonic, &run, &[], expected.as_ref());
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
