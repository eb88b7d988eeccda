//! Cost of submitting and dispatching, or cancelling, one request while many others wait.

use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use skylarkpulley_bench::overload::Scenario;
use skylarkpulley_routing::{
    Admission, AttemptResult, Decision, Hello, Report, Request, Router, RoutingSettings,
};
use skylarkpulley_types::AgentId;

const TEAMS: usize = 310;

/// Returns a router with all slots in use and `waiting` requests of 310 teams in its queues, and
/// the running attempts as request id and attempt number.
fn loaded_router(waiting: u64, now: Instant) -> (Router, Vec<(u64, u32)>) {
    let mut scenario = Scenario::new(1.0);
    scenario.teams = vec![(1, 1.0 / TEAMS as f64); TEAMS];
    let mut tables = scenario.tables();
    for route in &mut tables.routes {
        (route.deadline, route.queue) = (Duration::from_secs(3600), 10_000);
    }
    let mut router = Router::new(RoutingSettings::default(), 1);
    router.apply_tables(&tables, now);
    for upstream in 0..scenario.upstreams {
        let agent = AgentId::new(&format!("agent-{upstream:03}"), 1);
        let pool = "balance".to_owned();
        let hello = Hello { agent: agent.clone(), session: 1, pool, domain: String::new() };
        router.on_hello(&hello, now);
        let report =
            Report { sequence: 1, serving: true, upstream_incarnation: 1, ..Report::default() };
        router.on_report(&agent, 1, &report, now);
    }
    let slots = scenario.upstreams as u64 * u64::from(scenario.slots);
    let mut running = Vec::new();
    for id in 0..slots + waiting {
        assert!(matches!(submit(&mut router, id, now), Admission::Queued { .. }));
        running.extend(first_dispatch(router.poll(now)));
    }
    (router, running)
}

fn submit(router: &mut Router, id: u64, now: Instant) -> Admission {
    let route = ["settle", "check", "digest"][id as usize % 3];
    router.submit(&Request::new(id, route, &format!("team-{:03}", id as usize % TEAMS)), now)
}

fn first_dispatch(decisions: Vec<Decision>) -> Option<(u64, u32)> {
    decisions.into_iter().find_map(|decision| match decision {
        Decision::Dispatch { id, attempt, .. } => Some((id, attempt)),
        _ => None,
    })
}

/// The first benchmark submits one request, ends one attempt and dispatches the next request; the
/// second submits one request and cancels it. The queue keeps its length in both.
fn bench(criterion: &mut Criterion) {
    for waiting in [1_000, 10_000] {
        let start = Instant::now();
        let (mut router, mut running) = loaded_router(waiting, start);
        let mut next_id = 1_000_000;
        let mut index = 0;
        criterion.bench_function(&format!("submit and dispatch, {waiting} waiting"), |bencher| {
            bencher.iter(|| {
                next_id += 1;
                index = (index + 1) % running.len();
                let now = start + Duration::from_millis(40);
                submit(&mut router, next_id, now);
                let (id, attempt) = running[index];
                router.on_result(id, attempt, AttemptResult::Answered, now);
                running[index] =
                    first_dispatch(router.poll(now)).expect("no waiting request was dispatched");
            });
        });
        criterion.bench_function(&format!("submit and cancel, {waiting} waiting"), |bencher| {
            bencher.iter(|| {
                next_id += 1;
                let now = start + Duration::from_millis(40);
                submit(&mut router, next_id, now);
                router.cancel(next_id, now)
            });
        });
    }
}

criterion_group!(routing, bench);
criterion_main!(routing);
