use std::time::Duration;

/// Weight of the prior assumption that a worker has the usual speed, as a number of runs. Lengths
/// of tasks scatter more than speeds, so that a few runs say little.
const PRIOR_WEIGHT: f64 = 4.0;

/// Number of runs after which older ones lose weight, so that a worker that turns slow is noticed.
const MAX_RUNS: f64 = 16.0;

/// Largest factor by which one run may deviate from its expected run time. Estimates of single jobs
/// are wrong by more.
const MAX_DEVIATION: f64 = 3.0;

/// Width of a speed level as a logarithm: differences below 15 % do not outweigh packing.
const LEVEL_WIDTH: f64 = 0.15;

/// Speed of one worker, learned from the run times of its tasks.
///
/// Load pattern: workers differ in speed by a factor of 1.5, and a gang is as slow as its slowest
/// member. Urgent work whose objective is 1.5 times its run time is late on a slow worker even if
/// it starts at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSpeed {
    count: f64,
    /// Sum of the logarithms of expected by actual run time.
    sum: f64,
}

impl WorkerSpeed {
    /// Returns the speed of a worker without runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run took `actual` whose expected run time was `expected`.
    pub fn observe(&mut self, expected: Duration, actual: Duration) {
        if expected.is_zero() || actual.is_zero() {
            return;
        }
        if self.count >= MAX_RUNS {
            let keep = 1.0 - 1.0 / MAX_RUNS;
            self.count *= keep;
            self.sum *= keep;
        }
        let limit = MAX_DEVIATION.ln();
        let deviation = (expected.as_secs_f64() / actual.as_secs_f64()).ln();
        self.count += 1.0;
        self.sum += deviation.clamp(-limit, limit);
    }

    /// Returns the level of the speed; a lower level is faster, 0 is usual.
    pub fn level(&self) -> i8 {
        let logarithm = self.sum / (self.count + PRIOR_WEIGHT);
        // The deviation of a run is limited, so that the level fits.
        -(logarithm / LEVEL_WIDTH).round() as i8
    }
}
