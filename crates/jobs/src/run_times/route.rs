use std::time::Instant;

use super::Normal;
use super::estimates::RouteRuns;

/// Weight after which older runs lose weight. At the rates of the users' deployments a route sees
/// it within half a minute, so that a shift of the workload is followed in that time.
const MAX_WEIGHT: f64 = 32.0;

/// Variance of the logarithm of the work of a step before any run: callers' estimates are wrong by
/// a factor of about two.
pub(super) const PRIOR_VARIANCE: f64 = 0.36;

/// Weight of the prior variance, as a number of runs.
const PRIOR_WEIGHT: f64 = 2.0;

/// Lower limit of the variance: the steps of a route differ even if its last runs did not.
const MIN_VARIANCE: f64 = 0.04;

/// Prior variance of the difference between a team and the other teams of its route.
const TEAM_VARIANCE: f64 = 0.25;

/// Growth of the variance of a team's difference with each run.
const TEAM_DRIFT: f64 = 0.005;

/// Weighted sums over squared deviations.
#[derive(Clone, Copy, Debug, Default)]
struct Deviations {
    squares: f64,
    weight: f64,
}

impl Deviations {
    fn observe(&mut self, deviation: f64, weight: f64) {
        if self.weight >= MAX_WEIGHT {
            let keep = 1.0 - weight / MAX_WEIGHT;
            self.squares *= keep;
            self.weight *= keep;
        }
        self.squares += weight * deviation * deviation;
        self.weight += weight;
    }

    fn variance(&self) -> f64 {
        let sum = self.squares + PRIOR_WEIGHT * PRIOR_VARIANCE;
        (sum / (self.weight + PRIOR_WEIGHT)).max(MIN_VARIANCE)
    }
}

/// What the runs of one route tell about the work of its steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteModel {
    /// Runs with an estimate.
    estimated: RouteRuns,
    estimated_deviations: Deviations,
    /// Weight and sum of the logarithms of all run times, for steps without an estimate.
    all: (f64, f64),
    all_deviations: Deviations,
    /// Whether members of a gang have shown different progress.
    pub(super) members_differ: bool,
    pub(super) used_at: Instant,
}

impl RouteModel {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            estimated: RouteRuns::default(),
            estimated_deviations: Deviations::default(),
            all: (0.0, 0.0),
            all_deviations: Deviations::default(),
            members_differ: false,
            used_at: now,
        }
    }

    /// Returns the expected logarithm of the work; `None` if neither an estimate nor a run is known.
    pub(super) fn predict(&self, log_estimate: Option<f64>) -> Option<Normal> {
        if let Some(x) = log_estimate {
            let variance = self.estimated_deviations.variance();
            return Some(Normal { mean: self.estimated.predict(x), variance });
        }
        let (weight, sum) = self.all;
        let variance = self.all_deviations.variance();
        (weight > 0.0).then(|| Normal { mean: sum / weight, variance })
    }

    pub(super) fn observe(&mut self, log_estimate: Option<f64>, y: f64, weight: f64, now: Instant) {
        self.used_at = now;
        if let Some(mean) = self.predict(None) {
            self.all_deviations.observe(y - mean.mean, weight);
        }
        if self.all.0 >= MAX_WEIGHT {
            let keep = 1.0 - weight / MAX_WEIGHT;
            self.all = (self.all.0 * keep, self.all.1 * keep);
        }
        self.all = (self.all.0 + weight, self.all.1 + weight * y);
        if let Some(x) = log_estimate {
            self.estimated_deviations.observe(y - self.estimated.predict(x), weight);
            self.estimated.observe(x, y, weight, MAX_WEIGHT);
        }
    }
}

/// Difference of a team from the other teams of a route.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamModel {
    pub(super) difference: Normal,
    pub(super) used_at: Instant,
}

impl TeamModel {
    pub(super) fn new(now: Instant) -> Self {
        Self { difference: Normal { mean: 0.0, variance: TEAM_VARIANCE }, used_at: now }
    }

    /// Observes how far a run of the team deviates from the expectation for the route.
    pub(super) fn observe(&mut self, deviation: f64, variance: f64, weight: f64, now: Instant) {
        self.used_at = now;
        let prior = Normal {
            mean: self.difference.mean,
            variance: (self.difference.variance + weight * TEAM_DRIFT).min(TEAM_VARIANCE),
        };
        let observation = Normal { mean: deviation, variance: variance / weight };
        self.difference = prior.combined(&observation);
    }
}
