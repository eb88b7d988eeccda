use std::time::Instant;

use skylarkpulley_routing::AttemptResult;

/// An action of an entry.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Dispatches an attempt of a request to an upstream.
    Dispatch {
        /// Id of the request.
        id: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Index of the upstream.
        upstream: usize,
    },
    /// Refuses a request that waits in the queue.
    Refuse {
        /// Id of the request.
        id: u64,
    },
}

/// Routing policy of one entry.
pub trait Policy {
    /// Submits request `id`, with the indices of its kind and team; returns false if the request is
    /// refused.
    fn submit(&mut self, id: u64, kind: usize, team: usize, now: Instant) -> bool;
    /// Returns the actions that are due at `now`.
    fn poll(&mut self, now: Instant) -> Vec<Action>;
    /// Handles the result of an attempt; returns true when the request has ended.
    fn on_result(&mut self, id: u64, attempt: u32, result: AttemptResult, now: Instant) -> bool;
    /// Handles a report of the number of slots in use on an upstream.
    fn on_report(&mut self, upstream: usize, used_slots: u32, now: Instant);
    /// Returns the time of the next poll if no other event occurs earlier.
    fn next_wake(&self, now: Instant) -> Option<Instant>;
}
