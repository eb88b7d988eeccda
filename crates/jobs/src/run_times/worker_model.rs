use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{NOISE_VARIANCE, Normal};

/// Prior variance of the logarithm of a worker's slowness: workers that are slower by a factor of
/// 1.6 deviate by one standard deviation.
const PRIOR_VARIANCE: f64 = 0.45 * 0.45;

/// Growth of the variance in a second. In a minute without runs the standard deviation of a
/// worker that is known exactly grows to 0.15, so that a change is followed within minutes.
const DRIFT: f64 = 0.0225 / 60.0;

/// Number of standard deviations beyond which an observation counts no more.
const MAX_DEVIATIONS: f64 = 2.5;

/// Below this standard deviation the slowness of a worker counts as known: one run beside others of
/// its step suffices.
const KNOWN_DEVIATION: f64 = 0.3;

/// Difference from the usual speed that placement takes into account.
const MIN_DIFFERENCE: f64 = 0.2;

impl Normal {
    /// Returns the slowness of a worker about which nothing is known.
    pub fn unknown_slowness() -> Self {
        Self { mean: 0.0, variance: PRIOR_VARIANCE }
    }

    /// Reports whether the slowness of a worker is known well enough that it needs no exploration.
    pub fn is_known_slowness(&self) -> bool {
        self.variance < KNOWN_DEVIATION * KNOWN_DEVIATION
    }

    /// Reports whether the worker is slower than usual beyond doubt.
    pub fn is_slow(&self) -> bool {
        self.mean - 2.0 * self.deviation() > MIN_DIFFERENCE
    }
}

/// Slowness of one worker, at the time of its last observation.
#[derive(Clone, Debug)]
pub(super) struct WorkerModel {
    /// Observations of runs that still go on, by run. A later one of the same run replaces it.
    provisional: BTreeMap<String, Normal>,
    /// Slowness without the provisional observations.
    slowness: Normal,
    updated_at: Instant,
}

impl WorkerModel {
    pub(super) fn new(now: Instant) -> Self {
        let slowness = Normal::unknown_slowness();
        Self { provisional: BTreeMap::new(), slowness, updated_at: now }
    }

    /// Returns a worker with a slowness that an earlier leader has learned.
    pub(super) fn with_slowness(slowness: Normal, now: Instant) -> Self {
        Self { slowness, ..Self::new(now) }
    }

    pub(super) fn slowness_at(&self, now: Instant) -> Normal {
        self.slowness_without(None, now)
    }

    /// Returns the slowness without the provisional observation of one run.
    pub(super) fn slowness_without(&self, run: Option<&str>, now: Instant) -> Normal {
        let others = self.provisional.iter().filter(|(id, _)| Some(id.as_str()) != run);
        others.fold(self.settled_at(now), |slowness, (_, other)| slowness.combined(other))
    }

    fn settled_at(&self, now: Instant) -> Normal {
        let age = now.saturating_duration_since(self.updated_at);
        widened(&self.slowness, DRIFT * age.as_secs_f64())
    }

    /// Observes the slowness in a run that still goes on.
    pub(super) fn observe_provisional(&mut self, run: &str, observation: &Normal, now: Instant) {
        let prior = self.slowness_without(Some(run), now);
        let limit = MAX_DEVIATIONS * (prior.variance + observation.variance).sqrt();
        let innovation = (observation.mean - prior.mean).clamp(-limit, limit);
        let clipped = Normal { mean: prior.mean + innovation, variance: observation.variance };
        self.provisional.insert(run.to_owned(), clipped);
    }

    /// Makes the provisional observation of a run that has ended final.
    pub(super) fn settle(&mut self, run: &str, now: Instant) {
        let Some(observation) = self.provisional.remove(run) else { return };
        self.slowness = self.settled_at(now).combined(&observation);
        self.updated_at = now;
    }

    /// Makes the provisional observations of all runs final.
    pub(super) fn settle_all(&mut self) {
        for (_, observation) in std::mem::take(&mut self.provisional) {
            self.slowness = self.slowness.combined(&observation);
        }
    }

    /// Observes a run with the logarithm `y` of its time, of a step with the given work.
    pub(super) fn observe(&mut self, y: f64, work: &Normal, now: Instant) {
        let slowness = self.settled_at(now);
        let variance = work.variance + NOISE_VARIANCE;
        let limit = MAX_DEVIATIONS * (slowness.variance + variance).sqrt();
        let innovation = (y - work.mean - slowness.mean).clamp(-limit, limit);
        let observation = Normal { mean: slowness.mean + innovation, variance };
        self.slowness = slowness.combined(&observation);
        self.updated_at = now;
    }

    /// Widens the distribution after a restart of the worker.
    pub(super) fn widen(&mut self) {
        self.slowness = widened(&self.slowness, PRIOR_VARIANCE / 2.0);
    }

    pub(super) fn is_older_than(&self, age: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.updated_at) > age
    }
}

fn widened(slowness: &Normal, variance: f64) -> Normal {
    Normal { mean: slowness.mean, variance: (slowness.variance + variance).min(PRIOR_VARIANCE) }
}
