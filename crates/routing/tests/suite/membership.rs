use std::time::Duration;

use skylarkpulley_routing::{AttemptResult, Decision, MemberState, Reason, Report};
use skylarkpulley_types::Clock;

use crate::rig::{Rig, agent};

/// A message or event of the only agent; numbers are the incarnation and the session.
enum Step {
    Hello(u64, u64),
    /// Incarnation, session, serving flag and upstream incarnation.
    Report(u64, u64, bool, u64),
    /// Repeats the first report of the session after a later one.
    Repeat,
    Leaving(u64),
    Close(u64),
    Wait(u64),
    /// The agent refuses an attempt because it is leaving.
    Refuse,
}

/// Name of the case, steps with whether each is accepted, and whether the upstream receives
/// requests afterwards.
type Case<'a> = (&'a str, &'a [(Step, bool)], bool);

fn apply(rig: &mut Rig, step: &Step) -> bool {
    match *step {
        Step::Hello(incarnation, session) => rig.hello(&agent(0, incarnation), session),
        Step::Report(incarnation, session, serving, upstream) => {
            rig.report(&agent(0, incarnation), session, serving, upstream, 0)
        }
        Step::Repeat => {
            let report =
                Report { sequence: 1, serving: true, upstream_incarnation: 1, ..Report::default() };
            rig.router.on_report(&agent(0, 1), 1, &report, rig.clock.now())
        }
        Step::Leaving(incarnation) => rig.router.on_leaving(&agent(0, incarnation)),
        Step::Close(session) => rig.router.on_closed(&agent(0, 1), session),
        Step::Wait(millis) => {
            rig.advance(millis);
            true
        }
        Step::Refuse => {
            rig.run_request("check", 0, AttemptResult::Leaving);
            rig.router.cancel(rig.submitted, rig.clock.now());
            true
        }
    }
}

/// Guards against late, repeated and lost messages that return a member to service or keep it in
/// service (I6).
#[test]
fn membership_fault_table() {
    use Step::{Close, Hello, Leaving, Refuse, Repeat, Report, Wait};
    let (yes, no) = (true, false);
    let cases: &[Case<'_>] = &[
        ("no fault", &[], yes),
        ("hello without a report", &[(Hello(2, 2), yes)], no),
        ("old report", &[(Hello(2, 2), yes), (Report(1, 1, yes, 1), no)], no),
        ("old hello", &[(Hello(2, 2), yes), (Report(2, 2, no, 1), yes), (Hello(1, 3), no)], no),
        ("leaving, late report", &[(Leaving(1), yes), (Report(1, 1, yes, 1), yes)], no),
        (
            "leaving before the first report",
            &[(Hello(2, 2), yes), (Leaving(2), yes), (Report(2, 2, yes, 1), yes)],
            no,
        ),
        (
            "leaving, new session",
            &[(Leaving(1), yes), (Hello(1, 2), yes), (Report(1, 2, yes, 1), yes)],
            no,
        ),
        ("old leaving", &[(Hello(2, 2), yes), (Report(2, 2, yes, 1), yes), (Leaving(1), no)], yes),
        ("leaving, next upstream", &[(Leaving(1), yes), (Report(1, 1, yes, 2), yes)], yes),
        ("old upstream", &[(Report(1, 1, no, 2), yes), (Report(1, 1, yes, 1), yes)], no),
        ("expired, serving again", &[(Report(1, 1, no, 1), yes), (Report(1, 1, yes, 1), yes)], yes),
        ("repeated report", &[(Report(1, 1, no, 1), yes), (Repeat, no)], no),
        ("earlier session", &[(Hello(1, 2), yes), (Report(1, 1, yes, 1), no)], no),
        ("closed", &[(Close(1), yes)], no),
        ("late close", &[(Hello(1, 2), yes), (Report(1, 2, yes, 1), yes), (Close(1), no)], yes),
        ("silence", &[(Wait(2500), yes)], no),
        ("report after silence", &[(Wait(2500), yes), (Report(1, 1, yes, 1), no)], no),
        ("refused attempt", &[(Refuse, yes)], no),
        ("refused attempt, serving again", &[(Refuse, yes), (Report(1, 1, yes, 1), yes)], yes),
    ];
    for (name, steps, serves) in cases {
        let mut rig = Rig::new(1);
        for (step, accepted) in *steps {
            assert_eq!(apply(&mut rig, step), *accepted, "{name}");
        }
        let admitted = rig.submit("check", "a");
        assert_eq!(admitted == Err(Reason::NoUpstream), !serves, "{name}");
        assert_eq!(rig.poll_dispatches().is_empty(), !serves, "{name}");
    }
}

/// Guards against a delayed report that keeps a failed agent in service: with a sending time, the
/// member is out of service 2.5 s after the report was sent.
#[test]
fn on_report_delayed() {
    let mut rig = Rig::new(0);
    let agent = agent(0, 1);
    rig.hello(&agent, 1);
    let report = |rig: &mut Rig, sequence, sent| {
        let sent = Some(Duration::from_millis(sent));
        let report =
            Report { sequence, sent, serving: true, upstream_incarnation: 1, ..Report::default() };
        rig.router.on_report(&agent, 1, &report, rig.clock.now())
    };
    assert!(report(&mut rig, 1, 5000));
    rig.advance(1000);
    assert!(report(&mut rig, 2, 6000));
    // Sent 1 s after the second report; arrives 1.4 s late.
    rig.advance(2400);
    assert!(report(&mut rig, 3, 7000));
    rig.advance(1080);
    assert!(rig.submit("check", "a").is_ok());
    rig.advance(40);
    assert_eq!(rig.submit("check", "a"), Err(Reason::NoUpstream));
}

/// Guards against a member that stays out of service forever because its session was silent for
/// some time but not closed, and against a member that returns because of a report sent before the
/// silence.
#[test]
fn on_report_after_silence() {
    let mut rig = Rig::new(0);
    let agent = agent(0, 1);
    rig.hello(&agent, 1);
    let report = |rig: &mut Rig, sequence, sent| {
        let sent = Some(Duration::from_millis(sent));
        let report =
            Report { sequence, sent, serving: true, upstream_incarnation: 1, ..Report::default() };
        rig.router.on_report(&agent, 1, &report, rig.clock.now())
    };
    assert!(report(&mut rig, 1, 1000));
    rig.advance(5000);
    assert_eq!(rig.submit("check", "a"), Err(Reason::NoUpstream));
    rig.poll();
    assert!(!report(&mut rig, 2, 2000), "sent 4 s ago");
    assert!(report(&mut rig, 3, 6000), "sent just now");
    assert!(rig.submit("check", "a").is_ok());
    rig.router.on_closed(&agent, 1);
    assert!(!report(&mut rig, 4, 6000));
}

/// Guards against mistaking a slow clock of an agent for delays: 1 % drift for an hour.
#[test]
fn on_report_drift() {
    let mut rig = Rig::new(0);
    let agent = agent(0, 1);
    rig.hello(&agent, 1);
    for sequence in 1..=3600 {
        let sent = Some(Duration::from_millis(sequence * 990));
        let report =
            Report { sequence, sent, serving: true, upstream_incarnation: 1, ..Report::default() };
        assert!(rig.router.on_report(&agent, 1, &report, rig.clock.now()), "{sequence}");
        rig.advance(1000);
    }
    rig.advance(1000);
    assert!(rig.submit("check", "a").is_ok());
}

/// Guards against a silent session without a decision to close it.
#[test]
fn poll_silent() {
    let mut rig = Rig::new(1);
    let wake = rig.router.next_wake(rig.clock.now()).expect("a wake-up");
    assert_eq!(wake, rig.clock.now() + Duration::from_millis(2500));
    rig.advance(2500);
    assert_eq!(rig.poll(), [Decision::Silent { agent: agent(0, 1), session: 1 }]);
    assert_eq!(rig.state(0), MemberState::Silent);
    assert!(rig.hello(&agent(0, 1), 2));
    assert!(rig.report(&agent(0, 1), 2, true, 1, 0));
    assert_eq!(rig.state(0), MemberState::Serving);
}

/// Guards against more attempts at a restarted agent than it has slots while attempts of the
/// earlier incarnation may still run, and against late results of these attempts counting as its
/// errors.
#[test]
fn on_hello_restarted() {
    let mut rig = Rig::new(1);
    rig.submit("check", "a").expect("admitted");
    let old = rig.poll_dispatches().remove(0);
    assert!(rig.hello(&agent(0, 2), 2));
    assert!(rig.report(&agent(0, 2), 2, true, 1, 0));
    for _ in 0..2 {
        rig.submit("check", "a").expect("admitted");
    }
    assert_eq!(rig.poll_dispatches().len(), 1);
    rig.finish(&old, AttemptResult::Unknown);
    assert_eq!(rig.member(0).error_rate, 0.0);
    assert_eq!(rig.poll_dispatches().len(), 1);
}

/// Guards against removing an incarnation while late messages can still arrive, and against members
/// that are kept forever.
#[test]
fn poll_retention() {
    let mut rig = Rig::new(2);
    rig.router.on_closed(&agent(0, 1), 1);
    rig.advance_with_reports(590_000);
    assert!(!rig.hello(&agent(0, 1), 1));
    rig.advance_with_reports(20_000);
    assert_eq!(rig.router.snapshot(rig.clock.now()).pools[0].members.len(), 1);
}
