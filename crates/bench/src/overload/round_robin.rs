use std::collections::VecDeque;
use std::time::Instant;

use skylarkpulley_routing::AttemptResult;

use super::attempts::{AttemptEnd, Attempts};
use super::{Action, Policy, Scenario};

/// Baseline that assigns each request to the next upstream in turn when the request arrives. The
/// request waits in the bounded queue of that upstream and is refused when the queue is full.
pub struct RoundRobin {
    attempts: Attempts,
    next_index: usize,
    queue_limit: usize,
    queues: Vec<VecDeque<u64>>,
}

impl RoundRobin {
    /// Returns a policy with an empty queue of at most `queue_limit` requests for each upstream.
    pub fn new(scenario: &Scenario, queue_limit: usize) -> Self {
        Self {
            attempts: Attempts::new(scenario),
            next_index: 0,
            queue_limit,
            queues: vec![VecDeque::new(); scenario.upstreams],
        }
    }
}

impl Policy for RoundRobin {
    fn submit(&mut self, id: u64, _: usize, _: usize, _: Instant) -> bool {
        let upstream = self.next_index % self.queues.len();
        self.next_index += 1;
        if self.queues[upstream].len() >= self.queue_limit {
            return false;
        }
        self.queues[upstream].push_back(id);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (upstream, queue) in self.queues.iter_mut().enumerate() {
            while self.attempts.has_slot(upstream, now)
                && let Some(id) = queue.pop_front()
            {
                actions.push(self.attempts.dispatch(id, upstream));
            }
        }
        actions
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        match self.attempts.end(id, result, now) {
            AttemptEnd::Finished => true,
            AttemptEnd::Rejected { upstream } => {
                self.queues[upstream].push_front(id);
                false
            }
        }
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.attempts.next_retry(now)
    }
}
