use std::time::{Duration, Instant};

use crate::RoutingSettings;

/// Weight of a new result once enough were seen.
const GAIN: f64 = 1.0 / 16.0;

/// What the results of an upstream say about it, and whether it is ejected.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Errors since the last success.
    pub streak: u32,
    /// Exponential average of errors, 0 to 1.
    pub errors: f64,
    /// Exponential average of latency over the mean of the route.
    pub latency: f64,
    pub samples: u32,
    /// Ejections that were not forgiven.
    pub ejections: u32,
    pub stage: HealthStage,
    ejected_at: Option<Instant>,
}

/// Whether an upstream receives work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthStage {
    /// Normal work.
    Healthy,
    /// No work until the given time.
    Ejected { until: Instant },
    /// One request at a time.
    Probing { since: Instant, passed: u32, latency: f64 },
}

impl Health {
    /// Returns the state of an upstream without results.
    pub fn new() -> Self {
        Self {
            streak: 0,
            errors: 0.0,
            latency: 1.0,
            samples: 0,
            ejections: 0,
            stage: HealthStage::Healthy,
            ejected_at: None,
        }
    }

    /// Adds a success whose latency was `ratio` times the mean of its route.
    pub fn succeed(&mut self, ratio: f64) {
        self.streak = 0;
        self.add(0.0);
        self.latency += self.gain() * (ratio - self.latency);
    }

    /// Adds an error. A late one also counts as slow.
    pub fn fail(&mut self, ratio: f64) {
        self.streak += 1;
        self.add(1.0);
        if ratio > self.latency {
            self.latency += self.gain() * (ratio - self.latency);
        }
    }

    /// Adds `runs` results that others observed, `failures` of which were errors.
    pub fn observe(&mut self, runs: u64, failures: u64) {
        let share = failures.min(runs) as f64 / runs.max(1) as f64;
        // More results than this leave no trace of earlier ones.
        for _ in 0..runs.min(64) {
            self.add(share);
        }
    }

    fn add(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        self.errors += self.gain() * (error - self.errors);
    }

    fn gain(&self) -> f64 {
        GAIN.max(1.0 / f64::from(self.samples.max(1)))
    }

    /// Returns a number that orders upstreams from good to bad.
    pub fn badness(&self) -> f64 {
        self.errors * 10.0 + self.latency
    }

    /// Starts an ejection and returns its length, which doubles with every ejection that was not
    /// forgiven. `jitter` (0 to 1) spreads the probes of several entries.
    pub fn eject(&mut self, settings: &RoutingSettings, jitter: f64, now: Instant) -> Duration {
        if let Some(last) = self.ejected_at {
            let quiet = now.saturating_duration_since(last).as_secs_f64();
            let forgiven = quiet / settings.ejection_decay.as_secs_f64();
            self.ejections = self.ejections.saturating_sub(forgiven as u32);
        }
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        let length = settings.initial_ejection.saturating_mul(factor).min(settings.max_ejection);
        let length = length.mul_f64(0.75 + jitter / 2.0);
        self.ejected_at = Some(now + length);
        self.stage = HealthStage::Ejected { until: now + length };
        length
    }

    /// Ends the ejection; from now on probes decide.
    pub fn probe(&mut self, now: Instant) {
        self.stage = HealthStage::Probing { since: now, passed: 0, latency: 0.0 };
    }

    /// Returns to normal work and forgets the results that led to the ejection.
    pub fn restore(&mut self) {
        let (ejections, ejected_at) = (self.ejections, self.ejected_at);
        *self = Self { ejections, ejected_at, ..Self::new() };
    }

    /// Reports whether the upstream is ejected or on probation.
    pub fn is_out(&self) -> bool {
        self.stage != HealthStage::Healthy
    }
}
