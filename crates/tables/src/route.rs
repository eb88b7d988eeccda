use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One row of the routes table: the pool that serves requests with a path prefix, and their
/// priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Path prefix of the requests; the longest matching prefix wins.
    pub path: String,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Priority class, 0 (most urgent) to 9.
    pub priority: u8,
    /// False for requests that must run at most once; these must have an idempotency key.
    pub idempotent: bool,
    /// Maximum time from the acceptance of a request to the end of its response.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Maximum number of waiting requests of one team.
    pub queue: u32,
    /// Budget of additional attempts, in percent of the requests.
    pub retry_percent: u8,
    /// Largest accepted request body, in bytes.
    pub body_limit: u64,
}
