//! Tests of shares and admission without a coordinator.

use std::time::Duration;

use skylarkpulley_jobs::{
    Guarantee, JobTables, Resources, Shares, TeamEntry, WorkAhead, earliest_start, retry_after,
};

const CAPACITY: Resources = Resources { accelerators: 80, cores: 320_000, memory: 640_000 };
const FREE: Resources = Resources { accelerators: 0, cores: 100_000, memory: 100_000 };

const NONE: Resources = Resources { accelerators: 0, cores: 0, memory: 0 };

fn gpus(accelerators: i64) -> Resources {
    Resources { accelerators, cores: 1000, memory: 1000 }
}

fn tables(guarantees: &[(&str, i64)]) -> JobTables {
    let teams = guarantees.iter().map(|(name, accelerators)| TeamEntry {
        guarantee: Guarantee { accelerators: *accelerators },
        keys: Vec::new(),
        name: (*name).to_owned(),
    });
    JobTables { teams: teams.collect(), ..JobTables::default() }
}

/// Returns shares of a full pool for which `teams` compete, each with what it uses.
fn shares(teams: &[(&str, i64)], guarantees: &[(&str, i64)]) -> Shares {
    let mut shares = Shares::new(CAPACITY, FREE);
    for (team, used) in teams {
        shares.add_use(team, &gpus(*used));
        shares.add_waiting(team, &gpus(8));
    }
    shares.set_weights(&tables(guarantees));
    shares
}

fn ahead(accelerators: i64, run_ms: u64, until_ms: Option<u64>) -> WorkAhead {
    WorkAhead { run_ms, longest_ms: run_ms, resources: gpus(accelerators), until_ms }
}

/// Guards against equal treatment of teams that hold different guarantees. Load: two teams fill the
/// pool, one of which holds three times the guarantee of the other.
#[test]
fn is_over_weights() {
    let used = [("large", 50), ("small", 30)];
    let equal = shares(&used, &[("large", 16), ("small", 16)]);
    assert!(
        !equal.is_over("small", &NONE) && !equal.is_over("large", &NONE),
        "1.25 is within the tolerance"
    );
    let weighted = shares(&used, &[("large", 48), ("small", 16)]);
    assert!((weighted.share("large") - 50.0 / 80.0 * 2.0 / 1.25).abs() < 1e-9);
    assert!((weighted.share("small") - 30.0 / 80.0 * 2.0 / 0.75).abs() < 1e-9);
    let used = [("large", 52), ("small", 28)];
    assert!(shares(&used, &[]).is_over("large", &NONE), "without guarantees");
    assert!(!shares(&used, &[("large", 48), ("small", 16)]).is_over("large", &NONE));
}

/// Guards against weights under which a team with the whole pool is not over its share. Load: one of
/// two teams with equal guarantees holds the pool.
#[test]
fn is_over_equal_guarantees() {
    let shares = shares(&[("flood", 80), ("other", 0)], &[("flood", 24), ("other", 24)]);
    assert!(shares.is_over("flood", &NONE) && !shares.is_over("other", &NONE));
    assert_eq!(shares.range(), Some((1.0 * 2.0 / 320.0, 2.0)), "cores of `other` count as used");
}

/// Guards against a team that takes the second of two workers while another one waits, and against a
/// gang that never starts because it needs more than a fair share. Load: two teams with whole-worker
/// jobs, or a gang that needs the whole pool.
#[test]
fn is_over_next_tasks() {
    let half = shares(&[("flood", 40), ("other", 0)], &[]);
    assert!(!half.is_over("flood", &gpus(8)) && half.is_over("flood", &gpus(40)));
    assert!(!half.is_over("other", &gpus(80)));
}

/// Guards against shares in a pool that one team has to itself, and in one with room for all waiting
/// work.
#[test]
fn decide_alone_or_uncontended() {
    let single = shares(&[("flood", 80)], &[]);
    assert!(single.is_contended() && single.is_single("flood") && !single.is_over("flood", &NONE));
    let mut roomy = Shares::new(CAPACITY, gpus(16));
    roomy.add_use("flood", &gpus(64));
    roomy.add_waiting("other", &gpus(8));
    roomy.set_weights(&tables(&[]));
    assert!(!roomy.is_contended() && !roomy.is_over("flood", &NONE));
}

/// Guards against a bound that counts work which runs beside the job, or which has yielded by then.
/// Load: work for 10 s of the whole pool is ahead, in runs of 1 s.
#[test]
fn earliest_start_bounds() {
    assert_eq!(earliest_start(Vec::new(), &CAPACITY), 0);
    assert_eq!(earliest_start(vec![ahead(800, 1000, None)], &CAPACITY), 9000);
    assert_eq!(earliest_start(vec![ahead(1, 60_000, None)], &CAPACITY), 0, "runs beside it");
    let yielding = vec![ahead(400, 1000, Some(2000)), ahead(400, 1000, None)];
    assert_eq!(earliest_start(yielding, &CAPACITY), 4000, "the second half remains ahead");
    assert_eq!(earliest_start(vec![ahead(800, 1000, Some(2000))], &CAPACITY), 2000);
    assert_eq!(earliest_start(vec![ahead(800, 1000, None)], &Resources::default()), 0);
}

/// Guards against callers that return together, and against another answer to a repeat. Load: 1,000
/// callers are refused at once.
#[test]
fn retry_after_spread() {
    let wait = Duration::from_secs(12);
    let times: Vec<Duration> =
        (0..1000).map(|number| retry_after(&format!("{number:016x}"), wait)).collect();
    let (low, high) = (Duration::from_secs(9), Duration::from_secs(15));
    assert!(times.iter().all(|time| (low..=high).contains(time)));
    for second in 9..15 {
        let count = times.iter().filter(|time| time.as_secs() == second).count();
        assert!((120..=220).contains(&count), "{count} of 1000 return in second {second}");
    }
    assert_eq!(retry_after("2f", wait), retry_after("2f", wait));
    assert!(retry_after("2f", Duration::from_secs(900)) <= Duration::from_millis(37_500));
    assert!(retry_after("2f", Duration::ZERO) >= Duration::from_millis(750));
}
