use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_tables::{PoolKind, Route, Tables};
use skylarkpulley_types::{AgentId, Outcome};

use crate::estimate::Estimate;
use crate::members::{Choice, FinishedAttempt};
use crate::pool::PoolState;
use crate::request::{Pending, Stage};
use crate::retry_budget::RetryBudget;
use crate::{
    Admission, AttemptResult, CancelResult, Decision, Hello, NextAction, Reason, Report, Request,
    RouteView, RouterView, RoutingSettings,
};

/// Admits, queues and routes the requests of one entry.
///
/// After every event, call [`Router::poll`] and carry out the returned decisions. Without an event,
/// call it at the time returned by [`Router::next_wake`]. Every admitted request ends exactly once:
/// by a [`Decision::End`], a [`NextAction::Ended`] or a [`CancelResult::Ended`].
#[derive(Debug)]
pub struct Router {
    settings: Arc<RoutingSettings>,
    rng: Rng,
    routes: BTreeMap<String, RouteState>,
    pools: BTreeMap<String, PoolState>,
    /// Name of the pool of each agent, by the agent's name.
    pool_names: BTreeMap<String, String>,
    requests: HashMap<u64, Pending>,
    backoffs: BTreeSet<(Instant, u64)>,
    decisions: Vec<Decision>,
    submission_count: u64,
}

/// A route with its statistics and retry budget.
#[derive(Debug)]
struct RouteState {
    route: Route,
    service_time: Estimate,
    retry_budget: RetryBudget,
    /// Number of waiting requests by team.
    waiting: BTreeMap<String, u32>,
    /// Time at which an attempt was last started or a request last admitted as a trial.
    last_attempt: Option<Instant>,
}

impl Router {
    /// Returns a router without tables and upstreams. All random choices are derived from `seed`.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self {
            settings: Arc::new(settings),
            rng: Rng::with_seed(seed),
            routes: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_names: BTreeMap::new(),
            requests: HashMap::new(),
            backoffs: BTreeSet::new(),
            decisions: Vec::new(),
            submission_count: 0,
        }
    }

    /// Applies new tables. Open requests keep the class in which they were admitted. Waiting
    /// requests of removed routes end at the next `poll`.
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
            pool.apply_tables(name, tables);
        }
        let route_removed = |request: &&mut Pending| !self.routes.contains_key(&request.route);
        let mut removed_ids: Vec<u64> = Vec::new();
        for (id, request) in &mut self.requests {
            if route_removed(&request) && !matches!(request.stage, Stage::Running { .. }) {
                removed_ids.push(*id);
            }
        }
        removed_ids.sort_unstable();
        for id in removed_ids {
            self.end_waiting(id, Reason::RouteRemoved, now);
        }
    }

    /// Opens a session of an agent. Returns false, and changes nothing, if the agent's incarnation
    /// and session are not newer than the current ones.
    pub fn on_hello(&mut self, hello: &Hello, now: Instant) -> bool {
        let name = &hello.agent.name;
        let previous_pool = self.pool_names.get(name).filter(|pool| **pool != hello.pool).cloned();
        if let Some(previous_pool) = previous_pool
            && let Some(pool) = self.pools.get_mut(&previous_pool)
            && let Some(member) = pool.members.members.get_mut(name)
        {
            if !member.start_session(hello, now) {
                return false;
            }
            // Attempts that are still running continue to count in the previous pool.
            member.session_open = false;
        }
        let pool = self
            .pools
            .entry(hello.pool.clone())
            .or_insert_with(|| PoolState::new(&self.settings, self.rng.fork(), now));
        if !pool.members.open_session(hello, now) {
            return false;
        }
        self.pool_names.insert(name.clone(), hello.pool.clone());
        self.decisions.push(Decision::Joined { agent: hello.agent.clone() });
        true
    }

    /// Applies a report. Returns false, and changes nothing, if it is outdated: from an older
    /// incarnation, another session or a closed session, with a sequence number that is not higher
    /// than the last one, or from a silent session without a recent sending time.
    pub fn on_report(
        &mut self,
        agent: &AgentId,
        session: u64,
        report: &Report,
        now: Instant,
    ) -> bool {
        let Some(pool) = agent_pool(&self.pool_names, &mut self.pools, agent) else {
            return false;
        };
        pool.members.apply_timeouts(now);
        pool.members.apply_report(agent, session, report, now)
    }

    /// Stops sending new requests to an agent's upstream until a later incarnation of the agent or
    /// upstream is serving. Returns false if the agent's incarnation is not the current one.
    pub fn on_leaving(&mut self, agent: &AgentId) -> bool {
        let Some(pool) = agent_pool(&self.pool_names, &mut self.pools, agent) else {
            return false;
        };
        pool.members.mark_leaving(agent)
    }

    /// Closes a session. The agent receives no new requests until it opens another session. Returns
    /// false if the session is not the current one.
    pub fn on_closed(&mut self, agent: &AgentId, session: u64) -> bool {
        let Some(pool) = agent_pool(&self.pool_names, &mut self.pools, agent) else {
            return false;
        };
        pool.members.close_session(agent, session)
    }

    /// Admits a request to the queue of its class, or refuses it without running it.
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
        let expected_service =
            state.service_time.mean().or(pool.service_time.mean()).unwrap_or_default();
        let class = route.priority.min(9);
        let wait = pool
            .expected_wait(class, &request.team, expected_service, now)
            .ok_or(Reason::NoUpstream)?;
        let service_time = state.service_time.allowance(limit);
        let wait_limit = limit.saturating_sub(service_time);
        let wait_limit = if pool.has_standing_queue(class.into(), limit, now) {
            wait_limit / 2
        } else {
            wait_limit
        };
        // After `trial_interval` without an attempt, a route admits one request although its
        // estimated service time exceeds the deadline. Otherwise a wrong estimate would never be
        // corrected.
        let trial = state.service_time.mean().is_some_and(|mean| mean >= limit)
            && wait < limit
            && state.last_attempt.is_none_or(|last| now >= last + self.settings.trial_interval);
        if trial {
            state.last_attempt = Some(now);
        } else if wait > wait_limit || service_time > limit {
            return Err(Reason::WaitTooLong);
        }
        let deadline = now + limit;
        let expiry = if trial { deadline } else { deadline - service_time };
        self.submission_count += 1;
        let mut pending = Pending {
            route: request.route.clone(),
            pool: route.pool.clone(),
            team: request.team.clone(),
            class,
            idempotent: route.idempotent,
            submission: self.submission_count,
            submitted: now,
            deadline,
            expected_service,
            trial,
            attempts: 0,
            dispatch_number: 0,
            fallback_outcome: Outcome::NotRun,
            avoid_agent: None,
            cancelled: false,
            stage: Stage::Queued { expiry },
        };
        pool.push(request.id, &mut pending, expiry, now);
        *state.waiting.entry(request.team.clone()).or_default() += 1;
        self.requests.insert(request.id, pending);
        Ok(wait)
    }

    /// Ends a waiting request that its caller cancelled. A running attempt is not interrupted; the
    /// request ends with its result, without a retry.
    pub fn cancel(&mut self, id: u64, now: Instant) -> CancelResult {
        let Some(request) = self.requests.get_mut(&id) else { return CancelResult::Unknown };
        if let Stage::Running { .. } = request.stage {
            request.cancelled = true;
            return CancelResult::Running;
        }
        let outcome = request.fallback_outcome;
        self.remove_waiting(id, now);
        CancelResult::Ended(outcome)
    }

    /// Applies all time-outs up to `now`, dispatches requests and returns the decisions since the
    /// last call.
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
                pool.members.apply_timeouts(now);
                self.decisions.extend(pool.members.take_decisions());
            }
            while self.dispatch(name, now) {}
            self.expire(name, now);
        }
        std::mem::take(&mut self.decisions)
    }

    /// Dispatches or ends one request of a pool; returns false if no request can be dispatched.
    fn dispatch(&mut self, name: &str, now: Instant) -> bool {
        let Some(pool) = self.pools.get_mut(name) else { return false };
        let Some((class, starved)) = pool.next_class(now) else { return false };
        let Some(id) = pool.peek(class) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let route = self.routes.get_mut(&request.route);
        if now > request.expiry(route.as_deref()) {
            self.end_waiting(id, Reason::DeadlineUnmeetable, now);
            return true;
        }
        let avoid_agent = request.avoid_agent.as_deref();
        let idempotent = request.idempotent;
        let urgent_since = pool.is_urgent(class).then_some(request.submitted);
        let choice = pool.members.choose(idempotent, urgent_since, avoid_agent, now);
        let Some(Choice { agent, probe, reason }) = choice else { return false };
        pool.pop(class, starved, request, now);
        pool.members.start_attempt(&agent);
        request.dispatch_number += 1;
        request.attempts += 1;
        if let Some(route) = route {
            route.remove_waiting_request(&request.team);
            route.last_attempt = Some(now);
            if request.attempts == 1 {
                route.retry_budget.add_first_attempt();
            }
        }
        request.stage = Stage::Running { agent: agent.clone(), started: now, probe };
        self.decisions.push(Decision::Dispatch {
            id,
            agent,
            attempt: request.dispatch_number,
            waited: now.saturating_duration_since(request.submitted),
            budget: request.deadline.saturating_duration_since(now),
            reason,
        });
        true
    }

    /// Ends requests that can no longer meet their deadline. A request whose estimated service time
    /// has decreased since it was queued continues to wait.
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
        if request.dispatch_number != attempt {
            return NextAction::Ignored;
        }
        let elapsed = now.saturating_duration_since(*started);
        let route = self.routes.get_mut(&request.route);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let mean_service = route.as_ref().and_then(|route| route.service_time.mean());
            let finished = FinishedAttempt {
                agent,
                attempt_result: result,
                elapsed,
                mean_service,
                probe: *probe,
            };
            pool.members.finish_attempt(&finished, now);
            let slot_time = match result {
                AttemptResult::Full | AttemptResult::Leaving | AttemptResult::Withdrawn => {
                    Duration::ZERO
                }
                _ => elapsed,
            };
            pool.correct_charge(request, slot_time, now);
            record_service_time(&mut pool.service_time, result, elapsed);
            if let Some(mean) = pool.service_time.mean() {
                pool.members.set_mean_service_time(mean);
            }
        }
        if let Some(route) = route {
            record_service_time(&mut route.service_time, result, elapsed);
        }
        request.avoid_agent = Some(agent.name.clone());
        self.follow_up(id, result, now)
    }

    /// Ends a request after the result of an attempt, or returns it to the queue at once or after a
    /// back-off.
    fn follow_up(&mut self, id: u64, result: AttemptResult, now: Instant) -> NextAction {
        let Some(request) = self.requests.get_mut(&id) else { return NextAction::Ignored };
        let (reason, can_retry) = match result {
            AttemptResult::Answered => return self.end(id, Outcome::Answered, Reason::Answered),
            AttemptResult::Withdrawn => {
                let outcome = request.fallback_outcome;
                return self.end(id, outcome, Reason::Withdrawn);
            }
            AttemptResult::Full => (Reason::Full, true),
            AttemptResult::Leaving => (Reason::UpstreamLeaving, true),
            AttemptResult::Unreachable => (Reason::Unreachable, true),
            AttemptResult::Errored => {
                request.fallback_outcome = Outcome::Answered;
                (Reason::ServerError, request.idempotent)
            }
            AttemptResult::Unknown => {
                if request.fallback_outcome == Outcome::NotRun {
                    request.fallback_outcome = Outcome::Unknown;
                }
                (Reason::OutcomeUnknown, request.idempotent)
            }
        };
        let outcome = request.fallback_outcome;
        if request.cancelled {
            return self.end(id, outcome, Reason::Cancelled);
        }
        let Some(route) = self.routes.get_mut(&request.route) else {
            return self.end(id, outcome, Reason::RouteRemoved);
        };
        if !can_retry {
            return self.end(id, outcome, reason);
        }
        // A refusal by the agent is not a failure: the request returns to its position in the
        // queue, and the attempt does not count.
        if matches!(result, AttemptResult::Full | AttemptResult::Leaving) {
            request.attempts -= 1;
            if result == AttemptResult::Full {
                request.avoid_agent = None;
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
        if !route.retry_budget.take_retry() {
            return self.end(id, outcome, Reason::RetryBudgetExhausted);
        }
        request.stage = Stage::Backoff { until: at };
        self.backoffs.insert((at, id));
        NextAction::Retry { at, reason }
    }

    /// Returns a request to its previous position in the queue.
    fn requeue(&mut self, id: u64, now: Instant) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(&request.pool) else { return };
        let route = self.routes.get_mut(&request.route);
        let expiry = request.expiry(route.as_deref());
        let mean = route.as_ref().and_then(|route| route.service_time.mean());
        request.expected_service = mean.or(pool.service_time.mean()).unwrap_or_default();
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
            self.decisions.push(Decision::End { id, outcome: request.fallback_outcome, reason });
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
                    route.remove_waiting_request(&request.team);
                }
            }
            Stage::Backoff { until } => {
                self.backoffs.remove(&(*until, id));
            }
            Stage::Running { .. } => {}
        }
        Some(request)
    }

    /// Returns when `poll` must be called next if no event occurs first.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let backoff = self.backoffs.first().map(|(until, _)| *until);
        let urgent_since = |pool: &PoolState| {
            let (class, id) = pool.head()?;
            let request = self.requests.get(&id)?;
            pool.is_urgent(class).then_some(request.submitted)
        };
        let pools = self.pools.values().filter_map(|pool| pool.next_wake(urgent_since(pool), now));
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
    /// Returns the latest time at which an attempt can start and is still expected to end before
    /// the deadline.
    fn expiry(&self, route: Option<&RouteState>) -> Instant {
        match route {
            Some(state) if !self.trial => {
                let limit = self.deadline.saturating_duration_since(self.submitted);
                self.deadline - state.service_time.allowance(limit).min(limit)
            }
            _ => self.deadline,
        }
    }
}

impl RouteState {
    fn new(route: &Route, burst: u32) -> Self {
        Self {
            route: route.clone(),
            service_time: Estimate::default(),
            retry_budget: RetryBudget::new(route.retry_percent, burst),
            waiting: BTreeMap::new(),
            last_attempt: None,
        }
    }

    fn update(&mut self, route: &Route) {
        if self.route.retry_percent != route.retry_percent {
            self.retry_budget.set_percent(route.retry_percent);
        }
        self.route = route.clone();
    }

    /// Removes a request of `team` from the number of waiting requests.
    fn remove_waiting_request(&mut self, team: &str) {
        let Some(waiting) = self.waiting.get_mut(team) else { return };
        *waiting = waiting.saturating_sub(1);
        if *waiting == 0 {
            self.waiting.remove(team);
        }
    }

    fn view(&self) -> RouteView {
        RouteView {
            name: self.route.name.clone(),
            mean_service: self.service_time.mean(),
            waiting: self.waiting.values().sum(),
            available_retries: self.retry_budget.available(),
        }
    }
}

/// Updates an estimate with the result of an attempt.
fn record_service_time(estimate: &mut Estimate, result: AttemptResult, elapsed: Duration) {
    match result {
        AttemptResult::Answered => estimate.observe(elapsed),
        // Early errors give no information about the service time; late ones are a lower bound.
        AttemptResult::Errored | AttemptResult::Unknown => estimate.observe_at_least(elapsed),
        AttemptResult::Full
        | AttemptResult::Leaving
        | AttemptResult::Unreachable
        | AttemptResult::Withdrawn => {}
    }
}

/// Returns the pool of an agent, if the agent is known.
fn agent_pool<'a>(
    pool_names: &BTreeMap<String, String>,
    pools: &'a mut BTreeMap<String, PoolState>,
    agent: &AgentId,
) -> Option<&'a mut PoolState> {
    pools.get_mut(pool_names.get(&agent.name)?)
}
