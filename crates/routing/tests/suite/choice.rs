use std::collections::BTreeMap;

use skylarkpulley_routing::{AttemptResult, Reason};
use skylarkpulley_types::Clock;

use crate::rig::{Rig, agent};

/// Guards against more attempts at an upstream than it has slots, and against slots that remain
/// idle.
#[test]
fn poll_slot_limit() {
    let mut rig = Rig::new(3);
    for team in ["a", "b", "c"] {
        for _ in 0..4 {
            rig.submit("check", team).expect("admitted");
        }
    }
    let mut counts = BTreeMap::new();
    for dispatch in rig.poll_dispatches() {
        *counts.entry(dispatch.agent.name).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

/// Guards against ignoring a connection limit that is lower than the slots, both without and with
/// connections used by other entries.
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
        assert_eq!(rig.poll_dispatches().len(), expected, "{used} connections in use");
    }
}

/// Guards against a selection that ignores the slots used by other entries: the more loaded of two
/// upstreams must never be selected.
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
    for dispatch in rig.poll_dispatches() {
        assert_eq!((dispatch.agent, dispatch.reason), (agent(1, 1), Reason::LeastLoaded));
    }
}

/// Guards against load concentrated on few upstreams: each of 11 must receive 70 to 130 of 1,100
/// requests.
#[test]
fn poll_spread() {
    let mut rig = Rig::new(11);
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        for _ in 0..11 {
            rig.submit("check", "a").expect("admitted");
        }
        let dispatches = rig.poll_dispatches();
        rig.advance(1);
        for dispatch in dispatches {
            rig.finish(&dispatch, AttemptResult::Answered);
            *counts.entry(dispatch.agent.name).or_insert(0) += 1;
        }
    }
    assert!(counts.len() == 11 && counts.values().all(|count| (70..=130).contains(count)));
}

/// Guards against selections that differ between executions with the same seed.
#[test]
fn poll_deterministic() {
    let run = || {
        let mut rig = Rig::new(11);
        for _ in 0..20 {
            rig.submit("check", "a").expect("admitted");
        }
        rig.poll_dispatches().into_iter().map(|dispatch| dispatch.agent.name).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
