use std::time::Duration;

/// Limits on the requests of clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Time within which a head has to be complete.
    pub head_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection is closed whose body arrives at less than 4 KB/s without a break.
    pub slow_body_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 65_536,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
            // Shorter pauses are usual on links that lose packets.
            slow_body_timeout: Duration::from_secs(5),
        }
    }
}

/// Source of the limits that apply now.
pub trait RequestLimitSource: Send + Sync {
    /// Returns the limits.
    fn limits(&self) -> RequestLimits;
}

/// Limits that do not change.
impl RequestLimitSource for RequestLimits {
    fn limits(&self) -> RequestLimits {
        *self
    }
}
