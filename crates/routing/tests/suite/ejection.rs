use std::time::Duration;

use skylarkpulley_routing::{AttemptResult, Decision, MemberState, Reason, Report};
use skylarkpulley_types::Clock;

use crate::rig::{Dispatch, Rig, agents};

/// Submits a request of each team every 10 ms, `rounds * 10` times. `result` returns the duration
/// and result of an attempt at the upstream of the given index. Returns the upstreams of all
/// attempts and all decisions.
fn run_load(
    rig: &mut Rig,
    rounds: usize,
    result: impl Fn(usize) -> (u64, AttemptResult),
) -> (Vec<usize>, Vec<Decision>) {
    let (mut targets, mut decisions) = (Vec::new(), Vec::new());
    let mut running: Vec<(u64, Dispatch)> = Vec::new();
    let mut time = 0;
    for _ in 0..rounds * 10 {
        for team in ["a", "b", "c"] {
            let _ = rig.submit("check", team);
        }
        let polled = rig.poll();
        for dispatch in crate::rig::dispatches(polled.clone()) {
            let index = index(&dispatch);
            targets.push(index);
            running.push((time + result(index).0, dispatch));
        }
        decisions.extend(polled);
        rig.advance(10);
        time += 10;
        rig.send_reports();
        let due = |(end, _): &mut (u64, Dispatch)| *end <= time;
        for (_, dispatch) in running.extract_if(.., due).collect::<Vec<_>>() {
            let attempt = result(index(&dispatch)).1;
            rig.finish(&dispatch, attempt);
        }
    }
    let mut running: Vec<Dispatch> = running.into_iter().map(|(_, dispatch)| dispatch).collect();
    while rig.router.open_requests() > 0 {
        for dispatch in running {
            rig.finish(&dispatch, AttemptResult::Withdrawn);
        }
        rig.advance(5);
        rig.send_reports();
        running = rig.poll_dispatches();
    }
    (targets, decisions)
}

fn index(dispatch: &Dispatch) -> usize {
    dispatch.agent.name[6..].parse().expect("agent name")
}

fn ejected_count(rig: &Rig, upstreams: usize) -> usize {
    let ejected =
        |index: &usize| matches!(rig.state(*index), MemberState::Ejected(_) | MemberState::Probing);
    (0..upstreams).filter(ejected).count()
}

fn ejections(decisions: &[Decision]) -> Vec<(Duration, Reason)> {
    let pick = |decision: &Decision| match decision {
        Decision::Ejected { length, reason, .. } => Some((*length, *reason)),
        _ => None,
    };
    decisions.iter().filter_map(pick).collect()
}

/// Guards against failing and slow upstreams that stay in service, and against ejections of more
/// than half of a pool or of healthy upstreams.
#[test]
fn eject_if_outlier_fault_table() {
    type Fault = fn(usize) -> (u64, AttemptResult);
    let cases: [(&str, usize, Fault, usize); 7] = [
        ("all are healthy", 4, |_| (20, AttemptResult::Answered), 0),
        (
            "one fails immediately",
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
        let (_, decisions) = run_load(&mut rig, 30, fault);
        assert_eq!(ejected_count(&rig, upstreams), expected, "{name}");
        let swapped = |decision: &&Decision| {
            matches!(decision, Decision::Returned { reason: Reason::EjectionLimit, .. })
        };
        assert_eq!(
            decisions.iter().find(swapped),
            None,
            "{name}: equally bad upstreams were ejected alternately"
        );
    }
}

/// Guards against ejections because of requests that fail on every upstream.
#[test]
fn eject_if_outlier_all_failing() {
    let mut rig = Rig::new(4);
    run_load(&mut rig, 30, |_| (10, AttemptResult::Errored));
    assert_eq!(ejected_count(&rig, 4), 0);
}

/// Guards against an upstream that fails immediately and attracts requests because it seems idle:
/// until it is ejected it must receive no more than its share.
#[test]
fn finish_attempt_instant_errors() {
    let settings = skylarkpulley_routing::RoutingSettings {
        max_errors: u32::MAX,
        min_samples: u32::MAX,
        ..Default::default()
    };
    let mut rig = Rig::with_settings(4, settings);
    rig.set_service_times();
    let (targets, _) = run_load(&mut rig, 40, |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (100, AttemptResult::Answered) }
    });
    let failing_count = targets.iter().filter(|index| **index == 0).count();
    assert!(failing_count * 4 <= targets.len() * 5 / 4, "{failing_count} of {}", targets.len());
}

/// Guards against ejections that do not become longer for an upstream that fails every probe.
#[test]
fn eject_flapping() {
    let mut rig = Rig::new(4);
    let (targets, decisions) = run_load(&mut rig, 200, |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    });
    let lengths: Vec<f64> =
        ejections(&decisions).iter().map(|(length, _)| length.as_secs_f64()).collect();
    assert!(lengths.len() >= 4, "{lengths:?}");
    let grows = |pair: &[f64]| pair[1] > pair[0] * 1.1;
    assert!(lengths.windows(2).all(grows), "{lengths:?}");
    let failing_count = targets.iter().filter(|index| **index == 0).count();
    assert!(failing_count < 20, "{failing_count} requests were sent to the failing upstream");
}

/// Guards against a recovered upstream that stays ejected, and against more than one probe at a
/// time.
#[test]
fn choose_probe() {
    let mut rig = Rig::new(4);
    let failing = |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    };
    run_load(&mut rig, 6, failing);
    assert_eq!(ejected_count(&rig, 4), 1);
    rig.advance_with_reports(2000);
    assert_eq!(rig.state(0), MemberState::Probing);
    for _ in 0..6 {
        rig.submit("check", "a").expect("admitted");
    }
    let dispatches = rig.poll_dispatches();
    let probes: Vec<&Dispatch> =
        dispatches.iter().filter(|dispatch| dispatch.reason == Reason::Probe).collect();
    assert!(probes.len() == 1 && index(probes[0]) == 0);
    assert_eq!(rig.member(0).own_attempts, 1);
    for dispatch in &dispatches {
        rig.finish(dispatch, AttemptResult::Answered);
    }
    let (_, decisions) = run_load(&mut rig, 5, |_| (20, AttemptResult::Answered));
    let returned = |decision: &&Decision| matches!(decision, Decision::Returned { .. });
    assert_eq!(decisions.iter().filter(returned).count(), 1);
    assert_eq!(rig.state(0), MemberState::Serving);
    assert_eq!(rig.member(0).ejections, 1, "kept for the duration of the next ejection");
}

/// Guards against probes with requests that are not idempotent during the first 5 s of probing.
#[test]
fn choose_probe_idempotent_only() {
    let mut rig = Rig::new(2);
    let failing = |index| {
        if index == 0 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    };
    run_load(&mut rig, 6, failing);
    rig.advance_with_reports(1500);
    assert_eq!(rig.state(0), MemberState::Probing);
    rig.submit("settle", "a").expect("admitted");
    assert_eq!(index(&rig.poll_dispatches()[0]), 1);
    rig.advance_with_reports(5000);
    rig.submit("settle", "a").expect("admitted");
    assert_eq!(index(&rig.poll_dispatches()[0]), 0, "after 5 s any request may serve as a probe");
}

/// Guards against more than half of a pool being ejected because members left after ejections.
#[test]
fn apply_timeouts_ejection_limit() {
    let mut rig = Rig::new(4);
    run_load(&mut rig, 30, |index| {
        if index < 2 { (0, AttemptResult::Errored) } else { (20, AttemptResult::Answered) }
    });
    assert_eq!(ejected_count(&rig, 4), 2);
    rig.router.on_leaving(&agents(4)[3]);
    rig.poll();
    assert_eq!(ejected_count(&rig, 4), 1);
}

/// Guards against ignoring the failures of an upstream that only other entries observed.
#[test]
fn on_report_failures_of_others() {
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
