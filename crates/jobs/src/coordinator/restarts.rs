use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::entry::{JobEntry, Placement};
use super::pool_view::{PoolView, select_candidates};
use super::run_observations::{gang_run, step_kind};
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::order::Rank;
use crate::progress::COMPLETE_PERCENT;
use crate::{Demand, MemberSpeed, Normal, Step, TaskId, TaskKey, choose_workers, usual_work};

/// Time for the calls and reports of a stop and a new start beyond the longest stop, and for what is
/// measured late: two reports, some 100 ms apart, and two calls.
const CALLS: Duration = Duration::from_millis(250);

/// Shortest time between two findings that a run is late before it is stopped. The second one needs
/// newer progress, so that one late report stops nothing.
const CONFIRM_AFTER: Duration = Duration::from_millis(100);

/// Shortest time between two searches of a pool for faster workers. A search looks at all workers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Logarithmic difference from the usual speed, and from the fastest member of its gang, from which a
/// worker counts as slow. Four times the deviation of members on equal workers.
const MIN_SLOWNESS: f64 = 0.2;

/// Highest probability of missing the objective on one of the workers of a new start.
const MAX_WORKER_LATE: f64 = 0.5;

/// Lowest probability of meeting the objective after a restart. A late urgent job is worth a fifth or
/// less, wherever it runs.
const MIN_IN_TIME: f64 = 0.5;

/// Progress in percent from which a run stays: a restored run repeats up to a checkpoint interval.
const MAX_PERCENT: u8 = 80;

/// A restart that was decided, until the task or gang is placed again.
#[derive(Clone, Debug)]
pub struct Restart {
    /// Workers on which the runs were slow.
    slow: BTreeSet<String>,
    /// Workers that were chosen.
    workers: BTreeSet<String>,
}

/// What is known of a run that is expected to miss its objective.
struct LateRun {
    /// Time from now until the objective.
    left: Duration,
    /// Time from now until the expected end.
    remaining: Duration,
    /// Workers that keep it from meeting the objective.
    slow: BTreeSet<String>,
    /// Times of whole runs on the workers of the other members.
    sound: Vec<MemberSpeed>,
    /// Logarithm of the time in milliseconds of a whole run on a usual worker.
    work: f64,
}

impl Coordinator {
    /// Stops a run, with its gang, that is expected to miss its objective because of slow workers,
    /// and to meet it if it starts again on others.
    ///
    /// Load pattern: two thirds of the urgent gangs are late because one member is on a slow worker,
    /// while most of the pool is free.
    fn restart_if_late(&mut self, now: Timestamp, task: &TaskId) {
        let is_on = self.limits.restart_late && self.run_times.is_used();
        if !is_on || self.has_predecessor(now) {
            // An earlier leader may extend the leases of the run, and its stop may take longer.
            return;
        }
        let Some((entry, step)) = self.restartable(task) else { return };
        let Some(late) = self.late_run(now, entry, step, &task.key) else {
            self.set_late_since(task, None);
            return;
        };
        let Some(first) = entry.members(&task.key).first().copied() else { return };
        let Some(since) = entry.placement(&first).and_then(|run| run.late_since) else {
            self.set_late_since(task, Some(now.monotonic));
            return;
        };
        let is_confirmed = now.monotonic.saturating_duration_since(since) >= CONFIRM_AFTER
            && entry.members(&task.key).iter().filter_map(|key| entry.placement(key)).all(|run| {
                let newer = run.sample.is_some_and(|(at, _)| at > since);
                newer || !late.slow.contains(&run.worker)
            });
        let searched = self
            .searched_at
            .is_some_and(|at| now.monotonic.saturating_duration_since(at) < SEARCH_INTERVAL);
        if !is_confirmed || searched {
            return;
        }
        self.searched_at = Some(now.monotonic);
        let Some((workers, in_time, expected)) = self.new_start(now, task, &late) else { return };
        let reason = format!(
            "restarted: its end is expected in {} ms, after its objective in {} ms, because of {}; a new start is expected to end in {} ms, in time with probability {in_time:.2}, on {}",
            late.remaining.as_millis(),
            late.left.as_millis(),
            join(&late.slow),
            expected.as_millis(),
            join(&workers),
        );
        let restart = Restart { slow: late.slow, workers };
        let entry = self.jobs.get_mut(&task.job);
        if let Some(state) = entry.and_then(|entry| entry.tasks.get_mut(&first)) {
            state.restart = Some(restart);
        }
        self.stop_run(task, &reason);
    }

    /// Notes that an urgent run has made progress, so that it is checked at the next tick. A gang is
    /// checked once however many of its members have reported.
    pub(super) fn note_progress(&mut self, now: Timestamp, task: &TaskId) {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.job.class == 0) else {
            return;
        };
        let is_fresh = |run: &Placement| {
            run.run == 1 && !run.stopping && run.sample.is_some_and(|(at, _)| at == now.monotonic)
        };
        if entry.placement(&task.key).is_some_and(is_fresh) {
            let index = if entry.is_gang(task.key.step) { 0 } else { task.key.index };
            self.progressed.insert(TaskId::new(&task.job, TaskKey { index, ..task.key }));
        }
    }

    /// Restarts the runs that are expected to be late, among those that have made progress.
    pub(super) fn restart_late_runs(&mut self, now: Timestamp) {
        for task in std::mem::take(&mut self.progressed) {
            self.restart_if_late(now, &task);
        }
    }

    fn set_late_since(&mut self, task: &TaskId, since: Option<Instant>) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(first) = entry.members(&task.key).first().copied() else { return };
        if let Some(placement) = entry.placement_mut(&first) {
            placement.late_since = since;
        }
    }

    /// Returns the job and step of a run that may be restarted.
    ///
    /// Only first runs are: the number of a run is stored, so that a task is restarted at most once
    /// over takeovers too.
    fn restartable(&self, task: &TaskId) -> Option<(&JobEntry, &Step)> {
        let entry = self.jobs.get(&task.job)?;
        let step = entry.job.steps.get(task.key.step as usize)?;
        // The permits of an advised job may not hold for the workers of a new start.
        let is_urgent = entry.job.class == 0 && !entry.job.advised && !step.lasting && !step.fills;
        if !is_urgent || entry.is_final() || entry.failed {
            return None;
        }
        let may_stop = |key: &TaskKey| {
            let task = entry.tasks.get(key)?;
            let run = task.placement.as_ref()?;
            let is_first = run.run == 1 && !run.restored && task.restart.is_none();
            (is_first && run.listed && !run.stopping && !run.lost).then_some(run.worker.as_str())
        };
        let workers: Option<Vec<&str>> = entry.members(&task.key).iter().map(may_stop).collect();
        (!self.is_far(step, &workers?)).then_some((entry, step))
    }

    /// Returns what is known of a run that is expected to miss its objective because of slow workers
    /// beyond doubt; `None` for other runs.
    fn late_run(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        step: &Step,
        key: &TaskKey,
    ) -> Option<LateRun> {
        let members = entry.members(key);
        let runs: Vec<&Placement> =
            members.iter().map(|key| entry.placement(key)).collect::<Option<_>>()?;
        if runs.iter().map(|run| run.percent).min()? >= MAX_PERCENT {
            return None;
        }
        let speeds = self.gang_speeds(entry, key)?;
        let run = gang_run(&entry.job.id, key, runs.first()?.run);
        let slowness: Vec<Normal> = speeds
            .iter()
            .map(|speed| self.run_times.slowness_without(&speed.worker, &run, now.monotonic))
            .collect();
        let times: Vec<(Normal, Normal)> =
            speeds.iter().zip(&slowness).map(|(speed, slow)| (speed.log_ms, *slow)).collect();
        let expected = self.run_times.expect(&step_kind(&entry.job, step));
        let work = usual_work(&times, expected.as_ref())?;
        let left = self.time_left(now, entry, key, work)?;
        let fastest = speeds.iter().map(|speed| speed.log_ms.mean).min_by(f64::total_cmp)?;
        let mut late = LateRun {
            left,
            remaining: Duration::ZERO,
            slow: BTreeSet::new(),
            sound: Vec::new(),
            work,
        };
        let mut is_certain = false;
        for ((speed, slowness), run) in speeds.into_iter().zip(&slowness).zip(&runs) {
            let remaining = remaining(now, run, speed.log_ms.mean)?;
            late.remaining = late.remaining.max(remaining);
            if remaining <= left {
                late.sound.push(speed);
                continue;
            }
            let deviation = speed.log_ms.deviation();
            let at_best = remaining.mul_f64((-deviation).exp());
            // A single run is slow or has more work than expected. That its worker is slow must be
            // known from other runs; a gang shows it by its other members.
            let is_slow = if step.gang && members.len() > 1 {
                speed.log_ms.mean - fastest > MIN_SLOWNESS
            } else {
                slowness.mean - slowness.deviation() > MIN_SLOWNESS
            };
            let above_usual = speed.log_ms.mean - deviation - work > MIN_SLOWNESS;
            is_certain |= is_slow && above_usual && at_best > left;
            late.slow.insert(speed.worker);
        }
        late.sound.retain(|speed| !late.slow.contains(&speed.worker));
        is_certain.then_some(late)
    }

    /// Returns the time until the step must end for the job to meet its objective, if a whole run of
    /// the step takes `work` (a logarithm) on a usual worker; zero once that time has passed.
    fn time_left(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        key: &TaskKey,
        work: f64,
    ) -> Option<Duration> {
        // Run times are far below 2^53 ms.
        let whole = work.exp().round() as u64;
        let this = entry.job.steps.get(key.step as usize)?;
        let length = |step: &Step| {
            if std::ptr::eq(step, this) {
                return whole;
            }
            self.run_times.median_ms(&step_kind(&entry.job, step))
        };
        let path = entry.job.critical_path_of(length);
        let steps = &entry.job.steps;
        // Steps that depend on this one, directly or not, follow it. Each depends on earlier ones only.
        let mut follows = vec![false; steps.len()];
        for (index, step) in steps.iter().enumerate() {
            follows[index] = step.after.iter().any(|previous| {
                *previous == key.step as usize || follows.get(*previous) == Some(&true)
            });
        }
        let after = entry.job.critical_path_of(|step| {
            let index = steps.iter().position(|other| std::ptr::eq(other, step));
            if index.is_some_and(|index| follows[index]) { length(step) } else { 0 }
        });
        let accepted = entry.job.due_ms(key.occurrence).unwrap_or(entry.job.accepted_ms);
        let due = (accepted + entry.job.objective_ms(path)).saturating_sub(after);
        Some(Duration::from_millis(due.saturating_sub(now.wall_ms)))
    }

    /// Returns the workers for a new start, the probability that it ends in time, and the expected
    /// time from now until its end; `None` if it is not worth it.
    fn new_start(
        &self,
        now: Timestamp,
        task: &TaskId,
        late: &LateRun,
    ) -> Option<(BTreeSet<String>, f64, Duration)> {
        let entry = self.jobs.get(&task.job)?;
        let keys = entry.members(&task.key);
        let delay = self.limits.stop + CALLS;
        let left = late.left.checked_sub(delay).filter(|left| !left.is_zero())?;
        let share = self.share_to_repeat(entry, &task.key, late);
        let limit = (left.as_secs_f64() * 1000.0 / share).ln();
        let mut view = self.pool_view(&entry.job.pool, now);
        for candidate in &mut view.candidates {
            let own = keys.iter().filter_map(|key| entry.placement(key));
            let own = own.filter(|run| *run.worker == *candidate.id).count();
            // The members' own resources are free after the stop.
            for _ in 0..own {
                candidate.free.add(&entry.resources(task.key.step));
            }
        }
        let unit = self.units_of_run(entry, &keys, now);
        let (demand, allowed) = self.demand(now, &unit, &keys, &view)?;
        let mut times = Vec::new();
        for (candidate, slowness) in view.candidates.iter_mut().zip(&view.slowness) {
            let own = late.sound.iter().find(|speed| *speed.worker == *candidate.id);
            let time = own.map_or(
                Normal { mean: late.work + slowness.mean, variance: slowness.variance },
                |speed| speed.log_ms,
            );
            let probability = time.probability_above(limit);
            // A probability, so that the number of tenths is at most 10.
            candidate.late = (probability * 10.0).round() as u8;
            candidate.pace = (slowness.mean * 10.0).round() as i8;
            times.push((probability, time));
        }
        let allowed: Vec<usize> = allowed
            .into_iter()
            .filter(|index| {
                times[*index].0 <= MAX_WORKER_LATE
                    && !late.slow.contains(&*view.candidates[*index].id)
            })
            .collect();
        let chosen = choose_workers(&demand, &select_candidates(&view, &allowed, false))?;
        let chosen: BTreeSet<usize> = chosen.into_iter().map(|index| allowed[index]).collect();
        let ids: Vec<&str> = chosen.iter().map(|index| &*view.candidates[*index].id).collect();
        let step = entry.job.steps.get(task.key.step as usize)?;
        if self.is_far(step, &ids) {
            return None;
        }
        // Tasks on the same worker are late together.
        let in_time: f64 = chosen.iter().map(|index| 1.0 - times[*index].0).product();
        let slowest = chosen.iter().map(|index| times[*index].1.mean).max_by(f64::total_cmp)?;
        let expected = delay + Duration::from_secs_f64(slowest.exp() * share / 1000.0);
        let workers = chosen.iter().map(|index| view.candidates[*index].id.to_string()).collect();
        (in_time >= MIN_IN_TIME && expected <= late.left).then_some((workers, in_time, expected))
    }

    /// Returns the part of its work that a run repeats after a stop: all of it, or what follows the
    /// last checkpoint.
    fn share_to_repeat(&self, entry: &JobEntry, key: &TaskKey, late: &LateRun) -> f64 {
        let runs = entry.members(key);
        let runs = runs.iter().filter_map(|key| entry.placement(key));
        let saves = entry.job.steps.get(key.step as usize).is_some_and(|step| step.checkpoints);
        if !saves || !runs.clone().any(|run| !run.checkpoint.is_empty()) {
            return 1.0;
        }
        let percent = runs.map(|run| run.percent).min().unwrap_or(0);
        let interval = self.limits.checkpoint.as_secs_f64() * 1000.0 / late.work.exp();
        (1.0 - f64::from(percent) / f64::from(COMPLETE_PERCENT) + interval).min(1.0)
    }

    /// Returns the unit that the tasks of a run form once they wait again.
    fn units_of_run(&self, entry: &JobEntry, keys: &[TaskKey], now: Timestamp) -> Unit {
        let accepted = keys.first().and_then(|key| entry.job.due_ms(key.occurrence));
        let accepted = accepted.unwrap_or(entry.job.accepted_ms);
        Unit {
            job: entry.job.id.clone(),
            keys: keys.to_vec(),
            rank: Rank {
                tier: 1,
                class: entry.job.class,
                expired: false,
                over_share: false,
                start_ms: now.wall_ms,
            },
            waited: Duration::from_millis(now.wall_ms.saturating_sub(accepted)),
        }
    }

    /// Returns the workers for a restarted unit: those that were chosen, or all but those on which it
    /// was slow, if it fits there now.
    pub(super) fn workers_of_restart(
        &self,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &PoolView,
        allowed: &[usize],
    ) -> Option<Vec<usize>> {
        let task = self.jobs.get(&unit.job)?.tasks.get(keys.first()?)?;
        let restart = task.restart.as_ref()?;
        let among = |index: &&usize| restart.workers.contains(&*view.candidates[**index].id);
        let sound = |index: &&usize| !restart.slow.contains(&*view.candidates[**index].id);
        let chosen: Vec<usize> = allowed.iter().filter(among).copied().collect();
        let others: Vec<usize> = allowed.iter().filter(sound).copied().collect();
        [chosen, others].into_iter().find(|workers| {
            let candidates = select_candidates(view, workers, false);
            choose_workers(demand, &self.count_same_step(unit, demand, candidates)).is_some()
        })
    }
}

/// Returns the time from now until a run ends that takes `log_ms` (a logarithm) as a whole.
fn remaining(now: Timestamp, run: &Placement, log_ms: f64) -> Option<Duration> {
    let (at, percent) = run.sample?;
    let open = f64::from(COMPLETE_PERCENT) - f64::from(percent) - 0.5;
    let from_sample = Duration::from_secs_f64(log_ms.exp() / 1000.0 * open.max(0.0) / 100.0);
    Some(from_sample.saturating_sub(now.monotonic.saturating_duration_since(at)))
}

fn join(workers: &BTreeSet<String>) -> String {
    workers.iter().map(String::as_str).collect::<Vec<_>>().join(" ")
}
