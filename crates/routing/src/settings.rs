use std::time::Duration;

/// Time-outs and limits of request routing. The defaults suit upstreams whose requests take
/// milliseconds to seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingSettings {
    /// A session without a report for this long is silent.
    pub silence: Duration,
    /// How long the incarnation of a vanished agent is remembered, to recognise late messages.
    pub retention: Duration,
    /// A class that strict priority has not served for this long is starved.
    pub ageing: Duration,
    /// Starved classes take one dispatch in this many.
    pub aged_share: u32,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Retries that a route may use at once.
    pub retry_burst: u32,
    /// Mean delay before the first retry; doubles with each further one.
    pub backoff: Duration,
    /// Upper bound of the delay before a retry.
    pub backoff_limit: Duration,
    /// Consecutive errors that eject an upstream of a pool that usually has none.
    pub errors: u32,
    /// Results that are needed before the error rate or latency of an upstream is judged.
    pub samples: u32,
    /// Error rate, 0 to 1, above which an upstream is an outlier.
    pub error_rate: f64,
    /// An upstream is slow when its latency exceeds the lower quartile of its pool by this factor.
    pub slow_factor: f64,
    /// Length of the first ejection; doubles with each further one.
    pub ejection: Duration,
    /// Upper bound of the length of an ejection.
    pub ejection_limit: Duration,
    /// An upstream that was not ejected for this long forgets one earlier ejection.
    pub forgiveness: Duration,
    /// Successful probes that return an ejected upstream to service.
    pub probes: u32,
    /// A route without attempts for this long tries a request that seems unable to meet its
    /// deadline.
    pub trial: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(2500),
            retention: Duration::from_secs(600),
            ageing: Duration::from_secs(2),
            aged_share: 20,
            attempts: 3,
            // About the slots of a third of eleven upstreams, which may go at once.
            retry_burst: 32,
            backoff: Duration::from_millis(10),
            backoff_limit: Duration::from_secs(1),
            errors: 5,
            samples: 20,
            error_rate: 0.3,
            slow_factor: 3.0,
            ejection: Duration::from_secs(1),
            ejection_limit: Duration::from_secs(60),
            forgiveness: Duration::from_secs(60),
            probes: 3,
            trial: Duration::from_secs(1),
        }
    }
}
