use std::time::{Duration, Instant};

use derive_more::Display;

/// Health of the store as observed by one process.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CircuitState {
    /// All calls are sent.
    #[display("up")]
    Up,
    /// Only a few calls may be in progress at a time, because the store answers late or has just
    /// recovered from an outage.
    #[display("slow")]
    Slow,
    /// No calls are sent except single probes.
    #[display("down")]
    Down,
}

/// Thresholds of the circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CircuitSettings {
    /// Consecutive failures that open the circuit.
    pub failures: u32,
    /// Consecutive late answers after which the store counts as slow.
    pub late_answers: u32,
    /// Consecutive answers in time after which a slow store counts as up again.
    pub timely_answers: u32,
    /// Latency from which an answer counts as late.
    pub late_threshold: Duration,
    /// Limit of calls in progress while the store is slow; for urgent calls the limit is twice as
    /// high.
    pub slow_limit: usize,
    /// Mean time to the first probe. The mean doubles with each failed probe.
    pub initial_interval: Duration,
    /// Highest mean time between probes. It bounds the time until a process notices that the store
    /// has recovered.
    pub max_interval: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            late_answers: 3,
            timely_answers: 5,
            late_threshold: Duration::from_secs(1),
            slow_limit: 4,
            initial_interval: Duration::from_millis(500),
            max_interval: Duration::from_secs(8),
        }
    }
}

/// Outcome of a call, as far as it concerns the health of the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered; a refusal such as a conflict counts as an answer.
    Answered,
    /// The service did not answer or could not be reached.
    Failed,
    /// The caller cancelled the call; this says nothing about the health of the service.
    Abandoned,
}

/// Permission to send one call; returned with [`Circuit::record`].
#[derive(Debug, Eq, PartialEq)]
pub struct Permit {
    probe: bool,
    started: Instant,
}

/// Circuit breaker that decides whether calls are sent.
///
/// Two rules keep a recovering store from receiving all calls of all processes at once: probes are
/// jittered with a seed that differs between processes, and a store that recovers counts as slow
/// at first. The circuit breaker performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Circuit {
    active_calls: usize,
    failures: u32,
    timely_answers: u32,
    /// Mean time to the next probe.
    interval: Duration,
    late_answers: u32,
    probe_at: Instant,
    probing: bool,
    random: fastrand::Rng,
    settings: CircuitSettings,
    state: CircuitState,
}

impl Circuit {
    /// Returns a closed circuit breaker, which sends all calls.
    pub fn new(now: Instant, settings: CircuitSettings, seed: u64) -> Self {
        Self {
            active_calls: 0,
            failures: 0,
            timely_answers: 0,
            interval: settings.initial_interval,
            late_answers: 0,
            probe_at: now,
            probing: false,
            random: fastrand::Rng::with_seed(seed),
            settings,
            state: CircuitState::Up,
        }
    }

    /// Returns the health of the store.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Returns the time after which a call that is refused now can be retried, `None` when a call
    /// would be sent.
    pub fn retry_in(&self, now: Instant, urgent: bool) -> Option<Duration> {
        let slow_limit = self.settings.slow_limit * if urgent { 2 } else { 1 };
        match self.state {
            CircuitState::Up => None,
            CircuitState::Slow if self.active_calls < slow_limit => None,
            CircuitState::Slow => Some(self.settings.late_threshold),
            CircuitState::Down if self.probing => Some(self.interval),
            CircuitState::Down if now < self.probe_at => Some(self.probe_at - now),
            CircuitState::Down => None,
        }
    }

    /// Returns a permit to send a call, or the time after which to retry. Every permit must be
    /// returned with [`Circuit::record`].
    pub fn admit(&mut self, now: Instant, urgent: bool) -> Result<Permit, Duration> {
        if let Some(retry_in) = self.retry_in(now, urgent) {
            return Err(retry_in);
        }
        let probe = self.state == CircuitState::Down;
        self.probing |= probe;
        self.active_calls += 1;
        Ok(Permit { probe, started: now })
    }

    /// Records the outcome of a call and returns its permit.
    pub fn record(&mut self, now: Instant, permit: Permit, outcome: CallOutcome) {
        self.active_calls -= 1;
        if permit.probe {
            self.probing = false;
        }
        match outcome {
            CallOutcome::Answered => {
                self.record_answer(now.saturating_duration_since(permit.started))
            }
            CallOutcome::Failed => self.record_failure(now, permit.probe),
            CallOutcome::Abandoned => {}
        }
    }

    fn record_answer(&mut self, latency: Duration) {
        let late = latency >= self.settings.late_threshold;
        self.failures = 0;
        self.late_answers = if late { self.late_answers + 1 } else { 0 };
        self.timely_answers = if late { 0 } else { self.timely_answers + 1 };
        match self.state {
            CircuitState::Up if self.late_answers >= self.settings.late_answers => {
                self.state = CircuitState::Slow;
            }
            CircuitState::Slow if self.timely_answers >= self.settings.timely_answers => {
                self.state = CircuitState::Up;
            }
            // Any answer counts, including the late one to a call sent before the outage, because it
            // shows that the store is alive.
            CircuitState::Down => {
                self.state = CircuitState::Slow;
                self.interval = self.settings.initial_interval;
                self.timely_answers = 0;
            }
            CircuitState::Up | CircuitState::Slow => {}
        }
    }

    fn record_failure(&mut self, now: Instant, probe: bool) {
        self.failures += 1;
        self.timely_answers = 0;
        let opens = self.state != CircuitState::Down && self.failures >= self.settings.failures;
        if probe && self.state == CircuitState::Down {
            self.interval = (self.interval * 2).min(self.settings.max_interval);
        }
        if opens || (probe && self.state == CircuitState::Down) {
            self.state = CircuitState::Down;
            self.probe_at = now + self.interval.mul_f64(0.5 + self.random.f64());
        }
    }
}
