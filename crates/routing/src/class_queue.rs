use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests of one class: start-time fair queueing between teams by slot time and weight, first in
/// first out within a team.
///
/// Tags are kept per team and not per request, so that a request can leave from the middle in
/// logarithmic time. Virtual time is in nanoseconds of slot time per unit of weight.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    now: u64,
    /// Highest finish tag that was assigned.
    horizon: u64,
    /// Requests that were taken and not settled.
    running: usize,
    activations: u64,
    length: usize,
    /// Sum of the expected service of all requests.
    work: Duration,
    /// Index of each team in `flows`.
    names: BTreeMap<String, usize>,
    flows: Vec<Flow>,
    /// Unused places in `flows`.
    spare: Vec<usize>,
    /// Teams with requests, by start tag, then by the order in which they became active.
    ready: BTreeSet<(u64, u64, usize)>,
}

/// Requests of one team.
#[derive(Debug, Default)]
struct Flow {
    weight: u32,
    /// Virtual time at which the team has used up its dispatched slot time.
    finish: u64,
    /// Key in `ready` while requests wait.
    tag: Option<(u64, u64)>,
    work: Duration,
    /// Requests in order of submission.
    waiting: BTreeMap<u64, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    cost: Duration,
}

impl ClassQueue {
    /// Adds request `id` of `team`, which expects a service of `cost`. A request that returns keeps
    /// its `order` and with it its place in the team.
    pub fn push(&mut self, team: &str, weight: u32, order: u64, id: u64, cost: Duration) {
        if self.length == 0 && self.running == 0 {
            // A new busy period starts: past use no longer counts.
            self.now = self.horizon;
        }
        let index = self.index(team);
        let flow = &mut self.flows[index];
        flow.weight = weight.max(1);
        flow.waiting.insert(order, Waiting { id, cost });
        flow.work += cost;
        self.length += 1;
        self.work += cost;
        if flow.tag.is_none() {
            self.activations += 1;
            let start = flow.finish.max(self.now);
            flow.tag = Some((start, self.activations));
            self.ready.insert((start, self.activations, index));
        }
    }

    fn index(&mut self, team: &str) -> usize {
        if let Some(index) = self.names.get(team) {
            return *index;
        }
        let index = self.spare.pop().unwrap_or_else(|| {
            self.flows.push(Flow::default());
            self.flows.len() - 1
        });
        self.names.insert(team.to_owned(), index);
        index
    }

    /// Returns the id of the request that `pop` would take.
    pub fn peek(&self) -> Option<u64> {
        let (_, _, index) = self.ready.first()?;
        let (_, head) = self.flows[*index].waiting.first_key_value()?;
        Some(head.id)
    }

    /// Takes the next request and charges its expected service to its team.
    pub fn pop(&mut self) -> Option<u64> {
        let (start, activation, index) = self.ready.pop_first()?;
        let flow = &mut self.flows[index];
        let (_, head) = flow.waiting.pop_first()?;
        self.length -= 1;
        self.work = self.work.saturating_sub(head.cost);
        flow.work = flow.work.saturating_sub(head.cost);
        self.now = self.now.max(start);
        flow.finish = start + virtual_cost(head.cost, flow.weight);
        self.horizon = self.horizon.max(flow.finish);
        self.running += 1;
        flow.tag = None;
        if !flow.waiting.is_empty() {
            flow.tag = Some((flow.finish, activation));
            self.ready.insert((flow.finish, activation, index));
        }
        Some(head.id)
    }

    /// Removes a request from the middle; returns whether it was there.
    pub fn remove(&mut self, team: &str, order: u64) -> bool {
        let Some(index) = self.names.get(team).copied() else { return false };
        let flow = &mut self.flows[index];
        let Some(gone) = flow.waiting.remove(&order) else { return false };
        self.length -= 1;
        self.work = self.work.saturating_sub(gone.cost);
        flow.work = flow.work.saturating_sub(gone.cost);
        if flow.waiting.is_empty()
            && let Some((start, activation)) = flow.tag.take()
        {
            self.ready.remove(&(start, activation, index));
        }
        true
    }

    /// Replaces the `charged` slot time of a request that was taken by the `actual` one. Every taken
    /// request is settled once.
    pub fn settle(&mut self, team: &str, charged: Duration, actual: Duration) {
        self.running = self.running.saturating_sub(1);
        let Some(index) = self.names.get(team).copied() else { return };
        let flow = &mut self.flows[index];
        let charged = virtual_cost(charged, flow.weight);
        let actual = virtual_cost(actual, flow.weight);
        let shift = |tag: u64| tag.saturating_sub(charged) + actual;
        flow.finish = shift(flow.finish);
        self.horizon = self.horizon.max(flow.finish);
        if let Some((start, activation)) = flow.tag {
            self.ready.remove(&(start, activation, index));
            flow.tag = Some((shift(start), activation));
            self.ready.insert((shift(start), activation, index));
        }
    }

    /// Forgets idle teams whose past use no longer matters.
    pub fn trim(&mut self) {
        let (now, flows, spare) = (self.now, &mut self.flows, &mut self.spare);
        self.names.retain(|_, index| {
            let keep = !flows[*index].waiting.is_empty() || flows[*index].finish > now;
            if !keep {
                flows[*index] = Flow::default();
                spare.push(*index);
            }
            keep
        });
    }

    /// Returns the expected work that is served before a new request of `team`: its own queue, and
    /// of every other team that waits what that team's weight entitles it to meanwhile, if its queue
    /// lasts. `steady` says that queues are refilled as fast as they are served.
    pub fn work_ahead(&self, team: &str, weight: u32, cost: Duration, steady: bool) -> Duration {
        let index = self.names.get(team).copied();
        let own = index.map(|index| &self.flows[index]);
        let work = own.map_or(Duration::ZERO, |flow| flow.work);
        let start = own.map_or(0, |flow| flow.tag.map_or(flow.finish, |(start, _)| start));
        let turn = start.max(self.now).saturating_add(virtual_cost(work + cost, weight));
        let others = self.ready.iter().take_while(|(start, ..)| *start < turn);
        let others: Duration = others
            .filter(|(_, _, other)| Some(*other) != index)
            .map(|(start, _, other)| {
                let flow = &self.flows[*other];
                let share = (turn - start).saturating_mul(u64::from(flow.weight));
                let share = Duration::from_nanos(share);
                if steady { share } else { flow.work.min(share) }
            })
            .sum();
        work + others
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the sum of the expected service of all requests.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Returns the teams that have requests here, in order of name, and how many each has.
    pub fn teams(&self) -> impl Iterator<Item = (&str, usize)> {
        self.names
            .iter()
            .map(|(team, index)| (team.as_str(), self.flows[*index].waiting.len()))
            .filter(|(_, waiting)| *waiting > 0)
    }
}

fn virtual_cost(cost: Duration, weight: u32) -> u64 {
    // At least 1 us, so that requests without an estimate still take turns.
    let nanos = u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX).max(1_000);
    nanos / u64::from(weight.max(1))
}
