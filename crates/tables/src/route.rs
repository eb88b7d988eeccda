use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One row of the routes table: where a kind of request belongs and at what priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Path prefix of the requests; the longest matching prefix wins.
    pub path: String,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Class, 0 (most urgent) to 9.
    pub priority: u8,
    /// False for requests that must run at most once; these need an idempotency key.
    pub idempotent: bool,
    /// Time from acceptance to the end of the answer.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Requests of one team that may wait.
    pub queue: u32,
    /// Budget of extra attempts, in percent of the requests.
    pub retry_percent: u8,
    /// Largest accepted request body, in bytes.
    pub body_limit: u64,
}
