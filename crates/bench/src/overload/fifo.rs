use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_routing::AttemptResult;

use super::{Action, Policy, Scenario};

/// Time after which an upstream that was full or unreachable is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Baseline with one first-in-first-out queue per entry. It refuses no request and selects the
/// upstreams in turn. A request whose attempt was refused as full, or could not reach its upstream,
/// returns to the head of the queue.
pub struct Fifo {
    queue: VecDeque<u64>,
    /// Attempts in flight on each upstream.
    in_flight: Vec<u32>,
    paused_until: Vec<Option<Instant>>,
    slots: u32,
    next_index: usize,
    /// Number and upstream of the last attempt of each dispatched request.
    attempts: HashMap<u64, (u32, usize)>,
}

impl Fifo {
    /// Returns a policy with an empty queue and idle upstreams.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: vec![0; scenario.upstreams],
            paused_until: vec![None; scenario.upstreams],
            slots: scenario.slots,
            next_index: 0,
            attempts: HashMap::new(),
        }
    }

    fn next_upstream(&mut self, now: Instant) -> Option<usize> {
        let count = self.in_flight.len();
        let free = |upstream: &usize| {
            self.in_flight[*upstream] < self.slots
                && self.paused_until[*upstream].is_none_or(|end| end <= now)
        };
        let upstream =
            (self.next_index..self.next_index + count).map(|index| index % count).find(free)?;
        self.next_index = upstream + 1;
        Some(upstream)
    }
}

impl Policy for Fifo {
    fn submit(&mut self, id: u64, _: usize, _: usize, _: Instant) -> bool {
        self.queue.push_back(id);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() {
            let Some(upstream) = self.next_upstream(now) else { break };
            let Some(id) = self.queue.pop_front() else { break };
            self.in_flight[upstream] += 1;
            let attempt = self.attempts.entry(id).or_default();
            *attempt = (attempt.0 + 1, upstream);
            actions.push(Action::Dispatch { id, attempt: attempt.0, upstream });
        }
        actions
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        let Some((_, upstream)) = self.attempts.get(&id).copied() else { return true };
        self.in_flight[upstream] -= 1;
        if matches!(result, AttemptResult::Full | AttemptResult::Unreachable) {
            self.paused_until[upstream] = Some(now + RETRY_DELAY);
            self.queue.push_front(id);
            return false;
        }
        self.attempts.remove(&id);
        true
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.paused_until.iter().flatten().copied().filter(|end| *end > now).min()
    }
}
