use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the assumption that estimates are right on average, in runs.
const LEVEL_WEIGHT: f64 = 2.0;

/// Weight of the assumption that a run that is estimated twice as long takes twice as long, as a sum
/// of squared deviations of logarithms; four runs whose estimates scatter by a factor of 1.6.
const SLOPE_WEIGHT: f64 = 1.0;

/// Most runs that count, so that a change of the work is noticed.
const MEMORY: f64 = 128.0;

/// A correction is at most this factor either way.
const LARGEST_FACTOR: f64 = 8.0;

/// Sums over the logarithms of estimated (x) and true (y) run times of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRuns {
    count: f64,
    x: f64,
    xx: f64,
    xy: f64,
    y: f64,
}

impl RouteRuns {
    fn observe(&mut self, x: f64, y: f64) {
        if self.count >= MEMORY {
            let keep = 1.0 - 1.0 / MEMORY;
            self.count *= keep;
            self.x *= keep;
            self.xx *= keep;
            self.xy *= keep;
            self.y *= keep;
        }
        self.count += 1.0;
        self.x += x;
        self.xx += x * x;
        self.xy += x * y;
        self.y += y;
    }

    /// Returns the expected logarithm of the run time whose estimate has the logarithm `x`.
    fn predict(&self, x: f64) -> f64 {
        if self.count == 0.0 {
            return x;
        }
        let mean = self.x / self.count;
        let level = (self.y - self.x) / (self.count + LEVEL_WEIGHT);
        let spread = self.xx - self.count * mean * mean;
        let joint = self.xy - mean * self.y;
        let slope = (joint + SLOPE_WEIGHT) / (spread + SLOPE_WEIGHT);
        mean + level + slope.clamp(0.0, 1.0) * (x - mean)
    }
}

/// Corrects estimated run times by what runs of the same route have taken.
///
/// Load pattern: callers' estimates are wrong by a factor of two and more, so that a deadline that is
/// derived from one alone is off by seconds. The usual run time of a route is often the better guide;
/// how much each of the two counts is learned from the runs.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    routes: BTreeMap<String, RouteRuns>,
}

impl Estimates {
    /// Returns a record without runs, which corrects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that a run with the estimate `estimate_ms` took `took`.
    pub fn observe(&mut self, route: &str, estimate_ms: u64, took: Duration) {
        if estimate_ms == 0 || took.is_zero() {
            return;
        }
        let (x, y) = ((estimate_ms as f64).ln(), (took.as_secs_f64() * 1000.0).ln());
        self.routes.entry(route.to_owned()).or_default().observe(x, y);
    }

    /// Returns the expected run time in milliseconds.
    pub fn correct(&self, route: &str, estimate_ms: u64) -> u64 {
        let Some(runs) = self.routes.get(route).filter(|_| estimate_ms > 0) else {
            return estimate_ms;
        };
        let x = (estimate_ms as f64).ln();
        let limit = LARGEST_FACTOR.ln();
        let corrected = runs.predict(x).clamp(x - limit, x + limit).exp();
        // At most eight times an estimate, which is far below 2^53 ms.
        corrected.round() as u64
    }
}
