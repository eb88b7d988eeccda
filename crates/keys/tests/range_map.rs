//! Planning of owners and witnesses.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Gen, QuickCheck};
use skylarkpulley_keys::{AgentEndpoint, Candidate, RANGE_COUNT, RangeMap, range_of};
use skylarkpulley_types::AgentId;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn candidate(index: usize, incarnation: u64) -> Candidate {
    let agent = AgentId::new(&format!("agent-{index:02}"), incarnation);
    let endpoint = AgentEndpoint::new(agent, &format!("10.0.0.{index}:7"));
    Candidate::new(endpoint, DOMAINS[index % DOMAINS.len()])
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|index| candidate(index, 1)).collect()
}

fn all() -> BTreeSet<usize> {
    (0..RANGE_COUNT).collect()
}

/// Plans until the map stands, as if every range settled after each step.
fn settle(mut map: RangeMap, agents: &[Candidate]) -> RangeMap {
    for _ in 0..200 {
        match map.plan(agents, &all()) {
            Some(next) => map = next,
            None => return map,
        }
    }
    panic!("planning does not end");
}

fn owned(map: &RangeMap) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for range in &map.ranges {
        *counts.entry(range.owner.as_ref().unwrap().agent.name.as_str()).or_default() += 1;
    }
    counts
}

fn domain<'a>(agents: &'a [Candidate], endpoint: &Option<AgentEndpoint>) -> Option<&'a str> {
    let endpoint = endpoint.as_ref()?;
    let agent = agents.iter().find(|agent| agent.endpoint == *endpoint)?;
    Some(agent.domain.as_str())
}

/// Guards against ranges without a witness in another domain, and against uneven ownership.
#[test]
fn initial_map_is_balanced() {
    assert_eq!(RangeMap::initial(&[]), None);
    for count in [2, 3, 5, 11, 64, 100] {
        let agents = candidates(count);
        let map = RangeMap::initial(&agents).unwrap();
        assert_eq!((map.version, map.ranges.len()), (1, RANGE_COUNT));
        for range in &map.ranges {
            assert_eq!((range.epoch, range.reset_epoch, range.sealed), (1, 1, false));
            let owner = domain(&agents, &range.owner).unwrap();
            assert_ne!(Some(owner), domain(&agents, &range.witness), "{count} agents");
        }
        let counts = owned(&map);
        let spread = counts.values().max().unwrap() - counts.values().min().unwrap();
        assert!(spread <= 1, "{count} agents: {counts:?}");
    }
}

/// Guards against a takeover by an agent that does not hold the records, and against changes of
/// ranges that are not concerned.
#[test]
fn plan_replaces_lost_agents() {
    let agents = candidates(11);
    let map = RangeMap::initial(&agents).unwrap();
    for lost in 0..11 {
        let live: Vec<Candidate> =
            agents.iter().enumerate().filter(|(n, _)| *n != lost).map(|(_, a)| a.clone()).collect();
        let next = map.plan(&live, &BTreeSet::new()).unwrap();
        let gone = Some(agents[lost].endpoint.clone());
        for (old, new) in map.ranges.iter().zip(&next.ranges) {
            assert!(!new.sealed);
            if old.owner != gone && old.witness != gone {
                assert_eq!(old, new);
                continue;
            }
            assert_eq!(new.epoch, old.epoch + 1);
            let heir = if old.owner == gone { &old.witness } else { &old.owner };
            assert_eq!(new.owner, *heir);
            assert_ne!(domain(&live, &new.owner), domain(&live, &new.witness));
        }
        assert_eq!(next.plan(&live, &BTreeSet::new()), None);
    }
}

/// Guards against a range that serves without history after both of its agents are lost, restarted
/// agents included, and against a release that does not end the seal.
#[test]
fn plan_seals_ranges_without_agents() {
    let map = RangeMap::initial(&candidates(2)).unwrap();
    let restarted = [candidate(0, 2), candidate(1, 2)];
    assert_eq!(map.plan(&[], &all()), None);
    let next = map.plan(&restarted, &all()).unwrap();
    assert!(
        next.ranges.iter().all(|range| range.sealed && range.epoch == 2 && range.reset_epoch == 1)
    );
    let released = next.unseal(5).unwrap();
    let range = released.range(5).unwrap();
    assert_eq!((range.sealed, range.epoch, range.reset_epoch), (false, 3, 3));
    assert_eq!(released.version, next.version + 1);
    assert_eq!(released.unseal(5), None);
    assert!(released.seal(5, 2).is_none() && released.seal(RANGE_COUNT, 1).is_none());
    assert!(released.seal(5, 3).unwrap().ranges[5].sealed);
}

/// Guards against an agent that leaves while it still owns or witnesses a settled range, and
/// against moving a range whose witness may not hold the records.
#[test]
fn plan_hands_over_before_leaving() {
    let mut agents = candidates(6);
    let map = RangeMap::initial(&agents).unwrap();
    agents[0].leaving = true;
    agents[4] = agents[4].clone().with_leaving();
    assert_eq!(map.plan(&agents, &BTreeSet::new()), None);
    let next = settle(map.clone(), &agents);
    for agent in [&agents[0], &agents[4]] {
        assert_eq!(next.assigned_to(&agent.endpoint.agent), Vec::<usize>::new());
    }
    assert!(next.ranges.iter().all(|range| !range.sealed));
    // Each step keeps one of the two agents that hold the records.
    let step = map.plan(&agents, &all()).unwrap();
    for (old, new) in map.ranges.iter().zip(&step.ranges) {
        let kept = [&old.owner, &old.witness];
        assert!(kept.contains(&&new.owner));
    }
}

/// Guards against ownership that stays uneven after agents join, and against moving many ranges at
/// once for it.
#[test]
fn plan_balances_after_join() {
    let map = RangeMap::initial(&candidates(3)).unwrap();
    let agents = candidates(11);
    let step = map.plan(&agents, &all()).unwrap();
    let moved = map.ranges.iter().zip(&step.ranges).filter(|(old, new)| old != new).count();
    assert!((1..=4).contains(&moved), "{moved} ranges moved");
    let counts_of = settle(map, &agents);
    let counts = owned(&counts_of);
    assert!(counts.values().all(|count| (4..=8).contains(count)), "{counts:?}");
    assert_eq!(counts.len(), 11);
}

/// Guards against epochs that fall or stay at a change, lost records without a seal, and a witness
/// that is its own owner, over random sets of live agents.
#[test]
fn plan_invariants() {
    fn holds(rounds: Vec<(u16, u16, u64)>) -> bool {
        let mut map = RangeMap::initial(&candidates(5)).unwrap();
        rounds.into_iter().all(|(live, leaving, settled)| {
            let agents = (0..9).filter(|index| live >> index & 1 == 1).map(|index| {
                let agent = candidate(index, 1);
                if leaving >> index & 3 == 3 { agent.with_leaving() } else { agent }
            });
            let agents: Vec<Candidate> = agents.collect();
            let settled = (0..RANGE_COUNT).filter(|index| settled >> index & 1 == 1).collect();
            let Some(next) = map.plan(&agents, &settled) else { return true };
            let sound = map.ranges.iter().zip(&next.ranges).all(|(old, new)| {
                let kept = new.owner == old.owner || new.owner == old.witness;
                new.owner.is_some()
                    && new.owner != new.witness
                    && new.epoch == old.epoch + u64::from(new != old)
                    && (kept || new.sealed)
            });
            let grown = next.version == map.version + 1;
            map = next;
            sound && grown
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(200)
        .quickcheck(holds as fn(Vec<(u16, u16, u64)>) -> bool);
}

/// Guards against a store row that does not read back, and against keys outside the ranges.
#[test]
fn range_map_round_trip() {
    let map = RangeMap::initial(&candidates(11)).unwrap();
    let text = serde_json::to_string(&map).unwrap();
    println!("row key-ranges with 11 agents: {} bytes", text.len());
    assert_eq!(serde_json::from_str::<RangeMap>(&text).unwrap(), map);
    let used: BTreeSet<usize> = (0..2000).map(|n| range_of(&format!("key-{n}"))).collect();
    assert_eq!(used, all());
}
