use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_routing::AttemptResult;

use super::{Act, Policy, Scenario};

/// Pause before an upstream that was full is tried again.
const PAUSE: Duration = Duration::from_millis(10);

/// Baseline: one first-in-first-out queue per entry without refusals, upstreams in turn. An attempt
/// that failed goes back to the head.
pub struct Fifo {
    queue: VecDeque<u64>,
    own: Vec<u32>,
    pause: Vec<Option<Instant>>,
    slots: u32,
    turn: usize,
    running: HashMap<u64, (u32, usize)>,
}

impl Fifo {
    /// Returns an empty queue in front of idle upstreams.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            queue: VecDeque::new(),
            own: vec![0; scenario.upstreams],
            pause: vec![None; scenario.upstreams],
            slots: scenario.slots,
            turn: 0,
            running: HashMap::new(),
        }
    }

    fn next_upstream(&mut self, now: Instant) -> Option<usize> {
        let count = self.own.len();
        let free = |upstream: &usize| {
            self.own[*upstream] < self.slots && self.pause[*upstream].is_none_or(|end| end <= now)
        };
        let upstream = (self.turn..self.turn + count).map(|turn| turn % count).find(free)?;
        self.turn = upstream + 1;
        Some(upstream)
    }
}

impl Policy for Fifo {
    fn submit(&mut self, id: u64, _: usize, _: usize, _: Instant) -> bool {
        self.queue.push_back(id);
        true
    }

    fn poll(&mut self, now: Instant) -> Vec<Act> {
        let mut acts = Vec::new();
        while !self.queue.is_empty() {
            let Some(upstream) = self.next_upstream(now) else { break };
            let Some(id) = self.queue.pop_front() else { break };
            self.own[upstream] += 1;
            let running = self.running.entry(id).or_default();
            *running = (running.0 + 1, upstream);
            acts.push(Act::Send { id, attempt: running.0, upstream });
        }
        acts
    }

    fn on_result(&mut self, id: u64, _: u32, result: AttemptResult, now: Instant) -> bool {
        let Some((_, upstream)) = self.running.get(&id).copied() else { return true };
        self.own[upstream] -= 1;
        if matches!(result, AttemptResult::Full | AttemptResult::Unreachable) {
            self.pause[upstream] = Some(now + PAUSE);
            self.queue.push_front(id);
            return false;
        }
        self.running.remove(&id);
        true
    }

    fn on_report(&mut self, _: usize, _: u32, _: Instant) {}

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.pause.iter().flatten().copied().filter(|end| *end > now).min()
    }
}
