use std::time::Duration;

use skylarkpulley_routing::{AttemptResult, Decision, MemberState, Reason, Report};
use skylarkpulley_types::Clock;

use crate::rig::{Rig, Sent, agents};

/// Runs `rounds` batches of one request per upstream; `result` says how each attempt ends. Returns
/// all attempts and the decisions about upstreams.
fn drive(
    rig: &mut Rig,
    rounds: usize,
    result: impl Fn(usize) -> (u64, AttemptResult),
) -> (Vec<usize>, Vec<Decision>) {
    let (mut targets, mut decisions) = (Vec::new(), Vec::new());
    let mut running: Vec<(u64, Sent)> = Vec::new();
    let mut time = 0;
    for _ in 0..rounds * 10 {
        for team in ["a", "b", "c"] {
            let _ = rig.submit("check", team);
        }
        let polled = rig.poll();
        for sent in crate::rig::sent(polled.clone()) {
            let index = index(&sent);
            targets.push(index);
            running.push((time + result(index).0, sent));
        }
        decisions.extend(polled);
        rig.advance(10);
        time += 10;
        rig.heartbeat();
        let due = |(end, _): &mut (u64, Sent)| *end <= time;
        for (_, sent) in running.extract_if(.., due).collect::<Vec<_>>() {
            let attempt = result(index(&sent)).1;
            rig.finish(&sent, attempt);
        }
    }
    let mut running: Vec<Sent> = running.into_iter().map(|(_, sent)| sent).collect();
    while rig.router.open_requests() > 0 {
        for sent in running {
            rig.finish(&sent, AttemptResult::Withdrawn);
        }
        rig.advance(5);
        rig.heartbeat();
        running = rig.sent();
    }
    (targets, decisions)
}

fn index(sent: &Sent) -> usize {
    sent.agent.name[6..].parse().expect("agent name")
}

fn out(rig: &Rig, upstreams: usize) -> usize {
    let out =
        |index: &usize| matches!(rig.state(*index), MemberState::Ejected(_) | MemberState::Probing);
    (0..upstreams).filter(out).count()
}

fn ejections(decisions: &[Decision]) -> Vec<(Duration, Reason)> {
    let pick = |decision: &Decision| match decision {
        Decision::Ejected { length, reason, .. } => Some((*length, *reason)),
        _ => None,
    };
    decisions.iter().filter_map(pick).collect()
}

/// Guards against broken and slow upstreams that stay in use, and against ejections that take more
/// than half of a pool or good upstreams.
#[test]
fn judge_fault_table() {
    type Fault = fn(usize) -> (u64, AttemptResult);
    let cases: [(&str, usize, Fault, usize); 7] = [
        ("all good", 4, |_| (20, AttemptResult::Answered), 0),
        (
            "one fails at once",
            4,
            |index| {
                if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
            },
            1,
        ),
        (
            "one cannot be reached",
            4,
            |index| {
                if index == 0 {
                    (0, AttemptResult::Unreachable)
                } else {
                    (20, AttemptResult::Answered)
                }
            },
            1,
        ),
        (
            "one is ten times as slow",
            4,
            |index| (if index == 0 { 200 } else { 20 }, AttemptResult::Answered),
            1,
        ),
        (
            "one never answers",
            4,
            |index| {
                if index == 0 {
                    (800, AttemptResult::Unknown)
                } else {
                    (20, AttemptResult::Answered)
                }
            },
            1,
        ),
        (
            "three of four fail",
            4,
            |index| {
                if index < 3 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
            },
            2,
        ),
        ("the only one fails", 1, |_| (0, AttemptResult::Errored), 0),
    ];
    for (name, upstreams, fault, expected) in cases {
        let mut rig = Rig::new(upstreams);
        let (_, decisions) = drive(&mut rig, 30, fault);
        assert_eq!(out(&rig, upstreams), expected, "{name}");
        let swapped = |decision: &&Decision| {
            matches!(decision, Decision::Returned { reason: Reason::EjectionLimit, .. })
        };
        assert_eq!(decisions.iter().find(swapped), None, "{name}: equally bad ones took turns");
    }
}

/// Guards against requests that fail everywhere and take half of the pool out of use.
#[test]
fn judge_all_bad() {
    let mut rig = Rig::new(4);
    drive(&mut rig, 30, |_| (10, AttemptResult::Errored));
    assert_eq!(out(&rig, 4), 0);
}

/// Guards against an upstream that fails at once and attracts work because it looks idle: until it
/// is ejected it gets no more than its share.
#[test]
fn finish_instant_errors() {
    let settings = skylarkpulley_routing::RoutingSettings {
        max_consecutive_errors: u32::MAX,
        min_samples: u32::MAX,
        ..Default::default()
    };
    let mut rig = Rig::with_settings(4, settings);
    rig.teach();
    let (targets, _) = drive(&mut rig, 40, |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (100, AttemptResult::Answered) }
    });
    let bad = targets.iter().filter(|index| **index == 0).count();
    assert!(bad * 4 <= targets.len() * 5 / 4, "{bad} of {}", targets.len());
}

/// Guards against ejection times that do not grow for an upstream which fails every probe.
#[test]
fn eject_flapping() {
    let mut rig = Rig::new(4);
    let (targets, decisions) = drive(&mut rig, 200, |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    });
    let lengths: Vec<f64> =
        ejections(&decisions).iter().map(|(length, _)| length.as_secs_f64()).collect();
    assert!(lengths.len() >= 4, "{lengths:?}");
    let grows = |pair: &[f64]| pair[1] > pair[0] * 1.1;
    assert!(lengths.windows(2).all(grows), "{lengths:?}");
    let bad = targets.iter().filter(|index| **index == 0).count();
    assert!(bad < 20, "{bad} requests went to the broken upstream");
}

/// Guards against a recovered upstream that stays out, and against more than one probe at a time.
#[test]
fn choose_probe() {
    let mut rig = Rig::new(4);
    let broken = |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    };
    drive(&mut rig, 6, broken);
    assert_eq!(out(&rig, 4), 1);
    rig.run(2000);
    assert_eq!(rig.state(0), MemberState::Probing);
    for _ in 0..6 {
        rig.submit("check", "a").expect("admitted");
    }
    let sent = rig.sent();
    let probes: Vec<&Sent> = sent.iter().filter(|sent| sent.reason == Reason::Probe).collect();
    assert!(probes.len() == 1 && index(probes[0]) == 0);
    assert_eq!(rig.member(0).own_attempts, 1);
    for sent in &sent {
        rig.finish(sent, AttemptResult::Answered);
    }
    let (_, decisions) = drive(&mut rig, 5, |_| (20, AttemptResult::Answered));
    let returned = |decision: &&Decision| matches!(decision, Decision::Returned { .. });
    assert_eq!(decisions.iter().filter(returned).count(), 1);
    assert_eq!(rig.state(0), MemberState::Serving);
    assert_eq!(rig.member(0).ejections, 1, "remembered for the next ejection");
}

/// Guards against a probe with a request that must not run twice while others can be used.
#[test]
fn choose_probe_idempotent_only() {
    let mut rig = Rig::new(2);
    let broken = |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    };
    drive(&mut rig, 6, broken);
    rig.run(1500);
    assert_eq!(rig.state(0), MemberState::Probing);
    rig.submit("settle", "a").expect("admitted");
    assert_eq!(index(&rig.sent()[0]), 1);
    rig.run(5000);
    rig.submit("settle", "a").expect("admitted");
    assert_eq!(index(&rig.sent()[0]), 0, "after 5 s without an idempotent request any will do");
}

/// Guards against a pool of which more than half is out because members left after ejections.
#[test]
fn tick_floor() {
    let mut rig = Rig::new(4);
    drive(&mut rig, 30, |index| {
        if index < 2 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    });
    assert_eq!(out(&rig, 4), 2);
    rig.router.on_leaving(&agents(4)[3]);
    rig.poll();
    assert_eq!(out(&rig, 4), 1);
}

/// Guards against an upstream that fails for other entries and is tried by this one first.
#[test]
fn report_failures_of_others() {
    let mut rig = Rig::new(4);
    let now = rig.clock.now();
    for (sequence, runs, failures) in [(100, 50, 0), (101, 100, 45)] {
        let report = Report {
            sequence,
            serving: true,
            upstream_incarnation: 1,
            runs,
            failures,
            ..Report::default()
        };
        assert!(rig.router.on_report(&agents(4)[0], 1, &report, now));
    }
    let ejected = ejections(&rig.poll());
    assert_eq!(ejected.len(), 1);
    assert_eq!(ejected[0].1, Reason::ErrorRate);
}
