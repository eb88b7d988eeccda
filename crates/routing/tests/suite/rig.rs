//! Builder of a router with one pool and a clock that stands still.

use std::time::Duration;

use skylarkpulley_routing::{
    Admission, AttemptResult, CancelResult, Decision, Hello, MemberState, MemberView, NextAction,
    Reason, Report, Request, Router, RoutingSettings,
};
use skylarkpulley_tables::{Pool, PoolKind, Route, Tables, Team};
use skylarkpulley_types::{AgentId, Clock, ManualClock, Outcome};

pub const MS: Duration = Duration::from_millis(1);

/// A router with pool `balance` (2 slots per upstream), routes `settle` (class 0, at most once),
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
pub struct Sent {
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

    /// Sends the report of every agent in session 1, with this entry's attempts as the used slots.
    pub fn heartbeat(&mut self) {
        for index in 0..self.upstreams {
            let agent = agent(index, 1);
            let view = self.router.snapshot(self.clock.now());
            let own = view.pools[0].members.iter().find(|member| member.agent == agent);
            self.report(&agent, 1, true, 1, own.map_or(0, |member| member.own_attempts));
        }
    }

    /// Advances in steps of at most half a second, with heartbeats.
    pub fn run(&mut self, millis: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut left = millis;
        while left > 0 {
            let step = left.min(500);
            left -= step;
            self.advance(step);
            self.heartbeat();
            decisions.extend(self.poll());
        }
        decisions
    }

    /// Gives every route a deadline of an hour and a queue of 1,000.
    pub fn relax(&mut self) {
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

    /// Polls and returns the dispatched attempts.
    pub fn sent(&mut self) -> Vec<Sent> {
        sent(self.poll())
    }

    pub fn finish(&mut self, sent: &Sent, result: AttemptResult) -> NextAction {
        self.router.on_result(sent.id, sent.attempt, result, self.clock.now())
    }

    /// Runs one request of `route` alone for `millis` and returns its attempt.
    pub fn round(&mut self, route: &str, millis: u64, result: AttemptResult) -> (Sent, NextAction) {
        self.submit(route, "a").expect("admitted");
        let sent = self.sent().pop().expect("dispatched");
        self.advance(millis);
        let next = self.finish(&sent, result);
        (sent, next)
    }

    /// Makes every route expect a service of 100 ms.
    pub fn teach(&mut self) {
        for route in ["settle", "check", "bulk"] {
            for _ in 0..3 {
                self.round(route, 100, AttemptResult::Answered);
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

pub fn sent(decisions: Vec<Decision>) -> Vec<Sent> {
    let pick = |decision| match decision {
        Decision::Dispatch { id, agent, attempt, reason, .. } => {
            Some(Sent { id, agent, attempt, reason })
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
