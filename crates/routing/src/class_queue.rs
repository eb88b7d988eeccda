use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Queue of the requests of one class: start-time fair queueing of slot time between teams by
/// weight, and first in, first out within a team.
///
/// Tags are kept per team and not per request, so that a request can be removed from any position
/// in logarithmic time. Virtual time is measured in nanoseconds of slot time per unit of weight.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    virtual_time: u64,
    /// Highest finish tag assigned so far.
    highest_finish: u64,
    /// Number of dispatched requests whose charge has not been corrected.
    running: usize,
    /// Number of times that a team became active; breaks ties between equal start tags.
    activations: u64,
    length: usize,
    /// Sum of the expected service times of all waiting requests.
    work: Duration,
    /// Index of each team in `flows`.
    flow_indices: BTreeMap<String, usize>,
    flows: Vec<Flow>,
    /// Indices of unused elements of `flows`.
    free_indices: Vec<usize>,
    /// Teams with waiting requests, as start tag, activation number and index in `flows`.
    active: BTreeSet<(u64, u64, usize)>,
}

/// Waiting requests of one team and its virtual time.
#[derive(Debug, Default)]
struct Flow {
    weight: u32,
    /// Virtual time at which the slot time of the team's dispatched requests ends.
    finish_tag: u64,
    /// Start tag and activation number in `active` while requests wait.
    active_key: Option<(u64, u64)>,
    work: Duration,
    /// Waiting requests by submission number.
    waiting: BTreeMap<u64, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    expected_service: Duration,
}

impl ClassQueue {
    /// Adds request `id` of `team`. A request that returns to the queue keeps its `submission`
    /// number and therefore its position among the team's requests.
    pub fn push(
        &mut self,
        team: &str,
        weight: u32,
        submission: u64,
        id: u64,
        expected_service: Duration,
    ) {
        if self.length == 0 && self.running == 0 {
            // A new busy period starts, in which earlier usage does not count.
            self.virtual_time = self.highest_finish;
        }
        let index = self.flow_index(team);
        let flow = &mut self.flows[index];
        flow.weight = weight.max(1);
        flow.waiting.insert(submission, Waiting { id, expected_service });
        flow.work += expected_service;
        self.length += 1;
        self.work += expected_service;
        if flow.active_key.is_none() {
            self.activations += 1;
            let start = flow.finish_tag.max(self.virtual_time);
            flow.active_key = Some((start, self.activations));
            self.active.insert((start, self.activations, index));
        }
    }

    /// Returns the index of a team in `flows`, adding the team if necessary.
    fn flow_index(&mut self, team: &str) -> usize {
        if let Some(index) = self.flow_indices.get(team) {
            return *index;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.flows.push(Flow::default());
            self.flows.len() - 1
        });
        self.flow_indices.insert(team.to_owned(), index);
        index
    }

    /// Returns the id of the request that `pop` would return.
    pub fn peek(&self) -> Option<u64> {
        let (_, _, index) = self.active.first()?;
        let (_, head) = self.flows[*index].waiting.first_key_value()?;
        Some(head.id)
    }

    /// Removes the next request, charges its expected service time to its team and returns its id.
    pub fn pop(&mut self) -> Option<u64> {
        let (start, activation, index) = self.active.pop_first()?;
        let flow = &mut self.flows[index];
        let (_, head) = flow.waiting.pop_first()?;
        self.length -= 1;
        self.work = self.work.saturating_sub(head.expected_service);
        flow.work = flow.work.saturating_sub(head.expected_service);
        self.virtual_time = self.virtual_time.max(start);
        flow.finish_tag = start + virtual_duration(head.expected_service, flow.weight);
        self.highest_finish = self.highest_finish.max(flow.finish_tag);
        self.running += 1;
        flow.active_key = None;
        if !flow.waiting.is_empty() {
            flow.active_key = Some((flow.finish_tag, activation));
            self.active.insert((flow.finish_tag, activation, index));
        }
        Some(head.id)
    }

    /// Removes a request from any position; returns false if it is not in the queue.
    pub fn remove(&mut self, team: &str, submission: u64) -> bool {
        let Some(index) = self.flow_indices.get(team).copied() else { return false };
        let flow = &mut self.flows[index];
        let Some(removed) = flow.waiting.remove(&submission) else { return false };
        self.length -= 1;
        self.work = self.work.saturating_sub(removed.expected_service);
        flow.work = flow.work.saturating_sub(removed.expected_service);
        if flow.waiting.is_empty()
            && let Some((start, activation)) = flow.active_key.take()
        {
            self.active.remove(&(start, activation, index));
        }
        true
    }

    /// Replaces the `charged` slot time of a dispatched request by the `actual` one. Must be called
    /// once for every request returned by `pop`.
    pub fn correct_charge(&mut self, team: &str, charged: Duration, actual: Duration) {
        self.running = self.running.saturating_sub(1);
        let Some(index) = self.flow_indices.get(team).copied() else { return };
        let flow = &mut self.flows[index];
        let charged = virtual_duration(charged, flow.weight);
        let actual = virtual_duration(actual, flow.weight);
        let corrected = |tag: u64| tag.saturating_sub(charged) + actual;
        flow.finish_tag = corrected(flow.finish_tag);
        self.highest_finish = self.highest_finish.max(flow.finish_tag);
        if let Some((start, activation)) = flow.active_key {
            self.active.remove(&(start, activation, index));
            flow.active_key = Some((corrected(start), activation));
            self.active.insert((corrected(start), activation, index));
        }
    }

    /// Removes teams without waiting requests whose earlier usage no longer affects the order.
    pub fn remove_idle_teams(&mut self) {
        let (virtual_time, flows, free_indices) =
            (self.virtual_time, &mut self.flows, &mut self.free_indices);
        self.flow_indices.retain(|_, index| {
            let keep = !flows[*index].waiting.is_empty() || flows[*index].finish_tag > virtual_time;
            if !keep {
                flows[*index] = Flow::default();
                free_indices.push(*index);
            }
            keep
        });
    }

    /// Returns the expected work that is served before a new request of `team`: that of the team's
    /// own queue, plus for every other team with waiting requests the share that its weight
    /// entitles it to during that time, limited to its queue. With `standing`, queues are refilled
    /// as fast as they are served, so that the limit does not apply.
    pub fn work_ahead(
        &self,
        team: &str,
        weight: u32,
        expected_service: Duration,
        standing: bool,
    ) -> Duration {
        let index = self.flow_indices.get(team).copied();
        let own = index.map(|index| &self.flows[index]);
        let work = own.map_or(Duration::ZERO, |flow| flow.work);
        let start =
            own.map_or(0, |flow| flow.active_key.map_or(flow.finish_tag, |(start, _)| start));
        let finish_tag = start
            .max(self.virtual_time)
            .saturating_add(virtual_duration(work + expected_service, weight));
        let others = self.active.iter().take_while(|(start, ..)| *start < finish_tag);
        let others: Duration = others
            .filter(|(_, _, other)| Some(*other) != index)
            .map(|(start, _, other)| {
                let flow = &self.flows[*other];
                let share = (finish_tag - start).saturating_mul(u64::from(flow.weight));
                let share = Duration::from_nanos(share);
                if standing { share } else { flow.work.min(share) }
            })
            .sum();
        work + others
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns the sum of the expected service times of all waiting requests.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Returns the teams with waiting requests, in order of name, and the number of their requests.
    pub fn teams(&self) -> impl Iterator<Item = (&str, usize)> {
        self.flow_indices
            .iter()
            .map(|(team, index)| (team.as_str(), self.flows[*index].waiting.len()))
            .filter(|(_, waiting)| *waiting > 0)
    }
}

/// Returns the virtual time that a team of the given weight uses by a request.
fn virtual_duration(service: Duration, weight: u32) -> u64 {
    // At least 1 us, so that teams also alternate if the service time is not yet known.
    let nanos = u64::try_from(service.as_nanos()).unwrap_or(u64::MAX).max(1_000);
    nanos / u64::from(weight.max(1))
}
