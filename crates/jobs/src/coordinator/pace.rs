use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::pool_view::PoolView;
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::{Demand, Normal, TaskKey};

/// Probability of missing the objective above which urgent work avoids a worker. A worker that
/// nothing is known about stays below it as long as 1.3 times the usual run time is left.
const MAX_LATE_PROBABILITY: f64 = 0.3;

/// Slowness that work must tolerate to count as work with slack, as a logarithm: twice the usual run
/// time, more than the slowest workers take.
const MIN_SLACK: f64 = 0.7;

/// Difference of logarithmic slowness below which workers count as equally fast. About as large as
/// the noise that is left after a few runs.
const PACE_STEP: f64 = 0.15;

/// Maximum number of tasks of one step on a worker that nothing is known about, while that holds for
/// most workers. Two runs tell the speed of the worker from the noise of a run.
const MAX_EXPLORING_TASKS: usize = 2;

/// Largest step whose tasks are spread for exploration. Each task looks at all others of its step, and
/// a larger step reaches many workers anyway.
const MAX_EXPLORING_STEP: u32 = 256;

/// Which use is made of the speeds of the workers of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct PaceUse {
    /// Whether the workers differ, so that placement takes their speeds into account.
    pub(super) differs: bool,
    /// Whether too little is known about most workers.
    pub(super) explores: bool,
}

impl PaceUse {
    /// Returns the use for a pool whose workers have these speeds.
    ///
    /// Load pattern: a third of the workers is slow, and nothing announces it. On pools of equal
    /// workers, placement is not to change.
    pub(super) fn new(slowness: &[Normal]) -> Self {
        let known = slowness.iter().filter(|slowness| slowness.is_known_slowness()).count();
        Self { differs: slowness.iter().any(Normal::is_slow), explores: known * 2 < slowness.len() }
    }
}

/// How much slowness of its workers a unit tolerates.
#[derive(Clone, Copy, Debug)]
struct Tolerance {
    /// Expected time that it takes on usual workers until its end.
    remaining: Duration,
    /// Time left until its objective; zero once it is missed.
    left: Duration,
    is_urgent: bool,
}

impl Tolerance {
    /// Returns the logarithm of the slowness with which the objective is met after a delay; `None`
    /// if no expectation is known.
    fn limit(&self, delay: Duration) -> Option<f64> {
        if self.remaining.is_zero() {
            return None;
        }
        let left = self.left.saturating_sub(delay).as_secs_f64();
        Some((left / self.remaining.as_secs_f64()).ln())
    }

    /// Reports whether the unit prefers fast workers.
    fn is_short(&self) -> bool {
        self.is_urgent || self.limit(Duration::ZERO).is_some_and(|limit| limit < MIN_SLACK)
    }
}

/// Returns a number of steps of [`PACE_STEP`].
fn pace(slowness: f64) -> i8 {
    // A cast from a float saturates.
    (slowness / PACE_STEP).round() as i8
}

impl Coordinator {
    fn tolerance(&self, unit: &Unit) -> Option<Tolerance> {
        let entry = self.jobs.get(&unit.job)?;
        let objective = entry.job.objective_ms(self.expected_critical_path(&entry.job));
        let waited = u64::try_from(unit.waited.as_millis()).unwrap_or(u64::MAX);
        // The latest start is the objective less the steps that are not done.
        let key = unit.keys.first()?;
        let accepted = entry.job.due_ms(key.occurrence).unwrap_or(entry.job.accepted_ms);
        let remaining = (accepted + objective).saturating_sub(unit.rank.start_ms);
        Some(Tolerance {
            remaining: Duration::from_millis(remaining),
            left: Duration::from_millis(objective.saturating_sub(waited)),
            is_urgent: unit.rank.class == 0,
        })
    }

    /// Sets how well the candidates suit the unit by their speed.
    ///
    /// Load pattern: urgent work misses its objective on slow workers, while bulk work with slack
    /// occupies the fast ones. Bulk work also goes to workers that nothing is known about, so that
    /// their speed becomes known without risk.
    pub(super) fn rate_candidates(&self, unit: &Unit, view: &mut PoolView) {
        if !view.pace_use.differs {
            return;
        }
        let Some(tolerance) = self.tolerance(unit) else { return };
        let (limit, is_short) = (tolerance.limit(Duration::ZERO), tolerance.is_short());
        for (candidate, slowness) in view.candidates.iter_mut().zip(&view.slowness) {
            let late = limit.map_or(0.0, |limit| slowness.probability_above(limit));
            // A probability, so that the number of tenths is at most 10.
            candidate.late = (late * 10.0).round() as u8;
            candidate.pace = if is_short {
                pace(slowness.mean)
            } else {
                pace(-(slowness.mean + slowness.deviation()))
            };
        }
    }

    /// Excludes workers on which urgent work is likely to miss its objective, if the tasks fit on
    /// the others: now, after ordered stops, or by stopping other work. Otherwise the fastest come
    /// first.
    pub(super) fn with_pace(
        &self,
        now: Timestamp,
        unit: &Unit,
        demand: &Demand,
        view: &mut PoolView,
        allowed: Vec<usize>,
        guaranteed: &BTreeSet<String>,
    ) -> Vec<usize> {
        if !view.pace_use.differs {
            return allowed;
        }
        let Some(tolerance) = self.tolerance(unit).filter(Tolerance::is_short) else {
            return allowed;
        };
        let in_time = |view: &PoolView, delay: Duration| -> Vec<usize> {
            let Some(limit) = tolerance.limit(delay) else { return allowed.clone() };
            let is_in_time = |index: &&usize| {
                view.slowness[**index].probability_above(limit) <= MAX_LATE_PROBABILITY
            };
            allowed.iter().filter(is_in_time).copied().collect()
        };
        let at_once = in_time(view, Duration::ZERO);
        if at_once.len() == allowed.len() {
            return allowed;
        }
        if self.fits(unit, demand, view, &at_once, false) {
            return at_once;
        }
        let after_stop = in_time(view, self.limits.stop);
        if self.fits(unit, demand, view, &after_stop, true)
            || self.can_preempt(now, unit, demand, view, &after_stop, guaranteed)
        {
            return after_stop;
        }
        allowed
    }

    /// Spreads the tasks of a bulk step over workers that nothing is known about: excludes those that
    /// run [`MAX_EXPLORING_TASKS`] of its tasks, if the tasks fit on the others.
    pub(super) fn with_exploration(
        &self,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &PoolView,
        allowed: Vec<usize>,
    ) -> Vec<usize> {
        let (true, Some(first)) = (view.pace_use.explores, unit.keys.first()) else {
            return allowed;
        };
        let Some(entry) = self.jobs.get(&unit.job).filter(|entry| entry.job.class > 1) else {
            return allowed;
        };
        let count = entry.job.steps.get(first.step as usize).map_or(0, |step| step.count);
        if keys.len() > 1 || !(2..=MAX_EXPLORING_STEP).contains(&count) {
            return allowed;
        }
        let from = TaskKey { index: 0, ..*first };
        let siblings = entry.tasks.range(from..=TaskKey { index: u32::MAX, ..*first });
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for placement in siblings.filter_map(|(_, task)| task.placement.as_ref()) {
            *counts.entry(&placement.worker).or_default() += 1;
        }
        let explored = |index: &usize| {
            let id = &*view.candidates[*index].id;
            view.slowness[*index].is_known_slowness()
                || counts.get(id).is_none_or(|count| *count < MAX_EXPLORING_TASKS)
        };
        let others: Vec<usize> = allowed.iter().copied().filter(explored).collect();
        if self.fits(unit, demand, view, &others, false) { others } else { allowed }
    }
}
