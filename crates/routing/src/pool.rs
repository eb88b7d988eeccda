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

/// Number of priority classes.
pub(crate) const CLASS_COUNT: usize = 10;

/// Time constant of the average slot usage of each class.
const USAGE_WINDOW: Duration = Duration::from_secs(1);
/// Minimum slot time charged for a dispatch, so that classes also alternate if the service time is
/// not yet known.
const MIN_DISPATCH_COST: Duration = Duration::from_millis(1);

/// Queues and upstreams of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub members: Members,
    settings: Arc<RoutingSettings>,
    pub service_time: Estimate,
    /// Weights of the teams that may use the pool.
    pub weights: BTreeMap<String, u32>,
    /// Most urgent class among the pool's routes, if they have more than one class.
    most_urgent: Option<u8>,
    classes: [ClassQueue; CLASS_COUNT],
    /// Time at which each class was last served in order of priority, or became non-empty again
    /// after a longer time.
    last_prioritised: [Instant; CLASS_COUNT],
    /// Time at which each class was last served because it was starved.
    last_starved: [Instant; CLASS_COUNT],
    /// Slot time that has to be dispatched in order of priority before the next dispatch of a
    /// starved class.
    priority_debt: Duration,
    /// Time since which each class has continuously had waiting requests.
    nonempty_since: [Instant; CLASS_COUNT],
    /// Time at which the queue of each class last became empty.
    emptied_at: [Instant; CLASS_COUNT],
    /// Recent mean number of slots used by each class, as of `usage_updated`.
    slot_usage: [f64; CLASS_COUNT],
    usage_updated: Instant,
    /// Waiting requests by the time after which they can no longer meet their deadline.
    expiries: BTreeSet<(Instant, u64)>,
}

impl PoolState {
    /// Returns a pool without upstreams, teams and slots.
    pub fn new(settings: &Arc<RoutingSettings>, rng: Rng, now: Instant) -> Self {
        Self {
            members: Members::new(settings, rng),
            settings: settings.clone(),
            service_time: Estimate::default(),
            weights: BTreeMap::new(),
            most_urgent: None,
            classes: Default::default(),
            last_prioritised: [now; CLASS_COUNT],
            last_starved: [now; CLASS_COUNT],
            priority_debt: Duration::ZERO,
            nonempty_since: [now; CLASS_COUNT],
            emptied_at: [now; CLASS_COUNT],
            slot_usage: [0.0; CLASS_COUNT],
            usage_updated: now,
            expiries: BTreeSet::new(),
        }
    }

    /// Applies limits, weights and classes from the tables. A pool that was removed has no slots.
    pub fn apply_tables(&mut self, name: &str, tables: &Tables) {
        let pool = tables.pool(name);
        let routes = tables.routes.iter().filter(|route| route.pool == name);
        let classes: BTreeSet<u8> = routes.map(|route| route.priority.min(9)).collect();
        self.most_urgent = classes.first().copied().filter(|_| classes.len() > 1);
        let (slots, connections) = pool.map_or((0, 0), |pool| (pool.slots, pool.connections));
        self.members.set_limits(slots, connections);
        let teams = pool.map_or(&[][..], |pool| &pool.teams);
        self.weights = teams.iter().map(|team| (team.name.clone(), team.weight)).collect();
        self.classes.iter_mut().for_each(ClassQueue::remove_idle_teams);
    }

    /// Adds a request to the queue of its class.
    pub fn push(&mut self, id: u64, request: &mut Pending, expiry: Instant, now: Instant) {
        let class = usize::from(request.class);
        if self.classes[class].len() == 0 {
            let empty_for = now.saturating_duration_since(self.emptied_at[class]);
            self.nonempty_since[class] = now;
            // After a short time without requests, for example because all were refused, the class
            // has still not been served.
            if empty_for > self.settings.starvation_timeout {
                self.last_prioritised[class] = now;
            }
        }
        let weight = self.weights.get(&request.team).copied().unwrap_or(1);
        self.classes[class].push(
            &request.team,
            weight,
            request.submission,
            id,
            request.expected_service,
        );
        self.expiries.insert((expiry, id));
        request.stage = Stage::Queued { expiry };
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, id: u64, request: &Pending, now: Instant) {
        let Stage::Queued { expiry } = request.stage else { return };
        let class = usize::from(request.class);
        self.classes[class].remove(&request.team, request.submission);
        self.expiries.remove(&(expiry, id));
        self.update_emptied_at(class, now);
    }

    /// Records the time if the queue of `class` is empty.
    fn update_emptied_at(&mut self, class: usize, now: Instant) {
        if self.classes[class].len() == 0 {
            self.emptied_at[class] = now;
        }
    }

    /// Returns the class to serve next and whether it is served because it is starved.
    pub fn next_class(&self, now: Instant) -> Option<(usize, bool)> {
        let first = (0..CLASS_COUNT).find(|class| self.classes[*class].len() > 0)?;
        if !self.priority_debt.is_zero() {
            return Some((first, false));
        }
        let starved = (first + 1..CLASS_COUNT)
            .filter(|class| self.classes[*class].len() > 0)
            .filter(|class| {
                now.saturating_duration_since(self.last_prioritised[*class])
                    > self.settings.starvation_timeout
            })
            .min_by_key(|class| self.last_starved[*class].max(self.last_prioritised[*class]));
        Some(starved.map_or((first, false), |class| (class, true)))
    }

    /// Returns whether `class` is the most urgent of several. After a wait, its requests are sent
    /// earlier to slots of other entries that are presumed free; before that, slots become free
    /// when this entry's own attempts end.
    pub fn is_urgent(&self, class: usize) -> bool {
        self.most_urgent.map(usize::from) == Some(class)
    }

    /// Returns the most urgent class with waiting requests and the id of its next request.
    pub fn head(&self) -> Option<(usize, u64)> {
        (0..CLASS_COUNT).find_map(|class| Some((class, self.peek(class)?)))
    }

    /// Returns the id of the next request of `class`.
    pub fn peek(&self, class: usize) -> Option<u64> {
        self.classes[class].peek()
    }

    /// Removes the next request of `class`, which is `request`, and charges its expected service
    /// time. `starved` says that the class is served because it is starved.
    pub fn pop(&mut self, class: usize, starved: bool, request: &Pending, now: Instant) {
        let Some(id) = self.classes[class].pop() else { return };
        if let Stage::Queued { expiry } = request.stage {
            self.expiries.remove(&(expiry, id));
        }
        self.update_emptied_at(class, now);
        let cost = request.expected_service.max(MIN_DISPATCH_COST);
        self.decay_slot_usage(now);
        self.slot_usage[class] += cost.as_secs_f64() / USAGE_WINDOW.as_secs_f64();
        if starved {
            self.last_starved[class] = now;
            self.priority_debt =
                cost.saturating_mul(self.settings.starved_divisor.saturating_sub(1));
        } else {
            self.last_prioritised[class] = now;
            self.priority_debt = self.priority_debt.saturating_sub(cost);
        }
    }

    /// Updates the mean slot usage of all classes to `now`.
    fn decay_slot_usage(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.usage_updated).as_secs_f64();
        let factor = (-elapsed / USAGE_WINDOW.as_secs_f64()).exp();
        self.slot_usage.iter_mut().for_each(|usage| *usage *= factor);
        self.usage_updated = now;
    }

    /// Returns whether `class` has continuously had waiting requests for longer than `limit`. Such
    /// a standing queue only delays its requests; a shorter one would use the slots equally well.
    /// The most urgent of several classes never counts, because it can still obtain slots from
    /// other entries.
    pub fn has_standing_queue(&self, class: usize, limit: Duration, now: Instant) -> bool {
        let nonempty_for = now.saturating_duration_since(self.nonempty_since[class]);
        !self.is_urgent(class) && self.classes[class].len() > 0 && nonempty_for > limit
    }

    /// Replaces the slot time that was charged for an attempt by the actual one, for its team and for
    /// the usage of its class. Otherwise a rise of the service time, as on an overloaded machine,
    /// would make the usage too low, and with it the capacity on which admission counts.
    pub fn correct_charge(&mut self, request: &Pending, actual: Duration, now: Instant) {
        let class = usize::from(request.class);
        self.classes[class].correct_charge(&request.team, request.expected_service, actual);
        self.decay_slot_usage(now);
        let charged = request.expected_service.max(MIN_DISPATCH_COST);
        let difference = actual.as_secs_f64() - charged.as_secs_f64();
        let usage = &mut self.slot_usage[class];
        *usage = (*usage + difference / USAGE_WINDOW.as_secs_f64()).max(0.0);
    }

    /// Returns the id of a request whose expiry is at or before `now`.
    pub fn expired(&self, now: Instant) -> Option<u64> {
        self.expiries.first().filter(|(expiry, _)| *expiry <= now).map(|(_, id)| *id)
    }

    /// Returns the expected waiting time of a new request, or `None` if no upstream is in service.
    pub fn expected_wait(
        &mut self,
        class: u8,
        team: &str,
        expected_service: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let capacity = self.members.capacity(now);
        if capacity == 0.0 {
            return None;
        }
        let class = usize::from(class);
        let weight = self.weights.get(team).copied().unwrap_or(1);
        let more_urgent: Duration = self.classes[..class].iter().map(ClassQueue::work).sum();
        let standing = self.has_standing_queue(class, USAGE_WINDOW, now);
        let own = self.classes[class].work_ahead(team, weight, expected_service, standing);
        let mean = self.service_time.mean().unwrap_or(Duration::ZERO);
        let free_slots = self.members.free_slots(now);
        let blocked = (more_urgent + own).saturating_sub(mean * free_slots);
        if free_slots > 0 && blocked.is_zero() {
            return Some(Duration::ZERO);
        }
        // While this request waits, more urgent ones continue to arrive and use part of the slots.
        // The running attempts free one slot in about the mean service time divided by the slots.
        self.decay_slot_usage(now);
        // While requests wait, all obtainable slots are used, so the recent usage is the capacity.
        let used: f64 = self.slot_usage.iter().sum();
        let capacity = if standing { capacity.min(used.max(1.0)) } else { capacity };
        let urgent_usage: f64 = self.slot_usage[..class].iter().sum();
        let by_priority = time_to_serve(blocked + mean, capacity - urgent_usage);
        // A starved class does not wait for more urgent ones, but receives only a share of the
        // slots.
        let starved_share = capacity / f64::from(self.settings.starved_divisor.max(1));
        let since_service = now.saturating_duration_since(self.last_prioritised[class]);
        let until_starved = self.settings.starvation_timeout.saturating_sub(since_service);
        let by_starvation = until_starved.saturating_add(time_to_serve(own + mean, starved_share));
        Some(by_priority.min(by_starvation))
    }

    /// Returns when `poll` must be called next for this pool if no event occurs first.
    /// `urgent_since` is the submission time of the first waiting request, if its class is the most
    /// urgent of several.
    pub fn next_wake(&self, urgent_since: Option<Instant>, now: Instant) -> Option<Instant> {
        let expiry = self.expiries.first().map(|(expiry, _)| *expiry);
        let member = self.members.next_wake(!self.expiries.is_empty(), urgent_since, now);
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

/// Returns the time in which `slots` slots complete `work`.
fn time_to_serve(work: Duration, slots: f64) -> Duration {
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
        _ if !member.session_open || now >= member.report_deadline(settings) => MemberState::Silent,
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
        own_attempts: member.own_attempts,
        other_slots: member.other_slots,
        error_rate: member.health.error_rate,
        latency_ratio: member.health.latency_ratio,
        ejections: member.health.ejections,
    }
}
