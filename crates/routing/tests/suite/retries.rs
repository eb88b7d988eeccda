use std::time::Duration;

use skylarkpulley_routing::{AttemptResult, NextAction, Reason};
use skylarkpulley_types::{Clock, Outcome};

use crate::rig::{MS, Rig, agent};

/// Guards against a second run of a request that is not idempotent and may have run (I5), against
/// the outcome "not run" without proof (I4), and against missing retries.
#[test]
fn on_result_table() {
    let ended = |outcome, reason| Some((outcome, reason));
    let cases = [
        ("settle", AttemptResult::Answered, ended(Outcome::Answered, Reason::Answered)),
        ("settle", AttemptResult::Errored, ended(Outcome::Answered, Reason::ServerError)),
        ("settle", AttemptResult::Unknown, ended(Outcome::Unknown, Reason::OutcomeUnknown)),
        ("settle", AttemptResult::Withdrawn, ended(Outcome::NotRun, Reason::Withdrawn)),
        ("settle", AttemptResult::Unreachable, None),
        ("settle", AttemptResult::Full, None),
        ("settle", AttemptResult::Leaving, None),
        ("check", AttemptResult::Answered, ended(Outcome::Answered, Reason::Answered)),
        ("check", AttemptResult::Errored, None),
        ("check", AttemptResult::Unknown, None),
        ("check", AttemptResult::Unreachable, None),
    ];
    for (route, attempt, expected) in cases {
        let mut rig = Rig::new(3);
        let (_, next) = rig.run_request(route, 5, attempt);
        match (next, expected) {
            (NextAction::Ended { outcome, reason }, Some(expected)) => {
                assert_eq!((outcome, reason), expected, "{route} {attempt:?}");
            }
            (NextAction::Retry { at, .. }, None) => {
                let delay = at - rig.clock.now();
                assert!(delay >= 5 * MS && delay <= 15 * MS, "{route} {attempt:?} {delay:?}");
            }
            (NextAction::Requeued { .. }, None) => {}
            (next, _) => panic!("{route} {attempt:?}: {next:?}"),
        }
    }
}

/// Guards against an outcome that ignores an earlier attempt: after an attempt that may have run or
/// was answered with an error, a refused attempt must not lead to "not run".
#[test]
fn on_result_fallback() {
    let cases = [
        ([AttemptResult::Unknown, AttemptResult::Unreachable], Outcome::Unknown),
        ([AttemptResult::Errored, AttemptResult::Unknown], Outcome::Answered),
        ([AttemptResult::Unreachable, AttemptResult::Unreachable], Outcome::NotRun),
        ([AttemptResult::Unknown, AttemptResult::Withdrawn], Outcome::Unknown),
    ];
    for (attempts, expected) in cases {
        let mut rig = Rig::new(3);
        let (first, mut next) = rig.run_request("check", 1, attempts[0]);
        let mut agents = vec![first.agent];
        while let NextAction::Retry { at, .. } = next {
            rig.clock.advance(at - rig.clock.now());
            let dispatch = rig.poll_dispatches().remove(0);
            assert_ne!(Some(&dispatch.agent), agents.last(), "the retry uses another upstream");
            agents.push(dispatch.agent.clone());
            next = rig.finish(&dispatch, attempts[1]);
        }
        let NextAction::Ended { outcome, .. } = next else { panic!("{attempts:?}: {next:?}") };
        assert_eq!(outcome, expected, "{attempts:?}");
        assert!(agents.len() <= 3);
        assert_eq!(rig.router.open_requests(), 0);
    }
}

/// Guards against a retry that starts too late to meet the deadline.
#[test]
fn on_result_late() {
    let mut rig = Rig::new(3);
    rig.set_service_times();
    let (_, next) = rig.run_request("check", 695, AttemptResult::Unknown);
    let (outcome, reason) = (Outcome::Unknown, Reason::DeadlineUnmeetable);
    assert_eq!(next, NextAction::Ended { outcome, reason });
}

/// Guards against retries beyond the budget if every attempt fails: after the burst, only 10 % of
/// the first attempts, and further retries only after further first attempts.
#[test]
fn take_retry_limit() {
    let mut rig = Rig::new(3);
    let mut retries = 0;
    for round in 0..1000 {
        rig.submit("check", ["a", "b", "c"][round % 3]).expect("admitted");
        for dispatch in rig.poll_dispatches() {
            if let NextAction::Retry { .. } = rig.finish(&dispatch, AttemptResult::Unreachable) {
                retries += 1;
            }
        }
        rig.advance(200);
        rig.send_reports();
    }
    assert!((100..=132).contains(&retries), "{retries}");
}

/// Guards against a retry storm when a third of the upstreams fail simultaneously: the retries must
/// stay within the burst plus 10 % of the first attempts, and no request may be lost.
#[test]
fn poll_third_failing() {
    let mut rig = Rig::new(12);
    let (mut first_attempts, mut retries, mut ended) = (0_u32, 0_u32, 0_u32);
    for round in 0..200 {
        for team in ["a", "b", "c"] {
            for _ in 0..4 {
                first_attempts += u32::from(rig.submit("check", team).is_ok());
            }
        }
        let running = rig.poll_dispatches();
        rig.clock.advance(Duration::from_millis(20));
        for dispatch in running {
            let index: usize = dispatch.agent.name[6..].parse().expect("agent name");
            let failing = (50..100).contains(&round) && index < 4;
            let result = if failing { AttemptResult::Unreachable } else { AttemptResult::Answered };
            match rig.finish(&dispatch, result) {
                NextAction::Ended { .. } => ended += 1,
                NextAction::Retry { .. } => retries += 1,
                next => panic!("{next:?}"),
            }
        }
        rig.send_reports();
    }
    assert!(retries <= 32 + first_attempts / 10, "{retries} retries of {first_attempts}");
    assert!(retries > 10, "{retries}");
    assert_eq!(first_attempts - ended, rig.router.open_requests() as u32);
}

/// Guards against a retry at the upstream that has just failed because it is less loaded.
#[test]
fn choose_avoids_failed() {
    let mut rig = Rig::new(2);
    rig.report(&agent(1, 1), 1, true, 1, 1);
    let (first, next) = rig.run_request("check", 50, AttemptResult::Unknown);
    assert_eq!(first.agent, agent(0, 1));
    let NextAction::Retry { at, .. } = next else { panic!("{next:?}") };
    rig.clock.advance(at - rig.clock.now());
    rig.report(&agent(1, 1), 1, true, 1, 1);
    assert_eq!(rig.poll_dispatches()[0].agent, agent(1, 1));
}

/// Guards against a budget that grows without limit while no request fails, and against immediate
/// errors that reduce the estimated service time.
#[test]
fn add_first_attempt_limit() {
    let mut rig = Rig::new(3);
    for _ in 0..1000 {
        rig.run_request("settle", 10, AttemptResult::Answered);
        rig.send_reports();
    }
    let route = |rig: &Rig| rig.router.snapshot(rig.clock.now()).routes[2].clone();
    assert_eq!(route(&rig).available_retries, 32);
    for _ in 0..100 {
        rig.run_request("settle", 0, AttemptResult::Errored);
        rig.advance_with_reports(100);
    }
    assert_eq!(route(&rig).mean_service, Some(10 * MS));
}
