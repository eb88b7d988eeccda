use std::collections::BTreeMap;
use std::time::Duration;

use super::MAX_CORRECTION;

/// Weight of the prior assumption that estimates are right on average, as a number of runs.
const MEAN_PRIOR_WEIGHT: f64 = 2.0;

/// Weight of the prior assumption that a run with twice the estimate takes twice as long, as a sum
/// of squared deviations of logarithms. It equals four runs whose estimates scatter by a factor of
/// 1.6.
const SLOPE_PRIOR_WEIGHT: f64 = 1.0;

/// Number of runs after which older ones lose weight, so that the estimates follow changes of the
/// workload.
const MAX_RUNS: f64 = 128.0;

/// Sums over the logarithms of estimated (x) and actual (y) run times of one route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteRuns {
    count: f64,
    x: f64,
    xx: f64,
    xy: f64,
    y: f64,
}

impl RouteRuns {
    /// Adds a run with a weight. From a total weight of `max_weight` on, older runs lose weight.
    pub(super) fn observe(&mut self, x: f64, y: f64, weight: f64, max_weight: f64) {
        if self.count >= max_weight {
            let keep = 1.0 - weight / max_weight;
            self.count *= keep;
            self.x *= keep;
            self.xx *= keep;
            self.xy *= keep;
            self.y *= keep;
        }
        self.count += weight;
        self.x += weight * x;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
        self.y += weight * y;
    }

    /// Returns the expected logarithm of the run time for an estimate with the logarithm `x`.
    pub(super) fn predict(&self, x: f64) -> f64 {
        if self.count == 0.0 {
            return x;
        }
        let mean = self.x / self.count;
        let mean_error = (self.y - self.x) / (self.count + MEAN_PRIOR_WEIGHT);
        let variation = self.xx - self.count * mean * mean;
        let covariation = self.xy - mean * self.y;
        let slope = (covariation + SLOPE_PRIOR_WEIGHT) / (variation + SLOPE_PRIOR_WEIGHT);
        mean + mean_error + slope.clamp(0.0, 1.0) * (x - mean)
    }
}

/// Corrects estimated run times by the actual run times on the same route.
///
/// Load pattern: callers' estimates are wrong by a factor of two and more, so that a deadline that
/// is derived from one alone is off by seconds. The mean run time of a route is often a better
/// predictor. A regression over past runs determines how much weight each of the two has.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    routes: BTreeMap<String, RouteRuns>,
}

impl Estimates {
    /// Returns estimates without past runs, which correct nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run with the estimate `estimate_ms` took `run_time`.
    pub fn observe(&mut self, route: &str, estimate_ms: u64, run_time: Duration) {
        if estimate_ms == 0 || run_time.is_zero() {
            return;
        }
        let (x, y) = ((estimate_ms as f64).ln(), (run_time.as_secs_f64() * 1000.0).ln());
        self.routes.entry(route.to_owned()).or_default().observe(x, y, 1.0, MAX_RUNS);
    }

    /// Returns the expected run time in milliseconds.
    pub fn correct(&self, route: &str, estimate_ms: u64) -> u64 {
        let Some(runs) = self.routes.get(route).filter(|_| estimate_ms > 0) else {
            return estimate_ms;
        };
        let x = (estimate_ms as f64).ln();
        let limit = MAX_CORRECTION.ln();
        let corrected = runs.predict(x).clamp(x - limit, x + limit).exp();
        // At most eight times an estimate, which is far below 2^53 ms.
        corrected.round() as u64
    }
}
