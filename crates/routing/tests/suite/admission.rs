use std::time::Duration;

use skylarkpulley_routing::{
    Admission, AttemptResult, CancelResult, Decision, NextAction, Reason, Request,
};
use skylarkpulley_types::{Clock, Outcome};

use crate::rig::{Rig, dispatches, ended};

/// Dispatches and answers requests, each after `millis`, until at least `count` have ended or none
/// is dispatched; returns their ids.
fn complete_requests(rig: &mut Rig, count: usize, millis: u64) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < count {
        let running = rig.poll_dispatches();
        if running.is_empty() {
            break;
        }
        rig.advance(millis);
        rig.send_reports();
        for attempt in running {
            order.push(attempt.id);
            rig.finish(&attempt, AttemptResult::Answered);
        }
    }
    order
}

/// Guards against a class that is served before a more urgent one.
#[test]
fn poll_class_order() {
    let mut rig = Rig::new(1);
    let bulk = rig.submit("bulk", "a").expect("admitted");
    let check = rig.submit("check", "b").expect("admitted");
    let settlement = rig.submit("settle", "c").expect("admitted");
    let last = rig.submit("settle", "a").expect("admitted");
    assert_eq!(complete_requests(&mut rig, 4, 1), [settlement, last, check, bulk]);
}

/// Guards against shares that ignore the weights of teams: c has three times the weight of a and b.
#[test]
fn poll_team_share() {
    let mut rig = Rig::new(1);
    rig.relax_limits();
    rig.set_service_times();
    let mut teams = std::collections::HashMap::new();
    for _ in 0..15 {
        for team in ["a", "b", "c"] {
            if let Ok(id) = rig.submit("check", team) {
                teams.insert(id, team);
            }
        }
    }
    let order = complete_requests(&mut rig, 10, 100);
    let count = |team| order.iter().filter(|id| teams[id] == team).count();
    assert_eq!((count("a"), count("b"), count("c")), (2, 2, 6));
}

/// Guards against shares that count requests instead of slot time: the requests of a take four
/// times as long as expected, so b must receive four times as many dispatches.
#[test]
fn on_result_corrects_slot_time() {
    let mut rig = Rig::new(1);
    rig.tables.pools[0].slots = 1;
    rig.relax_limits();
    rig.run_request("check", 100, AttemptResult::Answered);
    let mut teams = std::collections::HashMap::new();
    for _ in 0..20 {
        for team in ["a", "b"] {
            teams.insert(rig.submit("check", team).expect("admitted"), team);
        }
    }
    let mut slot_time = std::collections::HashMap::from([("a", 0), ("b", 0)]);
    for _ in 0..20 {
        let attempt = rig.poll_dispatches().remove(0);
        let team = teams[&attempt.id];
        let millis = if team == "a" { 400 } else { 100 };
        *slot_time.get_mut(team).expect("team of the pool") += millis;
        rig.advance(millis);
        rig.send_reports();
        rig.finish(&attempt, AttemptResult::Answered);
    }
    let difference = u64::abs_diff(slot_time["a"], slot_time["b"]);
    assert!(difference <= 400, "{slot_time:?}");
}

/// Guards against a burst of one team that delays another team beyond its share: the first request
/// of b must be the next to start, regardless of how many requests of a are waiting.
#[test]
fn submit_burst() {
    let mut rig = Rig::new(1);
    rig.set_service_times();
    let mut burst = 0;
    while rig.submit("check", "a").is_ok() {
        burst += 1;
    }
    assert!(burst >= 10, "{burst}");
    let first = rig.poll_dispatches();
    assert_eq!(first.len(), 2);
    let other = rig.submit("check", "b").expect("not refused for the burst of another team");
    rig.advance(100);
    rig.finish(&first[0], AttemptResult::Answered);
    assert_eq!(rig.poll_dispatches()[0].id, other);
    for _ in 0..3 {
        rig.submit("check", "b").expect("the queue of a counts only up to its share");
    }
}

/// Guards against a team that accumulates credit while it is idle: b submits its first requests
/// after ten requests of a have been served.
#[test]
fn pop_no_credit() {
    let mut rig = Rig::new(1);
    rig.relax_limits();
    rig.set_service_times();
    for _ in 0..30 {
        rig.submit("check", "a").expect("admitted");
    }
    complete_requests(&mut rig, 10, 100);
    let others: Vec<u64> = (0..10).map(|_| rig.submit("check", "b").expect("admitted")).collect();
    let order = complete_requests(&mut rig, 8, 100);
    let count = order.iter().filter(|id| others.contains(id)).count();
    assert!((3..=5).contains(&count), "{count} of 8");
}

/// Guards against missing refusals at submission. The reasons are in the order of the checks.
#[test]
fn submit_refusal_table() {
    let cases = [("gone", "a", Reason::UnknownRoute), ("check", "stranger", Reason::UnknownTeam)];
    for (route, team, reason) in cases {
        assert_eq!(Rig::new(1).submit(route, team), Err(reason));
    }
    assert_eq!(Rig::new(0).submit("check", "a"), Err(Reason::NoUpstream));
    let mut rig = Rig::new(1);
    for _ in 0..20 {
        rig.submit("check", "a").expect("admitted while the service time is unknown");
    }
    assert_eq!(rig.submit("check", "a"), Err(Reason::QueueFull));
    assert!(rig.submit("check", "b").is_ok(), "the limit is per team");
    assert!(rig.submit("bulk", "a").is_ok(), "the limit is per route");
    let request = Request::new(1, "check", "b");
    let refused = Admission::Refused { reason: Reason::DuplicateId };
    assert_eq!(rig.router.submit(&request, rig.clock.now()), refused);
}

/// Guards against admitted requests whose deadline cannot be met, with 2 slots, a service time of
/// 100 ms and a deadline of 800 ms.
#[test]
fn submit_wait_too_long() {
    let mut rig = Rig::new(1);
    rig.set_service_times();
    let mut admitted = 0;
    let refused = loop {
        match rig.submit("check", "a") {
            Ok(_) => admitted += 1,
            Err(reason) => break reason,
        }
    };
    assert_eq!(refused, Reason::WaitTooLong);
    // The last admitted request waits 700 ms for 14 others and ends after 800 ms.
    assert!((14..=16).contains(&admitted), "{admitted}");
    let request = Request::new(900, "check", "b").with_deadline(Duration::from_millis(90));
    let refused = Admission::Refused { reason: Reason::WaitTooLong };
    assert_eq!(rig.router.submit(&request, rig.clock.now()), refused);
    let order = complete_requests(&mut rig, admitted, 100);
    assert_eq!(order.len(), admitted, "all admitted requests met their deadline");
}

/// Guards against dispatching a waiting request that cannot meet its deadline, and against refusing
/// it while it still can.
#[test]
fn poll_deadline_unmeetable() {
    let mut rig = Rig::new(1);
    rig.set_service_times();
    rig.submit("check", "a").expect("admitted");
    rig.submit("check", "a").expect("admitted");
    let running = rig.poll_dispatches();
    let waiting = rig.submit("check", "a").expect("admitted");
    assert!(rig.poll_dispatches().is_empty());
    rig.advance(690);
    rig.send_reports();
    assert_eq!(ended(&rig.poll()), []);
    let wake = rig.router.next_wake(rig.clock.now()).expect("a wake-up");
    assert!(wake <= rig.clock.now() + Duration::from_millis(10));
    rig.advance(10);
    rig.finish(&running[0], AttemptResult::Answered);
    rig.advance(1);
    let decisions = rig.poll();
    assert_eq!(ended(&decisions), [(waiting, Outcome::NotRun, Reason::DeadlineUnmeetable)]);
    assert!(dispatches(decisions).is_empty());
}

/// Guards against a route that refuses all requests forever because its service time was
/// overestimated.
#[test]
fn submit_trial() {
    let mut rig = Rig::new(2);
    let slow = Duration::from_millis(2000);
    for _ in 0..3 {
        rig.submit("check", "a").expect("admitted");
        let dispatch = rig.poll_dispatches().remove(0);
        rig.clock.advance(slow);
        rig.send_reports();
        rig.finish(&dispatch, AttemptResult::Answered);
    }
    rig.advance_with_reports(1000);
    assert!(rig.submit("check", "a").is_ok());
    assert_eq!(rig.submit("check", "a"), Err(Reason::WaitTooLong));
    for _ in 0..40 {
        let trials = rig.poll_dispatches();
        rig.advance(20);
        for dispatch in trials {
            rig.finish(&dispatch, AttemptResult::Answered);
        }
        rig.advance_with_reports(1000);
        let _ = rig.submit("check", "a");
    }
    assert!(rig.submit("check", "a").is_ok() && rig.submit("check", "a").is_ok());
}

/// Guards against starvation: with a continuous queue of class 0, class 5 must receive one dispatch
/// in 20 after it was not served for the starvation time-out, and none before.
#[test]
fn poll_starvation() {
    let mut rig = Rig::new(1);
    rig.relax_limits();
    rig.set_service_times();
    let bulk: Vec<u64> = (0..20).map(|_| rig.submit("bulk", "a").expect("admitted")).collect();
    for _ in 0..600 {
        rig.submit("settle", "b").expect("admitted");
    }
    let order = complete_requests(&mut rig, 30, 100);
    assert!(order.iter().all(|id| !bulk.contains(id)));
    rig.advance(600);
    let order = complete_requests(&mut rig, 200, 10);
    let starved = order.iter().filter(|id| bulk.contains(id)).count();
    assert!((9..=11).contains(&starved), "{starved}");
}

/// Guards against a starvation time-out that restarts whenever the queue of the class is empty for
/// a short time.
#[test]
fn poll_starvation_interrupted() {
    let mut rig = Rig::new(1);
    rig.relax_limits();
    rig.set_service_times();
    for _ in 0..100 {
        rig.submit("settle", "b").expect("admitted");
    }
    let first = rig.submit("bulk", "a").expect("admitted");
    complete_requests(&mut rig, 24, 100);
    rig.cancel(first);
    let second = rig.submit("bulk", "a").expect("admitted");
    assert!(
        complete_requests(&mut rig, 20, 100).contains(&second),
        "served 2.2 s after the class first had a waiting request"
    );
}

/// Guards against cancelled requests that are dispatched or still count towards the queue limit.
#[test]
fn cancel_table() {
    let mut rig = Rig::new(1);
    assert_eq!(rig.cancel(99), CancelResult::Unknown);
    let ids: Vec<u64> = (0..20).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.poll_dispatches();
    assert_eq!(rig.cancel(running[0].id), CancelResult::Running);
    let next = rig.finish(&running[0], AttemptResult::Unknown);
    let (outcome, reason) = (Outcome::Unknown, Reason::Cancelled);
    assert_eq!(next, NextAction::Ended { outcome, reason }, "no retry after a cancellation");
    for id in &ids[2..] {
        assert_eq!(rig.cancel(*id), CancelResult::Ended(Outcome::NotRun));
        assert_eq!(rig.cancel(*id), CancelResult::Unknown);
    }
    assert!(rig.poll_dispatches().is_empty());
    assert_eq!(rig.router.open_requests(), 1);
    for _ in 0..20 {
        rig.submit("check", "a").expect("cancelled requests leave the queue");
    }
}

/// Guards against a request that loses its position in the queue because an agent was full, and
/// against another attempt at the same agent before a slot is presumed free.
#[test]
fn on_result_full() {
    let mut rig = Rig::new(1);
    rig.set_service_times();
    let ids: Vec<u64> = (0..4).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.poll_dispatches();
    let next = rig.finish(&running[0], AttemptResult::Full);
    assert_eq!(next, NextAction::Requeued { reason: Reason::Full });
    assert_eq!(rig.member(0).other_slots, 1);
    assert!(rig.poll_dispatches().is_empty(), "the slot counts as used by other entries");
    rig.advance(40);
    rig.finish(&running[1], AttemptResult::Answered);
    let redispatched = rig.poll_dispatches();
    assert_eq!(
        (redispatched[0].id, redispatched[0].attempt),
        (ids[0], 2),
        "the request is first again, and one slot is free"
    );
    assert_eq!(redispatched.len(), 1);
    rig.advance(60);
    assert_eq!(
        rig.poll_dispatches()[0].id,
        ids[2],
        "the other slot is presumed free after a mean service time"
    );
    let late = rig.router.on_result(ids[0], 1, AttemptResult::Answered, rig.clock.now());
    assert_eq!(late, NextAction::Ignored, "result of an earlier attempt");
}

/// Guards against requests that keep waiting after their route was removed, and against limits that
/// are not updated by a change of the tables.
#[test]
fn apply_tables_edit() {
    let mut rig = Rig::new(1);
    let ids: Vec<u64> = (0..5).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.poll_dispatches();
    let mut tables = rig.tables.clone();
    tables.routes.retain(|route| route.name != "check");
    tables.pools[0].slots = 1;
    rig.router.apply_tables(&tables, rig.clock.now());
    let expected: Vec<_> =
        ids[2..].iter().map(|id| (*id, Outcome::NotRun, Reason::RouteRemoved)).collect();
    assert_eq!(ended(&rig.poll()), expected);
    rig.submit("bulk", "a").expect("admitted");
    rig.finish(&running[0], AttemptResult::Answered);
    assert!(rig.poll_dispatches().is_empty(), "the only slot is in use");
    rig.finish(&running[1], AttemptResult::Answered);
    assert_eq!(rig.poll_dispatches().len(), 1);
    tables.pools.clear();
    tables.routes.clear();
    rig.router.apply_tables(&tables, rig.clock.now());
    assert_eq!(rig.submit("bulk", "a"), Err(Reason::UnknownRoute));
}

/// Guards against dispatch decisions with a wrong waiting time or remaining time.
#[test]
fn poll_budget() {
    let mut rig = Rig::new(1);
    rig.submit("check", "a").expect("admitted");
    rig.advance(30);
    let decision = rig.poll().remove(0);
    let Decision::Dispatch { waited, budget, .. } = decision else { panic!("{decision:?}") };
    assert_eq!((waited, budget), (Duration::from_millis(30), Duration::from_millis(770)));
}
