use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_routing::AttemptResult;

use super::{Action, Policy, Scenario};

/// Time after which an upstream that was full or unreachable is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Baseline that assigns each request to the next upstream in turn when the request arrives. The
/// request waits in the bounded queue of that upstream and is refused when the queue is full.
pub struct RoundRobin {
    queues: Vec<VecDeque<u64>>,
    /// Attempts in flight on each upstream.
    in_flight: Vec<u32>,
    paused_until: Vec<Option<Instant>>,
    slots: u32,
    queue_limit: usize,
    next_index: usize,
    /// Number and upstream of the last attempt of each dispatched request.
    attempts: HashMap<u64, (u32, usize)>,
}

impl RoundRobin {
    /// Returns a policy with an empty queue of at most `queue_limit` requests for each upstream.
    pub fn new(scenario: &Scenario, queue_limit: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); scenario.upstreams],
            in_flight: vec![0; scenario.upstreams],
            paused_until: vec![None; scenario.upstreams],
            slots: scenario.slots,
            queue_limit,
            next_index: 0,
            attempts: HashMap::new(),
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
            if self.paused_until[upstream].is_some_and(|end| end > now) {
                continue;
            }
            while self.in_flight[upstream] < self.slots
                && let Some(id) = queue.pop_front()
            {
                self.in_flight[upstream] += 1;
                let attempt = self.attempts.entry(id).or_default();
                *attempt = (attempt.0 + 1, upstream);
                actions.push(Action::Dispatch { id, attempt: attempt.0, upstream });
            }
        }
        actions
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        let Some((_, upstream)) = self.attempts.get(&id).copied() else { return true };
        self.in_flight[upstream] -= 1;
        if matches!(result, AttemptResult::Full | AttemptResult::Unreachable) {
            self.paused_until[upstream] = Some(now + RETRY_DELAY);
            self.queues[upstream].push_front(id);
            return false;
        }
        self.attempts.remove(&id);
        true
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.paused_until.iter().flatten().copied().filter(|end| *end > now).min()
    }
}
