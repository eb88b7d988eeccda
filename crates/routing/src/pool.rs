use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use skylarkpulley_tables::Pool;

use crate::class_queue::ClassQueue;
use crate::estimate::Estimate;
use crate::health::HealthStage;
use crate::member::Member;
use crate::members::Members;
use crate::request::{Pending, Stage};
use crate::{ClassView, MemberState, MemberView, PoolView, RoutingSettings};

/// Number of classes.
pub(crate) const CLASSES: usize = 10;

/// Queues and upstreams of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub members: Members,
    pub service: Estimate,
    /// Weights of the teams that may use the pool.
    pub weights: BTreeMap<String, u32>,
    classes: [ClassQueue; CLASSES],
    /// When each class was last served in order of priority, or became non-empty.
    served: [Instant; CLASSES],
    /// When each class was last served because it was starved.
    aged: [Instant; CLASSES],
    /// Dispatches since the last one for a starved class.
    since_aged: u32,
    /// Waiting requests by the time at which they can no longer meet their deadline.
    expiries: BTreeSet<(Instant, u64)>,
}

impl PoolState {
    /// Returns a pool without upstreams, teams and slots.
    pub fn new(now: Instant) -> Self {
        let mut members = Members::default();
        members.set_mean(Duration::ZERO);
        Self {
            members,
            service: Estimate::default(),
            weights: BTreeMap::new(),
            classes: Default::default(),
            served: [now; CLASSES],
            aged: [now; CLASSES],
            since_aged: 0,
            expiries: BTreeSet::new(),
        }
    }

    /// Takes limits and weights from the table; `None` when the pool was removed from it.
    pub fn apply(&mut self, pool: Option<&Pool>) {
        let (slots, connections) = pool.map_or((0, 0), |pool| (pool.slots, pool.connections));
        self.members.set_limits(slots, connections);
        let teams = pool.map_or(&[][..], |pool| &pool.teams);
        self.weights = teams.iter().map(|team| (team.name.clone(), team.weight)).collect();
        self.classes.iter_mut().for_each(ClassQueue::trim);
    }

    /// Adds a request to the queue of its class.
    pub fn push(&mut self, id: u64, request: &mut Pending, expiry: Instant, now: Instant) {
        let class = usize::from(request.class);
        if self.classes[class].len() == 0 {
            self.served[class] = now;
        }
        let weight = self.weights.get(&request.team).copied().unwrap_or(1);
        self.classes[class].push(&request.team, weight, request.order, id, request.cost);
        self.expiries.insert((expiry, id));
        request.stage = Stage::Queued { expiry };
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: u64, request: &Pending) {
        let Stage::Queued { expiry } = request.stage else { return };
        self.classes[usize::from(request.class)].remove(&request.team, request.order);
        self.expiries.remove(&(expiry, id));
    }

    /// Returns the class whose turn it is and whether it is served because it is starved.
    pub fn next_class(&self, now: Instant, settings: &RoutingSettings) -> Option<(usize, bool)> {
        let first = (0..CLASSES).find(|class| self.classes[*class].len() > 0)?;
        if self.since_aged + 1 < settings.aged_share {
            return Some((first, false));
        }
        let starved = (first + 1..CLASSES)
            .filter(|class| self.classes[*class].len() > 0)
            .filter(|class| now.saturating_duration_since(self.served[*class]) > settings.ageing)
            .min_by_key(|class| self.aged[*class].max(self.served[*class]));
        Some(starved.map_or((first, false), |class| (class, true)))
    }

    /// Returns the request that is next in `class`.
    pub fn peek(&self, class: usize) -> Option<u64> {
        self.classes[class].peek()
    }

    /// Takes the next request of `class`, which waited as `request` says.
    pub fn pop(&mut self, class: usize, aged: bool, request: &Pending, now: Instant) {
        let Some(id) = self.classes[class].pop() else { return };
        if let Stage::Queued { expiry } = request.stage {
            self.expiries.remove(&(expiry, id));
        }
        if aged {
            self.aged[class] = now;
            self.since_aged = 0;
        } else {
            self.served[class] = now;
            self.since_aged = self.since_aged.saturating_add(1);
        }
    }

    /// Replaces the slot time that was charged for an attempt by the actual one.
    pub fn settle(&mut self, request: &Pending, actual: Duration) {
        let queue = &mut self.classes[usize::from(request.class)];
        queue.settle(&request.team, request.cost, actual);
    }

    /// Returns the id of a request that expires at or before `now`.
    pub fn expired(&self, now: Instant) -> Option<u64> {
        self.expiries.first().filter(|(expiry, _)| *expiry <= now).map(|(_, id)| *id)
    }

    /// Returns the expected wait of a new request, or `None` if no upstream is in use.
    pub fn wait(
        &self,
        class: u8,
        team: &str,
        cost: Duration,
        now: Instant,
        settings: &RoutingSettings,
    ) -> Option<Duration> {
        let capacity = self.members.capacity(now, settings);
        if capacity == 0 {
            return None;
        }
        let class = usize::from(class);
        let weight = self.weights.get(team).copied().unwrap_or(1);
        let higher: Duration = self.classes[..class].iter().map(ClassQueue::work).sum();
        let ahead = higher + self.classes[class].work_ahead(team, weight, cost);
        let mean = self.service.mean().unwrap_or(Duration::ZERO);
        let free = self.members.free(now, settings);
        let blocked = ahead.saturating_sub(mean * free);
        if free > 0 && blocked.is_zero() {
            return Some(Duration::ZERO);
        }
        // The running attempts free one slot in about the mean service over the slots.
        Some((blocked + mean) / capacity)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.expiries.len()
    }

    /// Returns when `poll` next has something to do for this pool, if no event comes first.
    pub fn next_wake(&self, now: Instant, settings: &RoutingSettings) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(expiry, _)| *expiry);
        let member = self.members.next_wake(self.waiting() > 0, now, settings);
        expiry.into_iter().chain(member).min()
    }

    /// Returns the state for status output.
    pub fn view(&self, name: &str, now: Instant, settings: &RoutingSettings) -> PoolView {
        let classes = self.classes.iter().enumerate().filter(|(_, queue)| queue.len() > 0);
        PoolView {
            name: name.to_owned(),
            capacity: self.members.capacity(now, settings),
            classes: classes.map(|(class, queue)| class_view(class, queue)).collect(),
            members: self
                .members
                .members
                .values()
                .map(|member| member_view(member, now, settings))
                .collect(),
        }
    }
}

fn class_view(class: usize, queue: &ClassQueue) -> ClassView {
    ClassView {
        class: class as u8,
        waiting: queue.len(),
        work: queue.work(),
        teams: queue.teams().map(|(team, count)| (team.to_owned(), count)).collect(),
    }
}

fn member_view(member: &Member, now: Instant, settings: &RoutingSettings) -> MemberView {
    let state = match member.health.stage {
        _ if !member.open || now >= member.silent_at(settings) => MemberState::Silent,
        _ if !member.serving => MemberState::Leaving,
        HealthStage::Healthy => MemberState::Serving,
        HealthStage::Ejected { until } => {
            MemberState::Ejected(until.saturating_duration_since(now))
        }
        HealthStage::Probing { .. } => MemberState::Probing,
    };
    MemberView {
        agent: member.agent.clone(),
        domain: member.domain.clone(),
        state,
        own: member.own,
        others: member.others,
        errors: member.health.errors,
        latency: member.health.latency,
        ejections: member.health.ejections,
    }
}
