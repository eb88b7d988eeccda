//! Tests of the shared types.

use std::time::Duration;

use skylarkpulley_types::{AgentId, Clock, Digest, ManualClock, Outcome, rank_nodes};

/// Guards against a digest that ignores the boundaries between its parts.
#[test]
fn digest_moved_boundary() {
    assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
}

/// Guards against clones of a manual clock that show different times.
#[test]
fn manual_clock_shared_by_clones() {
    let clock = ManualClock::new();
    let other = clock.clone();
    let start = clock.now();
    other.advance(Duration::from_secs(3));
    assert_eq!(clock.now() - start, Duration::from_secs(3));
}

/// Guards against a restarted agent that is mistaken for its predecessor or for another agent.
#[test]
fn agent_id_supersedes() {
    let predecessor = AgentId::new("a", 1);
    assert!(AgentId::new("a", 2).supersedes(&predecessor));
    assert!(!predecessor.supersedes(&predecessor));
    assert!(!AgentId::new("b", 2).supersedes(&predecessor));
}

/// Guards against an outcome whose header value does not parse back to the same outcome.
#[test]
fn outcome_round_trip() {
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(Outcome::parse(&outcome.to_string()), Some(outcome));
    }
    assert_eq!(Outcome::parse("lost"), None);
}

/// Guards against a ranking in which the removal of one node changes the order of the others.
#[test]
fn rank_nodes_stable_under_removal() {
    let all = ["e1", "e2", "e3", "e4"];
    for key in ["p1", "p2", "p3", "p4", "p5"] {
        let ranked = rank_nodes(key, &all);
        let remaining: Vec<&str> = all.into_iter().filter(|node| *node != ranked[0]).collect();
        assert_eq!(rank_nodes(key, &remaining), ranked[1..]);
    }
}
