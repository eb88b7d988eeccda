//! Test rig: a router with one pool and a manual clock.

use std::time::Duration;

use skylarkpulley_routing::{
    Admission, AttemptResult, CancelResult, Decision, Hello, MemberState, MemberView, NextAction,
    Reason, Report, Request, Router, RoutingSettings,
};
use skylarkpulley_tables::{Pool, PoolKind, Route, Tables, Team};
use skylarkpulley_types::{AgentId, Clock, ManualClock, Outcome};

pub const MS: Duration = Duration::from_millis(1);

/// Router with pool `balance` (2 slots per upstream), routes `settle` (class 0, at most once),
/// `check` (class 1) and `bulk` (class 5), and teams `a` (weight 1), `b` (1) and `c` (3).
pub struct Rig {
    pub router: Router,
    pub clock: ManualClock,
    pub tables: Tables,
    pub sequence: u64,
    pub submitted: u64,
    upstreams: usize,
}

/// A dispatched attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub id: u64,
    pub agent: AgentId,
    pub attempt: u32,
    pub reason: Reason,
}

impl Rig {
    pub fn new(upstreams: usize) -> Self {
        Self::with_settings(upstreams, RoutingSettings::default())
    }

    pub fn with_settings(upstreams: usize, settings: RoutingSettings) -> Self {
        let clock = ManualClock::new();
        let mut router = Router::new(settings, 7);
        let tables = tables(2);
        router.apply_tables(&tables, clock.now());
        let mut rig = Self { router, clock, tables, sequence: 0, submitted: 0, upstreams };
        for index in 0..upstreams {
            let agent = agent(index, 1);
            rig.hello(&agent, 1);
            rig.report(&agent, 1, true, 1, 0);
        }
        rig.router.poll(rig.clock.now());
        rig
    }

    pub fn hello(&mut self, agent: &AgentId, session: u64) -> bool {
        let hello = Hello {
            agent: agent.clone(),
            session,
            pool: "balance".to_owned(),
            domain: "sofia-a".to_owned(),
        };
        self.router.on_hello(&hello, self.clock.now())
    }

    pub fn report(
        &mut self,
        agent: &AgentId,
        session: u64,
        serving: bool,
        upstream_incarnation: u64,
        slots_used: u32,
    ) -> bool {
        self.sequence += 1;
        let report = Report {
            sequence: self.sequence,
            serving,
            upstream_incarnation,
            slots_used,
            ..Report::default()
        };
        self.router.on_report(agent, session, &report, self.clock.now())
    }

    pub fn advance(&mut self, millis: u64) {
        self.clock.advance(Duration::from_millis(millis));
    }

    /// Applies a report of every agent in session 1, with this entry's attempts as the used slots.
    pub fn send_reports(&mut self) {
        for index in 0..self.upstreams {
            let agent = agent(index, 1);
            let view = self.router.snapshot(self.clock.now());
            let own = view.pools[0].members.iter().find(|member| member.agent == agent);
            self.report(&agent, 1, true, 1, own.map_or(0, |member| member.own_attempts));
        }
    }

    /// Advances the clock in steps of at most 500 ms; after each step, applies reports and polls.
    pub fn advance_with_reports(&mut self, millis: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut remaining = millis;
        while remaining > 0 {
            let step = remaining.min(500);
            remaining -= step;
            self.advance(step);
            self.send_reports();
            decisions.extend(self.poll());
        }
        decisions
    }

    /// Sets the deadline of every route to an hour and the queue limit to 1,000.
    pub fn relax_limits(&mut self) {
        for route in &mut self.tables.routes {
            (route.deadline, route.queue) = (Duration::from_secs(3600), 1000);
        }
        self.router.apply_tables(&self.tables, self.clock.now());
    }

    pub fn poll(&mut self) -> Vec<Decision> {
        self.router.poll(self.clock.now())
    }

    pub fn submit(&mut self, route: &str, team: &str) -> Result<u64, Reason> {
        self.submitted += 1;
        let request = Request::new(self.submitted, route, team);
        match self.router.submit(&request, self.clock.now()) {
            Admission::Queued { .. } => Ok(self.submitted),
            Admission::Refused { reason } => Err(reason),
        }
    }

    pub fn cancel(&mut self, id: u64) -> CancelResult {
        self.router.cancel(id, self.clock.now())
    }

    /// Polls the router and returns the dispatched attempts.
    pub fn poll_dispatches(&mut self) -> Vec<Dispatch> {
        dispatches(self.poll())
    }

    pub fn finish(&mut self, dispatch: &Dispatch, result: AttemptResult) -> NextAction {
        self.router.on_result(dispatch.id, dispatch.attempt, result, self.clock.now())
    }

    /// Submits a request of `route`, finishes its attempt after `millis` and returns both the
    /// attempt and what follows it.
    pub fn run_request(
        &mut self,
        route: &str,
        millis: u64,
        result: AttemptResult,
    ) -> (Dispatch, NextAction) {
        self.submit(route, "a").expect("admitted");
        let dispatch = self.poll_dispatches().pop().expect("dispatched");
        self.advance(millis);
        let next = self.finish(&dispatch, result);
        (dispatch, next)
    }

    /// Sets the estimated service time of every route to 100 ms by running requests.
    pub fn set_service_times(&mut self) {
        for route in ["settle", "check", "bulk"] {
            for _ in 0..3 {
                self.run_request(route, 100, AttemptResult::Answered);
            }
        }
    }

    pub fn member(&self, index: usize) -> MemberView {
        let view = self.router.snapshot(self.clock.now());
        view.pools[0].members[index].clone()
    }

    pub fn state(&self, index: usize) -> MemberState {
        self.member(index).state
    }
}

pub fn agent(index: usize, incarnation: u64) -> AgentId {
    AgentId::new(&format!("agent-{index:02}"), incarnation)
}

pub fn agents(count: usize) -> Vec<AgentId> {
    (0..count).map(|index| agent(index, 1)).collect()
}

pub fn dispatches(decisions: Vec<Decision>) -> Vec<Dispatch> {
    let pick = |decision| match decision {
        Decision::Dispatch { id, agent, attempt, reason, .. } => {
            Some(Dispatch { id, agent, attempt, reason })
        }
        _ => None,
    };
    decisions.into_iter().filter_map(pick).collect()
}

pub fn ended(decisions: &[Decision]) -> Vec<(u64, Outcome, Reason)> {
    let pick = |decision: &Decision| match decision {
        Decision::End { id, outcome, reason } => Some((*id, *outcome, *reason)),
        _ => None,
    };
    decisions.iter().filter_map(pick).collect()
}

pub fn tables(slots: u32) -> Tables {
    let route = |name: &str, priority, idempotent| Route {
        name: name.to_owned(),
        path: format!("/{name}"),
        pool: "balance".to_owned(),
        priority,
        idempotent,
        deadline: Duration::from_millis(800),
        queue: 20,
        retry_percent: 10,
        body_limit: 1 << 16,
    };
    let team = |name: &str, weight| Team { name: name.to_owned(), weight };
    let pool = Pool {
        name: "balance".to_owned(),
        kind: PoolKind::Upstream,
        slots,
        connections: 64,
        objective: 0.0,
        cores: 0,
        memory_mib: 0,
        accelerators: 0,
        domains: Vec::new(),
        teams: vec![team("a", 1), team("b", 1), team("c", 3)],
        guarantees: Vec::new(),
    };
    let routes = vec![route("bulk", 5, true), route("check", 1, true), route("settle", 0, false)];
    Tables { routes, pools: vec![pool] }
}
