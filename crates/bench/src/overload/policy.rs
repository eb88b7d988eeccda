use std::time::Instant;

use skylarkpulley_routing::AttemptResult;

/// What an entry does.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Sends an attempt of a request to an upstream.
    Send {
        /// The request.
        id: u64,
        /// Number of the attempt.
        attempt: u32,
        /// Index of the upstream.
        upstream: usize,
    },
    /// Refuses a waiting request.
    Refuse {
        /// The request.
        id: u64,
    },
}

/// The routing of one entry.
pub trait Policy {
    /// Admits request `id` of a kind and team; returns false if it is refused.
    fn submit(&mut self, id: u64, kind: usize, team: usize, now: Instant) -> bool;
    /// Returns what to do now.
    fn poll(&mut self, now: Instant) -> Vec<Act>;
    /// Learns the result of an attempt; returns true when the request has ended.
    fn on_result(&mut self, id: u64, attempt: u32, result: AttemptResult, now: Instant) -> bool;
    /// Learns how many slots of an upstream are in use.
    fn on_report(&mut self, upstream: usize, used: u32, now: Instant);
    /// Returns when to poll next if nothing happens before.
    fn next_wake(&self, now: Instant) -> Option<Instant>;
}
