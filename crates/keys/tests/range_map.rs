//! Tests of the planning of owners and witnesses.

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

fn all_ranges() -> BTreeSet<usize> {
    (0..RANGE_COUNT).collect()
}

/// Plans until the map no longer changes, with every range reported as serving after each step.
fn plan_until_stable(mut map: RangeMap, agents: &[Candidate]) -> RangeMap {
    for _ in 0..200 {
        match map.plan(agents, &all_ranges()) {
            Some(next) => map = next,
            None => return map,
        }
    }
    panic!("the plan still changes after 200 steps");
}

/// Returns the number of owned ranges by the name of the agent.
fn owned_counts(map: &RangeMap) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for range in &map.ranges {
        *counts.entry(range.owner.as_ref().unwrap().agent.name.as_str()).or_default() += 1;
    }
    counts
}

/// Returns the failure domain of `endpoint`, or `None` when no agent in `agents` has it.
fn domain<'a>(agents: &'a [Candidate], endpoint: &Option<AgentEndpoint>) -> Option<&'a str> {
    let endpoint = endpoint.as_ref()?;
    let agent = agents.iter().find(|agent| agent.endpoint == *endpoint)?;
    Some(agent.domain.as_str())
}

/// Guards against ranges without a witness in another failure domain, and against unevenly
/// distributed ownership.
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
        let counts = owned_counts(&map);
        let spread = counts.values().max().unwrap() - counts.values().min().unwrap();
        assert!(spread <= 1, "{count} agents: {counts:?}");
    }
}

/// Guards against a takeover by an agent that does not have the records, and against changes of
/// ranges whose agents are all live.
#[test]
fn plan_replaces_lost_agents() {
    let agents = candidates(11);
    let map = RangeMap::initial(&agents).unwrap();
    for lost in 0..11 {
        let live: Vec<Candidate> = agents
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != lost)
            .map(|(_, agent)| agent.clone())
            .collect();
        let next = map.plan(&live, &BTreeSet::new()).unwrap();
        let lost_endpoint = Some(agents[lost].endpoint.clone());
        for (old, new) in map.ranges.iter().zip(&next.ranges) {
            assert!(!new.sealed);
            if old.owner != lost_endpoint && old.witness != lost_endpoint {
                assert_eq!(old, new);
                continue;
            }
            assert_eq!(new.epoch, old.epoch + 1);
            let survivor = if old.owner == lost_endpoint { &old.witness } else { &old.owner };
            assert_eq!(new.owner, *survivor);
            assert_ne!(domain(&live, &new.owner), domain(&live, &new.witness));
        }
        assert_eq!(next.plan(&live, &BTreeSet::new()), None);
    }
}

/// Guards against a range that is served without its records and without a seal after both of its
/// agents were lost or restarted, and against an unseal that does not end the seal.
#[test]
fn plan_seals_ranges_without_agents() {
    let map = RangeMap::initial(&candidates(2)).unwrap();
    let restarted = [candidate(0, 2), candidate(1, 2)];
    assert_eq!(map.plan(&[], &all_ranges()), None);
    let next = map.plan(&restarted, &all_ranges()).unwrap();
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

/// Guards against an agent that leaves while it still owns or witnesses a serving range, and
/// against moving a range whose witness may not have the records.
#[test]
fn plan_hands_over_before_leaving() {
    let mut agents = candidates(6);
    let map = RangeMap::initial(&agents).unwrap();
    agents[0].leaving = true;
    agents[4] = agents[4].clone().with_leaving();
    assert_eq!(map.plan(&agents, &BTreeSet::new()), None);
    let next = plan_until_stable(map.clone(), &agents);
    for agent in [&agents[0], &agents[4]] {
        assert_eq!(next.assigned_to(&agent.endpoint.agent), Vec::<usize>::new());
    }
    assert!(next.ranges.iter().all(|range| !range.sealed));
    // Each step keeps one of the two agents that have the records as the owner.
    let step = map.plan(&agents, &all_ranges()).unwrap();
    for (old, new) in map.ranges.iter().zip(&step.ranges) {
        let holders = [&old.owner, &old.witness];
        assert!(holders.contains(&&new.owner));
    }
}

/// Guards against ownership that remains uneven after agents join, and against a plan that moves
/// more than four ranges to balance it.
#[test]
fn plan_balances_after_join() {
    let map = RangeMap::initial(&candidates(3)).unwrap();
    let agents = candidates(11);
    let step = map.plan(&agents, &all_ranges()).unwrap();
    let moved = map.ranges.iter().zip(&step.ranges).filter(|(old, new)| old != new).count();
    assert!((1..=4).contains(&moved), "{moved} ranges moved");
    let balanced = plan_until_stable(map, &agents);
    let counts = owned_counts(&balanced);
    assert!(counts.values().all(|count| (4..=8).contains(count)), "{counts:?}");
    assert_eq!(counts.len(), 11);
}

/// Guards against a changed range whose epoch does not increase by one, lost records without a seal,
/// and an agent that is owner and witness of one range, over random sets of live agents.
#[test]
fn plan_invariants() {
    fn holds(rounds: Vec<(u16, u16, u64)>) -> bool {
        let mut map = RangeMap::initial(&candidates(5)).unwrap();
        rounds.into_iter().all(|(live, leaving, serving)| {
            let agents = (0..9).filter(|index| live >> index & 1 == 1).map(|index| {
                let agent = candidate(index, 1);
                if leaving >> index & 3 == 3 { agent.with_leaving() } else { agent }
            });
            let agents: Vec<Candidate> = agents.collect();
            let serving = (0..RANGE_COUNT).filter(|index| serving >> index & 1 == 1).collect();
            let Some(next) = map.plan(&agents, &serving) else { return true };
            let ranges_valid = map.ranges.iter().zip(&next.ranges).all(|(old, new)| {
                let owner_has_records = new.owner == old.owner || new.owner == old.witness;
                new.owner.is_some()
                    && new.owner != new.witness
                    && new.epoch == old.epoch + u64::from(new != old)
                    && (owner_has_records || new.sealed)
            });
            let version_increased = next.version == map.version + 1;
            map = next;
            ranges_valid && version_increased
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(200)
        .quickcheck(holds as fn(Vec<(u16, u16, u64)>) -> bool);
}

/// Guards against a store row that is not read back as it was written, and against a hash that
/// leaves ranges without keys.
#[test]
fn range_map_round_trip() {
    let map = RangeMap::initial(&candidates(11)).unwrap();
    let text = serde_json::to_string(&map).unwrap();
    println!("row key-ranges with 11 agents: {} bytes", text.len());
    assert_eq!(serde_json::from_str::<RangeMap>(&text).unwrap(), map);
    let used: BTreeSet<usize> = (0..2000).map(|n| range_of(&format!("key-{n}"))).collect();
    assert_eq!(used, all_ranges());
}
