use std::time::Duration;

/// Time-outs and limits of request routing. The defaults suit upstreams whose requests take
/// milliseconds to seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingSettings {
    /// A session without a report for this long is silent.
    pub report_timeout: Duration,
    /// How long the incarnation of a vanished agent is remembered, to recognise late messages.
    pub member_retention: Duration,
    /// A class that strict priority has not served for this long is starved.
    pub starvation_timeout: Duration,
    /// Starved classes take one dispatch in this many.
    pub starved_share_divisor: u32,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Retries that a route may use at once.
    pub retry_burst: u32,
    /// Mean delay before the first retry; doubles with each further one.
    pub initial_backoff: Duration,
    /// Upper bound of the delay before a retry.
    pub max_backoff: Duration,
    /// Consecutive errors that eject an upstream of a pool that usually has none.
    pub max_consecutive_errors: u32,
    /// Results that are needed before the error rate or latency of an upstream is judged.
    pub min_samples: u32,
    /// Error rate, 0 to 1, above which an upstream is an outlier.
    pub max_error_rate: f64,
    /// An upstream is slow when its latency exceeds the lower quartile of its pool by this factor.
    pub slow_factor: f64,
    /// Length of the first ejection; doubles with each further one.
    pub initial_ejection: Duration,
    /// Upper bound of the length of an ejection.
    pub max_ejection: Duration,
    /// An upstream that was not ejected for this long forgets one earlier ejection.
    pub ejection_decay: Duration,
    /// Successful probes that return an ejected upstream to service.
    pub required_probes: u32,
    /// A route without attempts for this long tries a request that seems unable to meet its
    /// deadline.
    pub trial_interval: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_millis(2500),
            member_retention: Duration::from_secs(600),
            starvation_timeout: Duration::from_secs(2),
            starved_share_divisor: 20,
            max_attempts: 3,
            // About the slots of a third of eleven upstreams, which may go at once.
            retry_burst: 32,
            initial_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(1),
            max_consecutive_errors: 5,
            min_samples: 20,
            max_error_rate: 0.3,
            slow_factor: 3.0,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            ejection_decay: Duration::from_secs(60),
            required_probes: 3,
            trial_interval: Duration::from_secs(1),
        }
    }
}
