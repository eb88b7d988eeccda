use std::time::{Duration, Instant};

use crate::RoutingSettings;

/// Weight of a new result once at least 16 have been recorded.
const MIN_GAIN: f64 = 1.0 / 16.0;

/// Error and latency statistics of an upstream, and whether it is ejected.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Number of errors since the latest success.
    pub consecutive_errors: u32,
    /// Exponentially weighted error rate, 0 to 1.
    pub error_rate: f64,
    /// Exponentially weighted latency as a multiple of the mean latency of the route.
    pub latency_ratio: f64,
    pub samples: u32,
    /// Number of ejections that have not decayed; determines the duration of the next ejection.
    pub ejections: u32,
    pub stage: HealthStage,
    ejection_end: Option<Instant>,
}

/// Whether an upstream receives requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthStage {
    /// Receives requests normally.
    Healthy,
    /// Receives no requests until the given time.
    Ejected { until: Instant },
    /// Receives one request at a time as a probe. `latency_sum` adds up the latencies of the passed
    /// probes as multiples of the mean of the route.
    Probing { since: Instant, passed: u32, latency_sum: f64 },
}

impl Health {
    /// Returns the state of an upstream without results.
    pub fn new() -> Self {
        Self {
            consecutive_errors: 0,
            error_rate: 0.0,
            latency_ratio: 1.0,
            samples: 0,
            ejections: 0,
            stage: HealthStage::Healthy,
            ejection_end: None,
        }
    }

    /// Records a success whose latency was `ratio` times the mean of its route.
    pub fn record_success(&mut self, ratio: f64) {
        self.consecutive_errors = 0;
        self.record(0.0);
        self.latency_ratio += self.gain() * (ratio - self.latency_ratio);
    }

    /// Records an error after `ratio` times the mean latency of its route. The latency counts only
    /// if it exceeds the average, because early errors are no measure of speed.
    pub fn record_error(&mut self, ratio: f64) {
        self.consecutive_errors += 1;
        self.record(1.0);
        if ratio > self.latency_ratio {
            self.latency_ratio += self.gain() * (ratio - self.latency_ratio);
        }
    }

    /// Records `runs` results of other entries, `failures` of which were errors.
    pub fn record_reported(&mut self, runs: u64, failures: u64) {
        let error_share = failures.min(runs) as f64 / runs.max(1) as f64;
        // After 64 results the earlier ones no longer contribute to the average.
        for _ in 0..runs.min(64) {
            self.record(error_share);
        }
    }

    fn record(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        self.error_rate += self.gain() * (error - self.error_rate);
    }

    fn gain(&self) -> f64 {
        MIN_GAIN.max(1.0 / f64::from(self.samples.max(1)))
    }

    /// Returns a score by which upstreams are compared; a higher score is worse.
    pub fn outlier_score(&self) -> f64 {
        self.error_rate * 10.0 + self.latency_ratio
    }

    /// Starts an ejection and returns its duration, which doubles with every earlier ejection that
    /// has not decayed. `jitter` (0 to 1) spreads the probes of several entries over time.
    pub fn eject(&mut self, settings: &RoutingSettings, jitter: f64, now: Instant) -> Duration {
        if let Some(end) = self.ejection_end {
            let elapsed = now.saturating_duration_since(end).as_secs_f64();
            let decayed = elapsed / settings.ejection_decay.as_secs_f64();
            self.ejections = self.ejections.saturating_sub(decayed as u32);
        }
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        let length = settings.initial_ejection.saturating_mul(factor).min(settings.max_ejection);
        let length = length.mul_f64(0.75 + jitter / 2.0);
        self.ejection_end = Some(now + length);
        self.stage = HealthStage::Ejected { until: now + length };
        length
    }

    /// Ends the period without requests and starts probing the upstream.
    pub fn start_probing(&mut self, now: Instant) {
        self.stage = HealthStage::Probing { since: now, passed: 0, latency_sum: 0.0 };
    }

    /// Makes the upstream healthy and clears the results that led to the ejection. The number and
    /// time of the ejections are kept.
    pub fn reset(&mut self) {
        let (ejections, ejection_end) = (self.ejections, self.ejection_end);
        *self = Self { ejections, ejection_end, ..Self::new() };
    }

    /// Returns whether the upstream is ejected. Probing is the last phase of an ejection.
    pub fn is_ejected(&self) -> bool {
        self.stage != HealthStage::Healthy
    }
}
