use std::collections::BTreeMap;

use skylarkpulley_routing::{AttemptResult, Reason};
use skylarkpulley_types::Clock;

use crate::rig::{Rig, agent};

/// Guards against an upstream that gets more than its slots, or slots that stay idle.
#[test]
fn poll_slot_limit() {
    let mut rig = Rig::new(3);
    for team in ["a", "b", "c"] {
        for _ in 0..4 {
            rig.submit("check", team).expect("admitted");
        }
    }
    let mut count = BTreeMap::new();
    for sent in rig.sent() {
        *count.entry(sent.agent.name).or_insert(0) += 1;
    }
    assert_eq!(count.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

/// Guards against a connection limit below the slots that is ignored, alone and with the
/// connections that others use.
#[test]
fn poll_connection_limit() {
    for (used, expected) in [(0, 3), (2, 1), (3, 0)] {
        let mut rig = Rig::new(1);
        let mut tables = rig.tables.clone();
        (tables.pools[0].slots, tables.pools[0].connections) = (8, 3);
        rig.router.apply_tables(&tables, rig.clock.now());
        let report = skylarkpulley_routing::Report {
            sequence: 100,
            serving: true,
            upstream_incarnation: 1,
            connections_used: used,
            ..Default::default()
        };
        assert!(rig.router.on_report(&agent(0, 1), 1, &report, rig.clock.now()));
        for _ in 0..6 {
            rig.submit("check", "a").expect("admitted");
        }
        assert_eq!(rig.sent().len(), expected, "{used} connections in use");
    }
}

/// Guards against a choice that ignores what others use: the busier of two is never taken.
#[test]
fn poll_least_loaded() {
    let mut rig = Rig::new(2);
    let mut tables = rig.tables.clone();
    tables.pools[0].slots = 8;
    rig.router.apply_tables(&tables, rig.clock.now());
    rig.report(&agent(0, 1), 1, true, 1, 4);
    for _ in 0..4 {
        rig.submit("check", "a").expect("admitted");
    }
    for sent in rig.sent() {
        assert_eq!((sent.agent, sent.reason), (agent(1, 1), Reason::LeastLoaded));
    }
}

/// Guards against load that gathers on few upstreams: each of 11 gets a fair part of 1,100.
#[test]
fn poll_spread() {
    let mut rig = Rig::new(11);
    let mut count = BTreeMap::new();
    for _ in 0..100 {
        for _ in 0..11 {
            rig.submit("check", "a").expect("admitted");
        }
        let round = rig.sent();
        rig.advance(1);
        for sent in round {
            rig.finish(&sent, AttemptResult::Answered);
            *count.entry(sent.agent.name).or_insert(0) += 1;
        }
    }
    assert!(count.len() == 11 && count.values().all(|count| (70..=130).contains(count)));
}

/// Guards against choices that differ between runs with one seed.
#[test]
fn poll_deterministic() {
    let run = || {
        let mut rig = Rig::new(11);
        for _ in 0..20 {
            rig.submit("check", "a").expect("admitted");
        }
        rig.sent().into_iter().map(|sent| sent.agent.name).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
