use std::time::Duration;

use skylarkpulley_routing::{
    Admission, AttemptResult, CancelResult, Decision, NextAction, Reason, Request,
};
use skylarkpulley_types::{Clock, Outcome};

use crate::rig::{Rig, ended, sent};

/// Runs the head of the queue for `millis` per request until `count` were sent; returns their ids.
fn drain(rig: &mut Rig, count: usize, millis: u64) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < count {
        let running = rig.sent();
        if running.is_empty() {
            break;
        }
        rig.advance(millis);
        rig.heartbeat();
        for attempt in running {
            order.push(attempt.id);
            rig.finish(&attempt, AttemptResult::Answered);
        }
    }
    order
}

/// Guards against a class that overtakes a more urgent one.
#[test]
fn poll_class_order() {
    let mut rig = Rig::new(1);
    let bulk = rig.submit("bulk", "a").expect("admitted");
    let check = rig.submit("check", "b").expect("admitted");
    let settle = rig.submit("settle", "c").expect("admitted");
    let last = rig.submit("settle", "a").expect("admitted");
    assert_eq!(drain(&mut rig, 4, 1), [settle, last, check, bulk]);
}

/// Guards against service that ignores the paid weights: c pays three times as much as a and b.
#[test]
fn poll_team_share() {
    let mut rig = Rig::new(1);
    rig.relax();
    rig.teach();
    let mut teams = std::collections::HashMap::new();
    for _ in 0..15 {
        for team in ["a", "b", "c"] {
            if let Ok(id) = rig.submit("check", team) {
                teams.insert(id, team);
            }
        }
    }
    let order = drain(&mut rig, 10, 100);
    let count = |team| order.iter().filter(|id| teams[id] == team).count();
    assert_eq!((count("a"), count("b"), count("c")), (2, 2, 6));
}

/// Guards against shares that count requests and not slot time: a's requests take four times as
/// long as was expected, so b gets four times as many.
#[test]
fn on_result_settles_slot_time() {
    let mut rig = Rig::new(1);
    rig.tables.pools[0].slots = 1;
    rig.relax();
    rig.round("check", 100, AttemptResult::Answered);
    let mut owner = std::collections::HashMap::new();
    for _ in 0..20 {
        for team in ["a", "b"] {
            owner.insert(rig.submit("check", team).expect("admitted"), team);
        }
    }
    let mut used = std::collections::HashMap::from([("a", 0), ("b", 0)]);
    for _ in 0..20 {
        let attempt = rig.sent().remove(0);
        let team = owner[&attempt.id];
        let millis = if team == "a" { 400 } else { 100 };
        *used.get_mut(team).expect("known team") += millis;
        rig.advance(millis);
        rig.heartbeat();
        rig.finish(&attempt, AttemptResult::Answered);
    }
    let difference = u64::abs_diff(used["a"], used["b"]);
    assert!(difference <= 400, "{used:?}");
}

/// Guards against a burst of one team that delays another team beyond its share: the first request
/// of b is the second to start, however many of a wait.
#[test]
fn submit_burst() {
    let mut rig = Rig::new(1);
    rig.teach();
    let mut burst = 0;
    while rig.submit("check", "a").is_ok() {
        burst += 1;
    }
    assert!(burst >= 10, "{burst}");
    let first = rig.sent();
    assert_eq!(first.len(), 2);
    let other = rig.submit("check", "b").expect("not refused for the burst of another team");
    rig.advance(100);
    rig.finish(&first[0], AttemptResult::Answered);
    assert_eq!(rig.sent()[0].id, other);
    for _ in 0..3 {
        rig.submit("check", "b").expect("a's queue counts only up to its share");
    }
}

/// Guards against a team that saves up service while it is idle: b arrives after a had ten turns.
#[test]
fn pop_no_credit() {
    let mut rig = Rig::new(1);
    rig.relax();
    rig.teach();
    for _ in 0..30 {
        rig.submit("check", "a").expect("admitted");
    }
    drain(&mut rig, 10, 100);
    let others: Vec<u64> = (0..10).map(|_| rig.submit("check", "b").expect("admitted")).collect();
    let order = drain(&mut rig, 8, 100);
    let count = order.iter().filter(|id| others.contains(id)).count();
    assert!((3..=5).contains(&count), "{count} of 8");
}

/// Guards against refusals that come late or never: reasons in order of the checks.
#[test]
fn submit_refusal_table() {
    let cases = [("gone", "a", Reason::UnknownRoute), ("check", "stranger", Reason::UnknownTeam)];
    for (route, team, reason) in cases {
        assert_eq!(Rig::new(1).submit(route, team), Err(reason));
    }
    assert_eq!(Rig::new(0).submit("check", "a"), Err(Reason::NoUpstream));
    let mut rig = Rig::new(1);
    for _ in 0..20 {
        rig.submit("check", "a").expect("admitted while the service is unknown");
    }
    assert_eq!(rig.submit("check", "a"), Err(Reason::QueueFull));
    assert!(rig.submit("check", "b").is_ok(), "the bound is per team");
    assert!(rig.submit("bulk", "a").is_ok(), "the bound is per route");
    let request = Request::new(1, "check", "b");
    let refused = Admission::Refused { reason: Reason::DuplicateId };
    assert_eq!(rig.router.submit(&request, rig.clock.now()), refused);
}

/// Guards against requests that wait although their deadline cannot be met: 2 slots, 100 ms each,
/// 800 ms deadline.
#[test]
fn submit_wait_too_long() {
    let mut rig = Rig::new(1);
    rig.teach();
    let mut admitted = 0;
    let refused = loop {
        match rig.submit("check", "a") {
            Ok(_) => admitted += 1,
            Err(reason) => break reason,
        }
    };
    assert_eq!(refused, Reason::WaitTooLong);
    // The last one admitted waits for 14 requests, 700 ms, and ends at 800 ms.
    assert!((14..=16).contains(&admitted), "{admitted}");
    let request = Request::new(900, "check", "b").with_deadline(Duration::from_millis(90));
    let refused = Admission::Refused { reason: Reason::WaitTooLong };
    assert_eq!(rig.router.submit(&request, rig.clock.now()), refused);
    let order = drain(&mut rig, admitted, 100);
    assert_eq!(order.len(), admitted, "all admitted requests met their deadline");
}

/// Guards against a waiting request that takes a slot although it will be late, and against one
/// that is refused before that is clear.
#[test]
fn poll_deadline_unmeetable() {
    let mut rig = Rig::new(1);
    rig.teach();
    rig.submit("check", "a").expect("admitted");
    rig.submit("check", "a").expect("admitted");
    let running = rig.sent();
    let waiting = rig.submit("check", "a").expect("admitted");
    assert!(rig.sent().is_empty());
    rig.advance(690);
    rig.heartbeat();
    assert_eq!(ended(&rig.poll()), []);
    let wake = rig.router.next_wake(rig.clock.now()).expect("a wake-up");
    assert!(wake <= rig.clock.now() + Duration::from_millis(10));
    rig.advance(10);
    rig.finish(&running[0], AttemptResult::Answered);
    rig.advance(1);
    let decisions = rig.poll();
    assert_eq!(ended(&decisions), [(waiting, Outcome::NotRun, Reason::DeadlineUnmeetable)]);
    assert!(sent(decisions).is_empty());
}

/// Guards against a route that an overestimate locks out for good.
#[test]
fn submit_trial() {
    let mut rig = Rig::new(2);
    let slow = Duration::from_millis(2000);
    for _ in 0..3 {
        rig.submit("check", "a").expect("admitted");
        let sent = rig.sent().remove(0);
        rig.clock.advance(slow);
        rig.heartbeat();
        rig.finish(&sent, AttemptResult::Answered);
    }
    rig.run(1000);
    assert!(rig.submit("check", "a").is_ok());
    assert_eq!(rig.submit("check", "a"), Err(Reason::WaitTooLong));
    for _ in 0..40 {
        let trials = rig.sent();
        rig.advance(20);
        for sent in trials {
            rig.finish(&sent, AttemptResult::Answered);
        }
        rig.run(1000);
        let _ = rig.submit("check", "a");
    }
    assert!(rig.submit("check", "a").is_ok() && rig.submit("check", "a").is_ok());
}

/// Guards against starvation: with a steady queue of class 0, class 5 gets one dispatch in 20 once
/// it was not served for the ageing time, and none before.
#[test]
fn poll_ageing() {
    let mut rig = Rig::new(1);
    rig.relax();
    rig.teach();
    let bulk: Vec<u64> = (0..20).map(|_| rig.submit("bulk", "a").expect("admitted")).collect();
    for _ in 0..600 {
        rig.submit("settle", "b").expect("admitted");
    }
    let order = drain(&mut rig, 30, 100);
    assert!(order.iter().all(|id| !bulk.contains(id)));
    rig.advance(600);
    let order = drain(&mut rig, 200, 10);
    let aged = order.iter().filter(|id| bulk.contains(id)).count();
    assert!((9..=11).contains(&aged), "{aged}");
}

/// Guards against a starved class whose ageing starts anew whenever its queue is empty for a
/// moment.
#[test]
fn poll_ageing_break() {
    let mut rig = Rig::new(1);
    rig.relax();
    rig.teach();
    for _ in 0..100 {
        rig.submit("settle", "b").expect("admitted");
    }
    let first = rig.submit("bulk", "a").expect("admitted");
    drain(&mut rig, 24, 100);
    rig.cancel(first);
    let second = rig.submit("bulk", "a").expect("admitted");
    assert!(drain(&mut rig, 20, 100).contains(&second), "2.2 s after the class began to wait");
}

/// Guards against cancelled requests that are dispatched or keep their place in the bound.
#[test]
fn cancel_table() {
    let mut rig = Rig::new(1);
    assert_eq!(rig.cancel(99), CancelResult::Unknown);
    let ids: Vec<u64> = (0..20).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.sent();
    assert_eq!(rig.cancel(running[0].id), CancelResult::Running);
    let next = rig.finish(&running[0], AttemptResult::Unknown);
    let (outcome, reason) = (Outcome::Unknown, Reason::Cancelled);
    assert_eq!(next, NextAction::Ended { outcome, reason }, "no retry for a caller that is gone");
    for id in &ids[2..] {
        assert_eq!(rig.cancel(*id), CancelResult::Ended(Outcome::NotRun));
        assert_eq!(rig.cancel(*id), CancelResult::Unknown);
    }
    assert!(rig.sent().is_empty());
    assert_eq!(rig.router.open_requests(), 1);
    for _ in 0..20 {
        rig.submit("check", "a").expect("the places are free again");
    }
}

/// Guards against a request that loses its place because an agent was full, and against an agent
/// that is asked again at once.
#[test]
fn on_result_full() {
    let mut rig = Rig::new(1);
    rig.teach();
    let ids: Vec<u64> = (0..4).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.sent();
    let next = rig.finish(&running[0], AttemptResult::Full);
    assert_eq!(next, NextAction::Requeued { reason: Reason::Full });
    assert_eq!(rig.member(0).other_slots, 1);
    assert!(rig.sent().is_empty(), "the view says that the slot is used by others");
    rig.advance(40);
    rig.finish(&running[1], AttemptResult::Answered);
    let again = rig.sent();
    assert_eq!((again[0].id, again[0].attempt), (ids[0], 2), "first again, one slot only");
    assert_eq!(again.len(), 1);
    rig.advance(60);
    assert_eq!(rig.sent()[0].id, ids[2], "the other slot is presumed free after a mean service");
    let late = rig.router.on_result(ids[0], 1, AttemptResult::Answered, rig.clock.now());
    assert_eq!(late, NextAction::Ignored, "result of an earlier attempt");
}

/// Guards against requests that stay behind when their route is removed, and against limits that an
/// edit does not change.
#[test]
fn apply_tables_edit() {
    let mut rig = Rig::new(1);
    let ids: Vec<u64> = (0..5).map(|_| rig.submit("check", "a").expect("admitted")).collect();
    let running = rig.sent();
    let mut tables = rig.tables.clone();
    tables.routes.retain(|route| route.name != "check");
    tables.pools[0].slots = 1;
    rig.router.apply_tables(&tables, rig.clock.now());
    let expected: Vec<_> =
        ids[2..].iter().map(|id| (*id, Outcome::NotRun, Reason::RouteRemoved)).collect();
    assert_eq!(ended(&rig.poll()), expected);
    rig.submit("bulk", "a").expect("admitted");
    rig.finish(&running[0], AttemptResult::Answered);
    assert!(rig.sent().is_empty(), "one slot, and it is in use");
    rig.finish(&running[1], AttemptResult::Answered);
    assert_eq!(rig.sent().len(), 1);
    tables.pools.clear();
    tables.routes.clear();
    rig.router.apply_tables(&tables, rig.clock.now());
    assert_eq!(rig.submit("bulk", "a"), Err(Reason::UnknownRoute));
}

/// Guards against a decision that does not say how much time is left.
#[test]
fn poll_budget() {
    let mut rig = Rig::new(1);
    rig.submit("check", "a").expect("admitted");
    rig.advance(30);
    let decision = rig.poll().remove(0);
    let Decision::Dispatch { waited, budget, .. } = decision else { panic!("{decision:?}") };
    assert_eq!((waited, budget), (Duration::from_millis(30), Duration::from_millis(770)));
}
