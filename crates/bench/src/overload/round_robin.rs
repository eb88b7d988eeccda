use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_routing::AttemptResult;

use super::{Act, Policy, Scenario};

/// Pause before an upstream that was full is tried again.
const PAUSE: Duration = Duration::from_millis(10);

/// Baseline: every request is assigned to the next upstream in turn when it arrives and waits for
/// it in a bounded queue; refused when that is full.
pub struct RoundRobin {
    queues: Vec<VecDeque<u64>>,
    own: Vec<u32>,
    pause: Vec<Option<Instant>>,
    slots: u32,
    bound: usize,
    turn: usize,
    running: HashMap<u64, (u32, usize)>,
}

impl RoundRobin {
    /// Returns empty queues of at most `bound` requests for each upstream.
    pub fn new(scenario: &Scenario, bound: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); scenario.upstreams],
            own: vec![0; scenario.upstreams],
            pause: vec![None; scenario.upstreams],
            slots: scenario.slots,
            bound,
            turn: 0,
            running: HashMap::new(),
        }
    }
}

impl Policy for RoundRobin {
    fn submit(&mut self, id: u64, _: usize, _: usize, _: Instant) -> bool {
        let upstream = self.turn % self.queues.len();
        self.turn += 1;
        if self.queues[upstream].len() >= self.bound {
            return false;
        }
        self.queues[upstream].push_back(id);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Act> {
        let mut acts = Vec::new();
        for (upstream, queue) in self.queues.iter_mut().enumerate() {
            if self.pause[upstream].is_some_and(|end| end > now) {
                continue;
            }
            while self.own[upstream] < self.slots
                && let Some(id) = queue.pop_front()
            {
                self.own[upstream] += 1;
                let running = self.running.entry(id).or_default();
                *running = (running.0 + 1, upstream);
                acts.push(Act::Send { id, attempt: running.0, upstream });
            }
        }
        acts
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        let Some((_, upstream)) = self.running.get(&id).copied() else { return true };
        self.own[upstream] -= 1;
        if matches!(result, AttemptResult::Full | AttemptResult::Unreachable) {
            self.pause[upstream] = Some(now + PAUSE);
            self.queues[upstream].push_front(id);
            return false;
        }
        self.running.remove(&id);
        true
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.pause.iter().flatten().copied().filter(|end| *end > now).min()
    }
}
