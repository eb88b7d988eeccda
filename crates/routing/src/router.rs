use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_tables::{PoolKind, Route, Tables};
use skylarkpulley_types::{AgentId, Outcome};

use crate::estimate::Estimate;
use crate::members::{Choice, Ended};
use crate::pool::PoolState;
use crate::request::{Pending, Stage};
use crate::retry_budget::RetryBudget;
use crate::{
    Admission, AttemptResult, CancelResult, Decision, Hello, NextAction, Reason, Report, Request,
    RouteView, RouterView, RoutingSettings,
};

/// Admits, orders and routes the requests of one entry.
///
/// After every event, call [`Router::poll`] and carry out its decisions, and call it again at
/// [`Router::next_wake`]. Every submitted request that is not refused ends exactly once: by a
/// [`Decision::End`], a [`NextAction::Ended`] or a [`CancelResult::Ended`].
#[derive(Debug)]
pub struct Router {
    settings: Arc<RoutingSettings>,
    rng: Rng,
    routes: BTreeMap<String, RouteState>,
    pools: BTreeMap<String, PoolState>,
    /// Pool of each agent, by name.
    homes: BTreeMap<String, String>,
    requests: HashMap<u64, Pending>,
    backoffs: BTreeSet<(Instant, u64)>,
    decisions: Vec<Decision>,
    submissions: u64,
}

/// A route and what was observed of it.
#[derive(Debug)]
struct RouteState {
    route: Route,
    service: Estimate,
    budget: RetryBudget,
    /// Waiting requests by team.
    waiting: BTreeMap<String, u32>,
    /// When an attempt was last started, or admitted as a trial.
    tried: Option<Instant>,
}

impl Router {
    /// Returns a router without tables and upstreams. `seed` decides all random choices.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self {
            settings: Arc::new(settings),
            rng: Rng::with_seed(seed),
            routes: BTreeMap::new(),
            pools: BTreeMap::new(),
            homes: BTreeMap::new(),
            requests: HashMap::new(),
            backoffs: BTreeSet::new(),
            decisions: Vec::new(),
            submissions: 0,
        }
    }

    /// Brings new tables into force. Open requests keep the class they were admitted to; waiting
    /// requests whose route is gone end at the next `poll`.
    pub fn apply_tables(&mut self, tables: &Tables, now: Instant) {
        self.routes.retain(|name, _| tables.routes.iter().any(|route| route.name == *name));
        for route in &tables.routes {
            match self.routes.get_mut(&route.name) {
                Some(state) => state.update(route),
                None => {
                    let state = RouteState::new(route, self.settings.retry_burst);
                    self.routes.insert(route.name.clone(), state);
                }
            }
        }
        for pool in tables.pools.iter().filter(|pool| pool.kind == PoolKind::Upstream) {
            self.pools
                .entry(pool.name.clone())
                .or_insert_with(|| PoolState::new(&self.settings, self.rng.fork(), now));
        }
        for (name, pool) in &mut self.pools {
            pool.apply(name, tables);
        }
        let gone = |request: &&mut Pending| !self.routes.contains_key(&request.route);
        let mut orphans: Vec<u64> = Vec::new();
        for (id, request) in &mut self.requests {
            if gone(&request) && !matches!(request.stage, Stage::Running { .. }) {
                orphans.push(*id);
            }
        }
        orphans.sort_unstable();
        for id in orphans {
            self.end_waiting(id, Reason::RouteRemoved, now);
        }
    }

    /// Opens a session of an agent. Returns false, and changes nothing, if the agent's incarnation
    /// or session is not newer than the known one.
    pub fn on_hello(&mut self, hello: &Hello, now: Instant) -> bool {
        let name = &hello.agent.name;
        let home = self.homes.get(name).filter(|home| **home != hello.pool).cloned();
        if let Some(home) = home
            && let Some(pool) = self.pools.get_mut(&home)
            && let Some(member) = pool.members.members.get_mut(name)
        {
            if !member.rejoin(hello, now) {
                return false;
            }
            // Attempts that still run in the old pool are counted there.
            member.open = false;
        }
        let pool = self
            .pools
            .entry(hello.pool.clone())
            .or_insert_with(|| PoolState::new(&self.settings, self.rng.fork(), now));
        if !pool.members.hello(hello, now) {
            return false;
        }
        self.homes.insert(name.clone(), hello.pool.clone());
        self.decisions.push(Decision::Joined { agent: hello.agent.clone() });
        true
    }

    /// Applies a report. Returns false, and changes nothing, if it is late: of an older
    /// incarnation, another session, a closed or silent session, or an earlier sequence number.
    pub fn on_report(
        &mut self,
        agent: &AgentId,
        session: u64,
        report: &Report,
        now: Instant,
    ) -> bool {
        let Some(pool) = home(&self.homes, &mut self.pools, agent) else { return false };
        pool.members.tick(now);
        pool.members.report(agent, session, report, now)
    }

    /// Stops new work for an agent's upstream until a later incarnation of the agent or upstream
    /// serves. Returns false if the agent's incarnation is not the known one.
    pub fn on_leaving(&mut self, agent: &AgentId) -> bool {
        let Some(pool) = home(&self.homes, &mut self.pools, agent) else { return false };
        pool.members.leaving(agent)
    }

    /// Closes a session; its agent gets no new work until it opens another one.
    pub fn on_closed(&mut self, agent: &AgentId, session: u64) -> bool {
        let Some(pool) = home(&self.homes, &mut self.pools, agent) else { return false };
        pool.members.close(agent, session)
    }

    /// Admits a request to its queue or refuses it as not run.
    pub fn submit(&mut self, request: &Request, now: Instant) -> Admission {
        match self.admit(request, now) {
            Ok(wait) => Admission::Queued { wait },
            Err(reason) => Admission::Refused { reason },
        }
    }

    fn admit(&mut self, request: &Request, now: Instant) -> Result<Duration, Reason> {
        if self.requests.contains_key(&request.id) {
            return Err(Reason::DuplicateId);
        }
        let state = self.routes.get_mut(&request.route).ok_or(Reason::UnknownRoute)?;
        let route = &state.route;
        let pool = self.pools.get_mut(&route.pool).ok_or(Reason::NoUpstream)?;
        if !pool.weights.contains_key(&request.team) {
            return Err(Reason::UnknownTeam);
        }
        if state.waiting.get(&request.team).is_some_and(|waiting| *waiting >= route.queue) {
            return Err(Reason::QueueFull);
        }
        let limit = request.deadline.map_or(route.deadline, |limit| limit.min(route.deadline));
        let cost = state.service.mean().or(pool.service.mean()).unwrap_or_default();
        let class = route.priority.min(9);
        let wait = pool.wait(class, &request.team, cost, now).ok_or(Reason::NoUpstream)?;
        let service = state.service.allowance(limit);
        let room = limit.saturating_sub(service);
        let room = if pool.is_standing(class.into(), limit, now) { room / 2 } else { room };
        // A route without attempts for a while lets one request through although its service seems
        // too long: otherwise a wrong estimate would never be corrected.
        let trial = state.service.mean().is_some_and(|mean| mean >= limit)
            && wait < limit
            && state.tried.is_none_or(|last| now >= last + self.settings.trial_interval);
        if trial {
            state.tried = Some(now);
        } else if wait > room || service > limit {
            return Err(Reason::WaitTooLong);
        }
        let deadline = now + limit;
        let expiry = if trial { deadline } else { deadline - service };
        self.submissions += 1;
        let mut pending = Pending {
            route: request.route.clone(),
            pool: route.pool.clone(),
            team: request.team.clone(),
            class,
            idempotent: route.idempotent,
            order: self.submissions,
            submitted: now,
            deadline,
            cost,
            trial,
            attempts: 0,
            dispatch: 0,
            fallback: Outcome::NotRun,
            avoid: None,
            cancelled: false,
            stage: Stage::Queued { expiry },
        };
        pool.push(request.id, &mut pending, expiry, now);
        *state.waiting.entry(request.team.clone()).or_default() += 1;
        self.requests.insert(request.id, pending);
        Ok(wait)
    }

    /// Ends a waiting request whose caller went away. A running attempt is not interrupted; its
    /// result ends the request without a retry.
    pub fn cancel(&mut self, id: u64, now: Instant) -> CancelResult {
        let Some(request) = self.requests.get_mut(&id) else { return CancelResult::Unknown };
        if let Stage::Running { .. } = request.stage {
            request.cancelled = true;
            return CancelResult::Running;
        }
        let outcome = request.fallback;
        self.remove_waiting(id, now);
        CancelResult::Ended(outcome)
    }

    /// Applies everything that is due at `now` and returns the decisions since the last call.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        while let Some((until, id)) = self.backoffs.first().copied()
            && until <= now
        {
            self.backoffs.pop_first();
            self.requeue(id, now);
        }
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in &names {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.members.tick(now);
                self.decisions.extend(pool.members.take_events());
            }
            while self.dispatch(name, now) {}
            self.expire(name, now);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Dispatches or ends one request of a pool; returns false when nothing more can be done.
    fn dispatch(&mut self, name: &str, now: Instant) -> bool {
        let Some(pool) = self.pools.get_mut(name) else { return false };
        let Some((class, aged)) = pool.next_class(now) else { return false };
        let Some(id) = pool.peek(class) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let route = self.routes.get_mut(&request.route);
        if now > request.expiry(route.as_deref()) {
            self.end_waiting(id, Reason::DeadlineUnmeetable, now);
            return true;
        }
        let avoid = request.avoid.as_deref();
        let idempotent = request.idempotent;
        let urgent = pool.is_urgent(class).then_some(request.submitted);
        let choice = pool.members.choose(idempotent, urgent, avoid, now);
        let Some(Choice { agent, probe, reason }) = choice else { return false };
        pool.pop(class, aged, request, now);
        pool.members.start(&agent);
        request.dispatch += 1;
        request.attempts += 1;
        if let Some(route) = route {
            route.leave(&request.team);
            route.tried = Some(now);
            if request.attempts == 1 {
                route.budget.deposit();
            }
        }
        request.stage = Stage::Running { agent: agent.clone(), started: now, probe };
        self.decisions.push(Decision::Dispatch {
            id,
            agent,
            attempt: request.dispatch,
            waited: now.saturating_duration_since(request.submitted),
            budget: request.deadline.saturating_duration_since(now),
            reason,
        });
        true
    }

    /// Ends requests that can no longer meet their deadline. Those whose estimate fell since they
    /// were queued wait on.
    fn expire(&mut self, name: &str, now: Instant) {
        while let Some(pool) = self.pools.get_mut(name)
            && let Some(id) = pool.expired(now)
        {
            let Some(request) = self.requests.get_mut(&id) else { return };
            let expiry = request.expiry(self.routes.get(&request.route));
            if expiry <= now {
                self.end_waiting(id, Reason::DeadlineUnmeetable, now);
                continue;
            }
            pool.remove(id, request, now);
            pool.push(id, request, expiry, now);
        }
    }

    /// Applies the result of attempt number `attempt` of a request.
    pub fn on_result(
        &mut self,
        id: u64,
        attempt: u32,
        result: AttemptResult,
        now: Instant,
    ) -> NextAction {
        let Some(request) = self.requests.get_mut(&id) else { return NextAction::Ignored };
        let Stage::Running { agent, started, probe } = &request.stage else {
            return NextAction::Ignored;
        };
        if request.dispatch != attempt {
            return NextAction::Ignored;
        }
        let elapsed = now.saturating_duration_since(*started);
        let route = self.routes.get_mut(&request.route);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let expected = route.as_ref().and_then(|route| route.service.mean());
            let ended = Ended { agent, attempt: result, elapsed, expected, probe: *probe };
            pool.members.finish(&ended, now);
            let used = match result {
                AttemptResult::Full | AttemptResult::Leaving | AttemptResult::Withdrawn => {
                    Duration::ZERO
                }
                _ => elapsed,
            };
            pool.settle(request, used);
            observe(&mut pool.service, result, elapsed);
            if let Some(mean) = pool.service.mean() {
                pool.members.set_mean(mean);
            }
        }
        if let Some(route) = route {
            observe(&mut route.service, result, elapsed);
        }
        request.avoid = Some(agent.name.clone());
        self.follow_up(id, result, now)
    }

    fn follow_up(&mut self, id: u64, result: AttemptResult, now: Instant) -> NextAction {
        let Some(request) = self.requests.get_mut(&id) else { return NextAction::Ignored };
        let (reason, safe) = match result {
            AttemptResult::Answered => return self.end(id, Outcome::Answered, Reason::Answered),
            AttemptResult::Withdrawn => {
                let outcome = request.fallback;
                return self.end(id, outcome, Reason::Withdrawn);
            }
            AttemptResult::Full => (Reason::Full, true),
            AttemptResult::Leaving => (Reason::UpstreamLeaving, true),
            AttemptResult::Unreachable => (Reason::Unreachable, true),
            AttemptResult::Errored => {
                request.fallback = Outcome::Answered;
                (Reason::ServerError, request.idempotent)
            }
            AttemptResult::Unknown => {
                if request.fallback == Outcome::NotRun {
                    request.fallback = Outcome::Unknown;
                }
                (Reason::OutcomeUnknown, request.idempotent)
            }
        };
        let outcome = request.fallback;
        if request.cancelled {
            return self.end(id, outcome, Reason::Cancelled);
        }
        let Some(route) = self.routes.get_mut(&request.route) else {
            return self.end(id, outcome, Reason::RouteRemoved);
        };
        if !safe {
            return self.end(id, outcome, reason);
        }
        // The agent's arbitration is no failure: the request returns to its place at no charge.
        if matches!(result, AttemptResult::Full | AttemptResult::Leaving) {
            request.attempts -= 1;
            if result == AttemptResult::Full {
                request.avoid = None;
            }
            self.requeue(id, now);
            return NextAction::Requeued { reason };
        }
        if request.attempts >= self.settings.max_attempts {
            return self.end(id, outcome, Reason::AttemptsExhausted);
        }
        let doublings = 2_u32.saturating_pow(request.attempts.saturating_sub(1).min(16));
        let delay = self.settings.initial_backoff.saturating_mul(doublings);
        let delay = delay.min(self.settings.max_backoff).mul_f64(0.5 + self.rng.f64());
        let at = now + delay;
        if at > request.expiry(Some(route)) {
            return self.end(id, outcome, Reason::DeadlineUnmeetable);
        }
        if !route.budget.withdraw() {
            return self.end(id, outcome, Reason::RetryBudgetExhausted);
        }
        request.stage = Stage::Backoff { until: at };
        self.backoffs.insert((at, id));
        NextAction::Retry { at, reason }
    }

    /// Puts a request back into its old place.
    fn requeue(&mut self, id: u64, now: Instant) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(&request.pool) else { return };
        let route = self.routes.get_mut(&request.route);
        let expiry = request.expiry(route.as_deref());
        let mean = route.as_ref().and_then(|route| route.service.mean());
        request.cost = mean.or(pool.service.mean()).unwrap_or_default();
        if let Some(route) = route {
            *route.waiting.entry(request.team.clone()).or_default() += 1;
        }
        pool.push(id, request, expiry, now);
    }

    fn end(&mut self, id: u64, outcome: Outcome, reason: Reason) -> NextAction {
        self.requests.remove(&id);
        NextAction::Ended { outcome, reason }
    }

    fn end_waiting(&mut self, id: u64, reason: Reason, now: Instant) {
        if let Some(request) = self.remove_waiting(id, now) {
            self.decisions.push(Decision::End { id, outcome: request.fallback, reason });
        }
    }

    fn remove_waiting(&mut self, id: u64, now: Instant) -> Option<Pending> {
        let request = self.requests.remove(&id)?;
        match &request.stage {
            Stage::Queued { .. } => {
                if let Some(pool) = self.pools.get_mut(&request.pool) {
                    pool.remove(id, &request, now);
                }
                if let Some(route) = self.routes.get_mut(&request.route) {
                    route.leave(&request.team);
                }
            }
            Stage::Backoff { until } => {
                self.backoffs.remove(&(*until, id));
            }
            Stage::Running { .. } => {}
        }
        Some(request)
    }

    /// Returns when to call `poll` next if no event comes first.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let backoff = self.backoffs.first().map(|(until, _)| *until);
        let urgent = |pool: &PoolState| {
            let (class, id) = pool.head()?;
            let request = self.requests.get(&id)?;
            pool.is_urgent(class).then_some(request.submitted)
        };
        let pools = self.pools.values().filter_map(|pool| pool.next_wake(urgent(pool), now));
        pools.chain(backoff).min()
    }

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the state for status output.
    pub fn snapshot(&self, now: Instant) -> RouterView {
        let pools = self.pools.iter().map(|(name, pool)| pool.view(name, now));
        RouterView {
            pools: pools.collect(),
            routes: self.routes.values().map(RouteState::view).collect(),
        }
    }
}

impl Pending {
    /// Returns the last time at which an attempt can start and still be expected to end in time.
    fn expiry(&self, route: Option<&RouteState>) -> Instant {
        match route {
            Some(state) if !self.trial => {
                let limit = self.deadline.saturating_duration_since(self.submitted);
                self.deadline - state.service.allowance(limit).min(limit)
            }
            _ => self.deadline,
        }
    }
}

impl RouteState {
    fn new(route: &Route, burst: u32) -> Self {
        Self {
            route: route.clone(),
            service: Estimate::default(),
            budget: RetryBudget::new(route.retry_percent, burst),
            waiting: BTreeMap::new(),
            tried: None,
        }
    }

    fn update(&mut self, route: &Route) {
        if self.route.retry_percent != route.retry_percent {
            self.budget.set_percent(route.retry_percent);
        }
        self.route = route.clone();
    }

    /// Counts a request of `team` that no longer waits.
    fn leave(&mut self, team: &str) {
        let Some(waiting) = self.waiting.get_mut(team) else { return };
        *waiting = waiting.saturating_sub(1);
        if *waiting == 0 {
            self.waiting.remove(team);
        }
    }

    fn view(&self) -> RouteView {
        RouteView {
            name: self.route.name.clone(),
            mean_service: self.service.mean(),
            waiting: self.waiting.values().sum(),
            available_retries: self.budget.available(),
        }
    }
}

fn observe(service: &mut Estimate, result: AttemptResult, elapsed: Duration) {
    match result {
        AttemptResult::Answered => service.observe(elapsed),
        // Errors that come back early say nothing about the service; late ones are a lower bound.
        AttemptResult::Errored | AttemptResult::Unknown => service.observe_at_least(elapsed),
        AttemptResult::Full
        | AttemptResult::Leaving
        | AttemptResult::Unreachable
        | AttemptResult::Withdrawn => {}
    }
}

fn home<'a>(
    homes: &BTreeMap<String, String>,
    pools: &'a mut BTreeMap<String, PoolState>,
    agent: &AgentId,
) -> Option<&'a mut PoolState> {
    pools.get_mut(homes.get(&agent.name)?)
}
