use std::time::Instant;

use skylarkpulley_routing::{
    Admission, AttemptResult, Decision, Hello, NextAction, Report, Request, Router, RoutingSettings,
};
use skylarkpulley_types::AgentId;

use super::scenario::team_name;
use super::{Act, Policy, Scenario};

/// The routing core.
pub struct Routed {
    router: Router,
    kinds: Vec<&'static str>,
    sequence: u64,
}

impl Routed {
    /// Returns a router that knows the scenario's tables and upstreams.
    pub fn new(scenario: &Scenario, entry: usize, now: Instant) -> Self {
        let seed = scenario.seed.wrapping_add(entry as u64);
        let mut router = Router::new(RoutingSettings::default(), seed);
        router.apply_tables(&scenario.tables(), now);
        for upstream in 0..scenario.upstreams {
            let pool = "balance".to_owned();
            let hello = Hello { agent: agent(upstream), session: 1, pool, domain: String::new() };
            router.on_hello(&hello, now);
        }
        let kinds = scenario.kinds.iter().map(|kind| kind.name).collect();
        let mut routed = Self { router, kinds, sequence: 0 };
        (0..scenario.upstreams).for_each(|upstream| routed.on_report(upstream, 0, now));
        routed
    }
}

impl Policy for Routed {
    fn submit(&mut self, id: u64, kind: usize, team: usize, now: Instant) -> bool {
        let request = Request::new(id, self.kinds[kind], &team_name(team));
        matches!(self.router.submit(&request, now), Admission::Queued { .. })
    }

    fn poll(&mut self, now: Instant) -> Vec<Act> {
        let decisions = self.router.poll(now).into_iter();
        let act = |decision| match decision {
            Decision::Dispatch { id, agent, attempt, .. } => {
                let upstream = agent.name[6..].parse().ok()?;
                Some(Act::Send { id, attempt, upstream })
            }
            Decision::End { id, .. } => Some(Act::Refuse { id }),
            _ => None,
        };
        decisions.filter_map(act).collect()
    }

    fn on_result(&mut self, id: u64, attempt: u32, result: AttemptResult, now: Instant) -> bool {
        matches!(self.router.on_result(id, attempt, result, now), NextAction::Ended { .. })
    }

    fn on_report(&mut self, upstream: usize, used: u32, now: Instant) {
        self.sequence += 1;
        let report = Report {
            sequence: self.sequence,
            serving: true,
            upstream_incarnation: 1,
            slots_used: used,
            connections_used: used,
            ..Report::default()
        };
        self.router.on_report(&agent(upstream), 1, &report, now);
    }

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.router.next_wake(now)
    }
}

fn agent(upstream: usize) -> AgentId {
    AgentId::new(&format!("agent-{upstream:03}"), 1)
}
