use std::time::Duration;

/// Weight of a new observation once enough were made.
const GAIN: f64 = 1.0 / 16.0;

/// Running mean and mean deviation of observed service times.
///
/// Declared run times are off by a factor of up to ten, so only observations count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    count: u64,
}

impl Estimate {
    /// Adds an observed service time.
    pub fn observe(&mut self, service: Duration) {
        let value = service.as_secs_f64();
        self.count += 1;
        // A plain average until enough values are known, then an exponential one.
        let gain = GAIN.max(1.0 / self.count as f64);
        let error = value - self.mean;
        self.mean += gain * error;
        if self.count > 1 {
            self.deviation += gain * (error.abs() - self.deviation);
        }
    }

    /// Adds a service time that was cut off: the true one is at least `service`.
    pub fn observe_at_least(&mut self, service: Duration) {
        if service.as_secs_f64() > self.mean {
            self.observe(service);
        }
    }

    /// Returns the mean, or `None` before the first observation.
    pub fn mean(&self) -> Option<Duration> {
        (self.count > 0).then(|| Duration::from_secs_f64(self.mean))
    }

    /// Returns the service time to allow for when `limit` is left: the mean plus twice the mean
    /// deviation, but no more than half way from the mean to `limit`, so that widely varying
    /// service times still leave some room to wait.
    pub fn allowance(&self, limit: Duration) -> Duration {
        let limit = limit.as_secs_f64();
        let tail = self.mean + 2.0 * self.deviation;
        let value = if self.mean < limit { tail.min((self.mean + limit) / 2.0) } else { self.mean };
        Duration::from_secs_f64(value)
    }
}
