use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_tables::Tables;

use crate::class_queue::ClassQueue;
use crate::estimate::Estimate;
use crate::health::HealthStage;
use crate::member::Member;
use crate::members::Members;
use crate::request::{Pending, Stage};
use crate::{ClassView, MemberState, MemberView, PoolView, RoutingSettings};

/// Number of classes.
pub(crate) const CLASSES: usize = 10;

/// Time over which the slot time of each class is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Least slot time that a dispatch counts for, so that classes without an estimate take turns.
const COST_MIN: Duration = Duration::from_millis(1);

/// Queues and upstreams of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub members: Members,
    settings: Arc<RoutingSettings>,
    pub service: Estimate,
    /// Weights of the teams that may use the pool.
    pub weights: BTreeMap<String, u32>,
    /// Most urgent class among the pool's routes, if there are several.
    urgent: Option<u8>,
    classes: [ClassQueue; CLASSES],
    /// When each class was last served in order of priority, or first waited after a break.
    served: [Instant; CLASSES],
    /// When each class was last served because it was starved.
    aged: [Instant; CLASSES],
    /// Slot time that goes to classes in order of priority before a starved one has its next turn.
    aged_debt: Duration,
    /// Since when each class has had waiting requests without a break.
    filled: [Instant; CLASSES],
    /// When each class last ran out of waiting requests.
    emptied: [Instant; CLASSES],
    /// Slots that each class used lately, as of `rated`.
    rates: [f64; CLASSES],
    rated: Instant,
    /// Waiting requests by the time at which they can no longer meet their deadline.
    expiries: BTreeSet<(Instant, u64)>,
}

impl PoolState {
    /// Returns a pool without upstreams, teams and slots.
    pub fn new(settings: &Arc<RoutingSettings>, rng: Rng, now: Instant) -> Self {
        Self {
            members: Members::new(settings, rng),
            settings: settings.clone(),
            service: Estimate::default(),
            weights: BTreeMap::new(),
            urgent: None,
            classes: Default::default(),
            served: [now; CLASSES],
            aged: [now; CLASSES],
            aged_debt: Duration::ZERO,
            filled: [now; CLASSES],
            emptied: [now; CLASSES],
            rates: [0.0; CLASSES],
            rated: now,
            expiries: BTreeSet::new(),
        }
    }

    /// Takes limits, weights and classes from the tables; without slots if the pool was removed.
    pub fn apply(&mut self, name: &str, tables: &Tables) {
        let pool = tables.pool(name);
        let routes = tables.routes.iter().filter(|route| route.pool == name);
        let classes: BTreeSet<u8> = routes.map(|route| route.priority.min(9)).collect();
        self.urgent = classes.first().copied().filter(|_| classes.len() > 1);
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
            let pause = now.saturating_duration_since(self.emptied[class]);
            self.filled[class] = now;
            // A short break, for example because all requests were refused, is no service.
            if pause > self.settings.starvation_timeout {
                self.served[class] = now;
            }
        }
        let weight = self.weights.get(&request.team).copied().unwrap_or(1);
        self.classes[class].push(&request.team, weight, request.order, id, request.cost);
        self.expiries.insert((expiry, id));
        request.stage = Stage::Queued { expiry };
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: u64, request: &Pending, now: Instant) {
        let Stage::Queued { expiry } = request.stage else { return };
        let class = usize::from(request.class);
        self.classes[class].remove(&request.team, request.order);
        self.expiries.remove(&(expiry, id));
        self.note_emptied(class, now);
    }

    fn note_emptied(&mut self, class: usize, now: Instant) {
        if self.classes[class].len() == 0 {
            self.emptied[class] = now;
        }
    }

    /// Returns the class whose turn it is and whether it is served because it is starved.
    pub fn next_class(&self, now: Instant) -> Option<(usize, bool)> {
        let first = (0..CLASSES).find(|class| self.classes[*class].len() > 0)?;
        if !self.aged_debt.is_zero() {
            return Some((first, false));
        }
        let starved = (first + 1..CLASSES)
            .filter(|class| self.classes[*class].len() > 0)
            .filter(|class| {
                now.saturating_duration_since(self.served[*class])
                    > self.settings.starvation_timeout
            })
            .min_by_key(|class| self.aged[*class].max(self.served[*class]));
        Some(starved.map_or((first, false), |class| (class, true)))
    }

    /// Reports whether `class` is the most urgent of several. Its requests try presumed slots of
    /// other entries sooner once they have waited; before, own attempts that end make room.
    pub fn is_urgent(&self, class: usize) -> bool {
        self.urgent.map(usize::from) == Some(class)
    }

    /// Returns the first class with waiting requests and the request that is next in it.
    pub fn head(&self) -> Option<(usize, u64)> {
        (0..CLASSES).find_map(|class| Some((class, self.peek(class)?)))
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
        self.note_emptied(class, now);
        let cost = request.cost.max(COST_MIN);
        self.decay_rates(now);
        self.rates[class] += cost.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        if aged {
            self.aged[class] = now;
            self.aged_debt =
                cost.saturating_mul(self.settings.starved_share_divisor.saturating_sub(1));
        } else {
            self.served[class] = now;
            self.aged_debt = self.aged_debt.saturating_sub(cost);
        }
    }

    fn decay_rates(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.rated).as_secs_f64();
        let factor = (-passed / RATE_WINDOW.as_secs_f64()).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= factor);
        self.rated = now;
    }

    /// Reports whether requests of `class` have waited without a break for over `limit`. Such
    /// a queue only delays what it holds; a shorter one would keep the slots just as busy. The most
    /// urgent of several classes never counts, since it can still gain slots from other entries.
    pub fn is_standing(&self, class: usize, limit: Duration, now: Instant) -> bool {
        let filled = now.saturating_duration_since(self.filled[class]);
        !self.is_urgent(class) && self.classes[class].len() > 0 && filled > limit
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
        &mut self,
        class: u8,
        team: &str,
        cost: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let capacity = self.members.capacity(now);
        if capacity == 0.0 {
            return None;
        }
        let class = usize::from(class);
        let weight = self.weights.get(team).copied().unwrap_or(1);
        let higher: Duration = self.classes[..class].iter().map(ClassQueue::work).sum();
        let long = self.is_standing(class, RATE_WINDOW, now);
        let own = self.classes[class].work_ahead(team, weight, cost, long);
        let mean = self.service.mean().unwrap_or(Duration::ZERO);
        let free = self.members.free(now);
        let blocked = (higher + own).saturating_sub(mean * free);
        if free > 0 && blocked.is_zero() {
            return Some(Duration::ZERO);
        }
        // More urgent requests keep arriving while this one waits, and take their part of the
        // slots. The running attempts free one slot in about the mean service over the slots.
        self.decay_rates(now);
        // While requests wait all slots that can be had are used, so what was used is the capacity.
        let used: f64 = self.rates.iter().sum();
        let capacity = if long { capacity.min(used.max(1.0)) } else { capacity };
        let urgent: f64 = self.rates[..class].iter().sum();
        let by_priority = quotient(blocked + mean, capacity - urgent);
        // A starved class does not wait for more urgent ones, but has only its ageing share.
        let share = capacity / f64::from(self.settings.starved_share_divisor.max(1));
        let served = now.saturating_duration_since(self.served[class]);
        let starved = self.settings.starvation_timeout.saturating_sub(served);
        let by_ageing = starved.saturating_add(quotient(own + mean, share));
        Some(by_priority.min(by_ageing))
    }

    /// Returns when `poll` next has something to do for this pool, if no event comes first.
    /// `urgent` is when the head of the queue was submitted, if its class is urgent.
    pub fn next_wake(&self, urgent: Option<Instant>, now: Instant) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(expiry, _)| *expiry);
        let member = self.members.next_wake(!self.expiries.is_empty(), urgent, now);
        expiry.into_iter().chain(member).min()
    }

    /// Returns the state for status output.
    pub fn view(&self, name: &str, now: Instant) -> PoolView {
        let classes = self.classes.iter().enumerate().filter(|(_, queue)| queue.len() > 0);
        PoolView {
            name: name.to_owned(),
            capacity: self.members.capacity(now),
            classes: classes.map(|(class, queue)| class_view(class, queue)).collect(),
            members: self
                .members
                .members
                .values()
                .map(|member| member_view(member, now, &self.settings))
                .collect(),
        }
    }
}

/// Returns the time in which `slots` do `work`.
fn quotient(work: Duration, slots: f64) -> Duration {
    let seconds = work.as_secs_f64() / slots.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
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
        own_attempts: member.own,
        other_slots: member.others,
        error_rate: member.health.errors,
        latency_ratio: member.health.latency,
        ejections: member.health.ejections,
    }
}
