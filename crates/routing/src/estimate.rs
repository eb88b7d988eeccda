use std::time::Duration;

/// Weight of a new observation once at least 16 have been made.
const MIN_GAIN: f64 = 1.0 / 16.0;

/// Exponentially weighted mean and mean absolute deviation of observed service times.
///
/// Declared run times are wrong by a factor of up to ten, so only observations are used.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    count: u64,
}

impl Estimate {
    /// Adds an observed service time.
    pub fn observe(&mut self, service_time: Duration) {
        let value = service_time.as_secs_f64();
        self.count += 1;
        // The arithmetic mean of the first 16 values, then an exponentially weighted one.
        let gain = MIN_GAIN.max(1.0 / self.count as f64);
        let error = value - self.mean;
        self.mean += gain * error;
        if self.count > 1 {
            self.deviation += gain * (error.abs() - self.deviation);
        }
    }

    /// Adds a lower bound of a service time: the actual one is at least `service_time`.
    pub fn observe_at_least(&mut self, service_time: Duration) {
        if service_time.as_secs_f64() > self.mean {
            self.observe(service_time);
        }
    }

    /// Returns the mean, or `None` before the first observation.
    pub fn mean(&self) -> Option<Duration> {
        (self.count > 0).then(|| Duration::from_secs_f64(self.mean))
    }

    /// Returns the service time to reserve when `limit` remains until the deadline: the mean plus
    /// twice the mean deviation, but at most the midpoint between the mean and `limit`, so that
    /// widely varying service times still leave time for waiting. If the mean is not below `limit`,
    /// returns the mean.
    pub fn allowance(&self, limit: Duration) -> Duration {
        let limit = limit.as_secs_f64();
        let upper = self.mean + 2.0 * self.deviation;
        let value =
            if self.mean < limit { upper.min((self.mean + limit) / 2.0) } else { self.mean };
        Duration::from_secs_f64(value)
    }
}
