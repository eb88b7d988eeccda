use std::time::Duration;

/// Time-outs and limits of request routing. The defaults suit upstreams whose requests take
/// milliseconds to seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Time without a report after which a session counts as silent.
    pub report_timeout: Duration,
    /// How long the incarnation of an agent is kept after its last report, so that late messages of
    /// an earlier incarnation are recognised.
    pub member_retention: Duration,
    /// A class that strict priority has not served for this long counts as starved.
    pub starvation_timeout: Duration,
    /// Starved classes receive one dispatch in this many.
    pub starved_divisor: u32,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Maximum number of retries of a route in one burst.
    pub retry_burst: u32,
    /// Mean delay before the first retry; it doubles with each further retry.
    pub initial_backoff: Duration,
    /// Upper bound of the mean delay before a retry.
    pub max_backoff: Duration,
    /// Number of consecutive errors that ejects an upstream of a pool whose other upstreams return
    /// no errors.
    pub max_errors: u32,
    /// Minimum number of results before the error rate or latency of an upstream can eject it.
    pub min_samples: u32,
    /// Error rate, 0 to 1, above which an upstream can be ejected as an outlier.
    pub outlier_rate: f64,
    /// An upstream is slow when its latency exceeds the lower quartile of its pool by this factor.
    pub slow_factor: f64,
    /// Duration of the first ejection; it doubles with each further ejection.
    pub initial_ejection: Duration,
    /// Upper bound of the duration of an ejection, before jitter.
    pub max_ejection: Duration,
    /// The count of earlier ejections decreases by one for each such period without an ejection.
    pub ejection_decay: Duration,
    /// Number of successful probes after which an ejected upstream returns to service.
    pub required_probes: u32,
    /// After this long without an attempt, a route admits one request although its estimated
    /// service time exceeds the deadline.
    pub trial_interval: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            report_timeout: Duration::from_millis(2500),
            member_retention: Duration::from_secs(600),
            starvation_timeout: Duration::from_secs(2),
            starved_divisor: 20,
            max_attempts: 3,
            // About the slots of a third of eleven upstreams, which may fail at the same time.
            retry_burst: 32,
            initial_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(1),
            max_errors: 5,
            min_samples: 20,
            outlier_rate: 0.3,
            slow_factor: 3.0,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            ejection_decay: Duration::from_secs(60),
            required_probes: 3,
            trial_interval: Duration::from_secs(1),
        }
    }
}
