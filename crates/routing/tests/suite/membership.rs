use std::time::Duration;

use skylarkpulley_routing::{Attempt, Decision, MemberState, Reason, Report};
use skylarkpulley_types::Clock;

use crate::rig::{Rig, agent};

/// One late or lost message and whether the upstream may get work afterwards.
struct Case {
    name: &'static str,
    act: fn(&mut Rig),
    serves: bool,
}

/// Guards against late, repeated and lost messages that bring a member back or keep it in use (I6).
#[test]
fn membership_fault_table() {
    let cases = [
        Case { name: "no fault", act: |_| {}, serves: true },
        Case {
            name: "hello without a report",
            act: |rig| assert!(rig.hello(&agent(0, 2), 2)),
            serves: false,
        },
        Case {
            name: "report of an older incarnation after a restart",
            act: |rig| {
                assert!(rig.hello(&agent(0, 2), 2));
                assert!(!rig.report(&agent(0, 1), 1, true, 1, 0));
            },
            serves: false,
        },
        Case {
            name: "hello of an older incarnation after a restart",
            act: |rig| {
                assert!(rig.hello(&agent(0, 2), 2));
                assert!(rig.report(&agent(0, 2), 2, false, 1, 0));
                assert!(!rig.hello(&agent(0, 1), 3));
            },
            serves: false,
        },
        Case {
            name: "leaving before the first report, then a late report",
            act: |rig| {
                assert!(rig.hello(&agent(0, 2), 2));
                assert!(rig.router.on_leaving(&agent(0, 2)));
                rig.report(&agent(0, 2), 2, true, 1, 0);
            },
            serves: false,
        },
        Case {
            name: "leaving, then a late report of the same upstream",
            act: |rig| {
                assert!(rig.router.on_leaving(&agent(0, 1)));
                rig.report(&agent(0, 1), 1, true, 1, 0);
            },
            serves: false,
        },
        Case {
            name: "leaving, then a new session and a late report",
            act: |rig| {
                assert!(rig.router.on_leaving(&agent(0, 1)));
                assert!(rig.hello(&agent(0, 1), 2));
                rig.report(&agent(0, 1), 2, true, 1, 0);
            },
            serves: false,
        },
        Case {
            name: "leaving of an older incarnation arrives late",
            act: |rig| {
                assert!(rig.hello(&agent(0, 2), 2));
                assert!(rig.report(&agent(0, 2), 2, true, 1, 0));
                assert!(!rig.router.on_leaving(&agent(0, 1)));
            },
            serves: true,
        },
        Case {
            name: "leaving, then the next incarnation of the upstream",
            act: |rig| {
                assert!(rig.router.on_leaving(&agent(0, 1)));
                assert!(rig.report(&agent(0, 1), 1, true, 2, 0));
            },
            serves: true,
        },
        Case {
            name: "report of an older incarnation of the upstream",
            act: |rig| {
                rig.report(&agent(0, 1), 1, false, 2, 0);
                rig.report(&agent(0, 1), 1, true, 1, 0);
            },
            serves: false,
        },
        Case {
            name: "announcement expired and came back",
            act: |rig| {
                rig.report(&agent(0, 1), 1, false, 1, 0);
                rig.report(&agent(0, 1), 1, true, 1, 0);
            },
            serves: true,
        },
        Case {
            name: "repeated report",
            act: |rig| {
                rig.report(&agent(0, 1), 1, false, 1, 0);
                let late = Report { sequence: 1, serving: true, upstream: 1, ..Report::default() };
                let now = rig.clock.now();
                assert!(!rig.router.on_report(&agent(0, 1), 1, &late, now));
            },
            serves: false,
        },
        Case {
            name: "report of an earlier session",
            act: |rig| {
                assert!(rig.hello(&agent(0, 1), 2));
                assert!(!rig.report(&agent(0, 1), 1, true, 1, 0));
            },
            serves: false,
        },
        Case {
            name: "closed session",
            act: |rig| assert!(rig.router.on_closed(&agent(0, 1), 1)),
            serves: false,
        },
        Case {
            name: "an earlier session closes late",
            act: |rig| {
                assert!(rig.hello(&agent(0, 1), 2));
                assert!(rig.report(&agent(0, 1), 2, true, 1, 0));
                assert!(!rig.router.on_closed(&agent(0, 1), 1));
            },
            serves: true,
        },
        Case { name: "silence", act: |rig| rig.advance(2500), serves: false },
        Case {
            name: "report after silence on the same session",
            act: |rig| {
                rig.advance(2500);
                assert!(!rig.report(&agent(0, 1), 1, true, 1, 0));
            },
            serves: false,
        },
        Case {
            name: "the agent says that it is leaving when it is sent a run",
            act: |rig| {
                rig.submit("check", "a").expect("admitted");
                let sent = rig.sent().remove(0);
                rig.finish(&sent, Attempt::Leaving);
                rig.report(&agent(0, 1), 1, true, 1, 0);
            },
            serves: false,
        },
    ];
    for case in cases {
        let mut rig = Rig::new(1);
        (case.act)(&mut rig);
        let admitted = rig.submit("check", "a");
        let refused = admitted == Err(Reason::NoUpstream);
        assert_eq!(case.serves, !refused, "{}", case.name);
        let sent = rig.sent();
        assert_eq!(case.serves, !sent.is_empty(), "{}", case.name);
    }
}

/// Guards against a report that was held up on the way and makes a vanished agent look alive: with
/// a sending time the member goes out of use 2.5 s after the report was sent.
#[test]
fn on_report_delayed() {
    let mut rig = Rig::new(0);
    let agent = agent(0, 1);
    rig.hello(&agent, 1);
    let report = |rig: &mut Rig, sequence, sent| {
        let sent = Some(Duration::from_millis(sent));
        let report = Report { sequence, sent, serving: true, upstream: 1, ..Report::default() };
        rig.router.on_report(&agent, 1, &report, rig.clock.now())
    };
    assert!(report(&mut rig, 1, 5000));
    rig.advance(1000);
    assert!(report(&mut rig, 2, 6000));
    // Sent 1 s after the second report, arrives 1.4 s late.
    rig.advance(2400);
    assert!(report(&mut rig, 3, 7000));
    rig.advance(1080);
    assert!(rig.submit("check", "a").is_ok());
    rig.advance(40);
    assert_eq!(rig.submit("check", "a"), Err(Reason::NoUpstream));
}

/// Guards against a slow clock of an agent that is mistaken for delays: 1 % drift for an hour.
#[test]
fn on_report_drift() {
    let mut rig = Rig::new(0);
    let agent = agent(0, 1);
    rig.hello(&agent, 1);
    for sequence in 1..=3600 {
        let sent = Some(Duration::from_millis(sequence * 990));
        let report = Report { sequence, sent, serving: true, upstream: 1, ..Report::default() };
        assert!(rig.router.on_report(&agent, 1, &report, rig.clock.now()), "{sequence}");
        rig.advance(1000);
    }
    rig.advance(1000);
    assert!(rig.submit("check", "a").is_ok());
}

/// Guards against a session that goes silent without a decision to close it.
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

/// Guards against a restarted agent that gets more than its slots while attempts of its
/// predecessor may still run, and against late results of these that count against it.
#[test]
fn on_hello_restarted() {
    let mut rig = Rig::new(1);
    rig.submit("check", "a").expect("admitted");
    let old = rig.sent().remove(0);
    assert!(rig.hello(&agent(0, 2), 2));
    assert!(rig.report(&agent(0, 2), 2, true, 1, 0));
    for _ in 0..2 {
        rig.submit("check", "a").expect("admitted");
    }
    assert_eq!(rig.sent().len(), 1);
    rig.finish(&old, Attempt::Unknown);
    assert_eq!(rig.member(0).errors, 0.0);
    assert_eq!(rig.sent().len(), 1);
}

/// Guards against incarnations that are forgotten while late messages can still arrive, and
/// against members that are kept forever.
#[test]
fn poll_retention() {
    let mut rig = Rig::new(2);
    rig.router.on_closed(&agent(0, 1), 1);
    rig.run(590_000);
    assert!(!rig.hello(&agent(0, 1), 1));
    rig.run(20_000);
    assert_eq!(rig.router.snapshot(rig.clock.now()).pools[0].members.len(), 1);
}
