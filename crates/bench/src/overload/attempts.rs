use std::collections::HashMap;
use std::time::{Duration, Instant};

use skylarkpulley_routing::AttemptResult;

use super::{Action, Scenario};

/// Time after which an upstream that was full or unreachable is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Attempts of a baseline on each upstream.
pub struct Attempts {
    in_flight: Vec<u32>,
    /// Number and upstream of the last attempt of each dispatched request.
    latest: HashMap<u64, (u32, usize)>,
    paused_until: Vec<Option<Instant>>,
    slots: u32,
}

/// What became of a request whose attempt has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The request has its result.
    Finished,
    /// The upstream did not take the request, which must be queued again.
    Rejected {
        /// Index of the upstream.
        upstream: usize,
    },
}

impl Attempts {
    /// Returns the state of idle upstreams.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            in_flight: vec![0; scenario.upstreams],
            latest: HashMap::new(),
            paused_until: vec![None; scenario.upstreams],
            slots: scenario.slots,
        }
    }

    /// Returns the number of upstreams.
    pub fn upstreams(&self) -> usize {
        self.in_flight.len()
    }

    /// Reports whether an upstream takes requests and has a free slot.
    pub fn has_slot(&self, upstream: usize, now: Instant) -> bool {
        self.in_flight[upstream] < self.slots
            && self.paused_until[upstream].is_none_or(|end| end <= now)
    }

    /// Counts a further attempt of a request and returns its dispatch.
    pub fn dispatch(&mut self, id: u64, upstream: usize) -> Action {
        self.in_flight[upstream] += 1;
        let attempt = self.latest.entry(id).or_default();
        *attempt = (attempt.0 + 1, upstream);
        Action::Dispatch { id, attempt: attempt.0, upstream }
    }

    /// Ends the latest attempt of a request.
    pub fn end(&mut self, id: u64, result: AttemptResult, now: Instant) -> AttemptEnd {
        let Some((_, upstream)) = self.latest.get(&id).copied() else {
            return AttemptEnd::Finished;
        };
        self.in_flight[upstream] -= 1;
        if matches!(result, AttemptResult::Full | AttemptResult::Unreachable) {
            self.paused_until[upstream] = Some(now + RETRY_DELAY);
            return AttemptEnd::Rejected { upstream };
        }
        self.latest.remove(&id);
        AttemptEnd::Finished
    }

    /// Returns when the next paused upstream is tried again.
    pub fn next_retry(&self, now: Instant) -> Option<Instant> {
        self.paused_until.iter().flatten().copied().filter(|end| *end > now).min()
    }
}
