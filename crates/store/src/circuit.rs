use std::time::{Duration, Instant};

use derive_more::Display;

/// Health of the store as one process sees it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CircuitState {
    /// Calls are sent.
    #[display("up")]
    Up,
    /// Few calls are sent at a time: the store answers late, or has just come back.
    #[display("slow")]
    Slow,
    /// No calls are sent but single probes.
    #[display("down")]
    Down,
}

/// Thresholds of the circuit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CircuitSettings {
    /// Consecutive failures that open the circuit.
    pub failures: u32,
    /// Consecutive late answers that make the store slow.
    pub late_answers: u32,
    /// Consecutive answers in time that make the store up again.
    pub prompt_answers: u32,
    /// Age from which an answer is late.
    pub late_threshold: Duration,
    /// Calls in progress while the store is slow; urgent calls may use as many again.
    pub max_slow_calls: usize,
    /// Mean time to the first probe; doubles with each failed one.
    pub initial_probe_interval: Duration,
    /// Highest mean time between probes. It bounds the time until a process notices that the store
    /// is back.
    pub max_probe_interval: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            late_answers: 3,
            prompt_answers: 5,
            late_threshold: Duration::from_secs(1),
            max_slow_calls: 4,
            initial_probe_interval: Duration::from_millis(500),
            max_probe_interval: Duration::from_secs(8),
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered, also with a refusal such as a conflict.
    Answered,
    /// The service did not answer or could not be reached.
    Failed,
    /// The caller gave up; this says nothing about the service.
    Abandoned,
}

/// Leave to send one call; handed back with [`Circuit::record`].
#[derive(Debug, Eq, PartialEq)]
pub struct Permit {
    probe: bool,
    started: Instant,
}

/// Decides whether calls are sent. Probes are jittered by a seed that differs between processes,
/// and a store that comes back first counts as slow, so that its return is not met by all calls of
/// all processes at once. No I/O and no clock.
#[derive(Clone, Debug)]
pub struct Circuit {
    calls: usize,
    failures: u32,
    good: u32,
    interval: Duration,
    late: u32,
    probe_at: Instant,
    probing: bool,
    random: fastrand::Rng,
    settings: CircuitSettings,
    state: CircuitState,
}

impl Circuit {
    /// Returns a closed circuit.
    pub fn new(now: Instant, settings: CircuitSettings, seed: u64) -> Self {
        Self {
            calls: 0,
            failures: 0,
            good: 0,
            interval: settings.initial_probe_interval,
            late: 0,
            probe_at: now,
            probing: false,
            random: fastrand::Rng::with_seed(seed),
            settings,
            state: CircuitState::Up,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Returns the time for which a call would be refused now, `None` when it would be sent.
    pub fn refusal(&self, now: Instant, urgent: bool) -> Option<Duration> {
        let max_slow_calls = self.settings.max_slow_calls * if urgent { 2 } else { 1 };
        match self.state {
            CircuitState::Up => None,
            CircuitState::Slow if self.calls < max_slow_calls => None,
            CircuitState::Slow => Some(self.settings.late_threshold),
            CircuitState::Down if self.probing => Some(self.interval),
            CircuitState::Down if now < self.probe_at => Some(self.probe_at - now),
            CircuitState::Down => None,
        }
    }

    /// Asks to send a call. Every permit must be handed back.
    pub fn admit(&mut self, now: Instant, urgent: bool) -> Result<Permit, Duration> {
        if let Some(refused) = self.refusal(now, urgent) {
            return Err(refused);
        }
        let probe = self.state == CircuitState::Down;
        self.probing |= probe;
        self.calls += 1;
        Ok(Permit { probe, started: now })
    }

    /// Notes how a call ended.
    pub fn record(&mut self, now: Instant, permit: Permit, end: CallOutcome) {
        self.calls -= 1;
        if permit.probe {
            self.probing = false;
        }
        match end {
            CallOutcome::Answered => self.answered(now.saturating_duration_since(permit.started)),
            CallOutcome::Failed => self.failed(now, permit.probe),
            CallOutcome::Abandoned => {}
        }
    }

    fn answered(&mut self, latency: Duration) {
        let late = latency >= self.settings.late_threshold;
        self.failures = 0;
        self.late = if late { self.late + 1 } else { 0 };
        self.good = if late { 0 } else { self.good + 1 };
        match self.state {
            CircuitState::Up if self.late >= self.settings.late_answers => {
                self.state = CircuitState::Slow;
            }
            CircuitState::Slow if self.good >= self.settings.prompt_answers => {
                self.state = CircuitState::Up;
            }
            // Also by the late answer to a call from before the outage: the store is alive.
            CircuitState::Down => {
                self.state = CircuitState::Slow;
                self.interval = self.settings.initial_probe_interval;
                self.good = 0;
            }
            CircuitState::Up | CircuitState::Slow => {}
        }
    }

    fn failed(&mut self, now: Instant, probe: bool) {
        self.failures += 1;
        self.good = 0;
        let opens = self.state != CircuitState::Down && self.failures >= self.settings.failures;
        if probe && self.state == CircuitState::Down {
            self.interval = (self.interval * 2).min(self.settings.max_probe_interval);
        }
        if opens || (probe && self.state == CircuitState::Down) {
            self.state = CircuitState::Down;
            self.probe_at = now + self.interval.mul_f64(0.5 + self.random.f64());
        }
    }
}
