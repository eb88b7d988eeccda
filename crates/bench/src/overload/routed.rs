use std::time::Instant;

use skylarkpulley_routing::{
    Admission, AttemptResult, Decision, Hello, NextAction, Report, Request, Router, RoutingSettings,
};
use skylarkpulley_types::AgentId;

use super::scenario::team_name;
use super::{Action, Policy, Scenario};

/// The router of `skylarkpulley-routing` as a policy.
pub struct Routed {
    router: Router,
    route_names: Vec<&'static str>,
    report_sequence: u64,
}

impl Routed {
    /// Returns a router with the tables of the scenario, to which the agents of all upstreams are
    /// connected.
    pub fn new(scenario: &Scenario, entry: usize, now: Instant) -> Self {
        let seed = scenario.seed.wrapping_add(entry as u64);
        let mut router = Router::new(RoutingSettings::default(), seed);
        router.apply_tables(&scenario.tables(), now);
        for upstream in 0..scenario.upstreams {
            let pool = "balance".to_owned();
            let hello =
                Hello { agent: agent_id(upstream), session: 1, pool, domain: String::new() };
            router.on_hello(&hello, now);
        }
        let route_names = scenario.kinds.iter().map(|kind| kind.name).collect();
        let mut routed = Self { router, route_names, report_sequence: 0 };
        (0..scenario.upstreams).for_each(|upstream| routed.on_report(upstream, 0, now));
        routed
    }
}

impl Policy for Routed {
    fn submit(&mut self, id: u64, kind: usize, team: usize, now: Instant) -> bool {
        let request = Request::new(id, self.route_names[kind], &team_name(team));
        matches!(self.router.submit(&request, now), Admission::Queued { .. })
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        let decisions = self.router.poll(now).into_iter();
        let action = |decision| match decision {
            Decision::Dispatch { id, agent, attempt, .. } => {
                let upstream = agent.name[6..].parse().ok()?;
                Some(Action::Dispatch { id, attempt, upstream })
            }
            Decision::End { id, .. } => Some(Action::Refuse { id }),
            _ => None,
        };
        decisions.filter_map(action).collect()
    }

    fn on_result(&mut self, id: u64, attempt: u32, result: AttemptResult, now: Instant) -> bool {
        matches!(self.router.on_result(id, attempt, result, now), NextAction::Ended { .. })
    }

    fn on_report(&mut self, upstream: usize, used_slots: u32, now: Instant) {
        self.report_sequence += 1;
        let report = Report {
            sequence: self.report_sequence,
            serving: true,
            upstream_incarnation: 1,
            slots_used: used_slots,
            connections_used: used_slots,
            ..Report::default()
        };
        self.router.on_report(&agent_id(upstream), 1, &report, now);
    }

    fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.router.next_wake(now)
    }
}

fn agent_id(upstream: usize) -> AgentId {
    AgentId::new(&format!("agent-{upstream:03}"), 1)
}
