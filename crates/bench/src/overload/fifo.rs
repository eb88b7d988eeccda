use std::collections::VecDeque;
use std::time::Instant;

use skylarkpulley_routing::AttemptResult;

use super::attempts::{AttemptEnd, Attempts};
use super::{Action, Policy, Scenario};

/// Baseline with one first-in-first-out queue per entry. It refuses no request and selects the
/// upstreams in turn. A request whose attempt was refused as full, or could not reach its upstream,
/// returns to the head of the queue.
pub struct Fifo {
    attempts: Attempts,
    next_index: usize,
    queue: VecDeque<u64>,
}

impl Fifo {
    /// Returns a policy with an empty queue and idle upstreams.
    pub fn new(scenario: &Scenario) -> Self {
        Self { attempts: Attempts::new(scenario), next_index: 0, queue: VecDeque::new() }
    }

    fn next_upstream(&mut self, now: Instant) -> Option<usize> {
        let count = self.attempts.upstreams();
        let upstream = (self.next_index..self.next_index + count)
            .map(|index| index % count)
            .find(|upstream| self.attempts.has_slot(*upstream, now))?;
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
            actions.push(self.attempts.dispatch(id, upstream));
        }
        actions
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        match self.attempts.end(id, result, now) {
            AttemptEnd::Finished => true,
            AttemptEnd::Rejected { .. } => {
                self.queue.push_front(id);
                false
            }
        }
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.attempts.next_retry(now)
    }
}
