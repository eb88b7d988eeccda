//! Decisions on waiting, preemption and headroom, and run time estimates, each for a load pattern.

use std::time::Duration;

use skylarkpulley_jobs::{
    Claim, ClaimDecision, Estimates, Resources, decide_claim, exclude_emptiest, is_small,
};

const STOP: Duration = Duration::from_millis(900);
const RECLAIM: Duration = Duration::from_millis(3400);

fn claim(guaranteed: bool, slack_ms: i64, free_after_ms: u64) -> Claim {
    Claim {
        free_after: Some(Duration::from_millis(free_after_ms)),
        guaranteed,
        slack_ms,
        waited: Duration::ZERO,
    }
}

fn is_stop(decision: ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Stop { .. })
}

/// Guards against stopping runs that end before the claim must start.
#[test]
fn claim_ends_in_time() {
    assert_eq!(decide_claim(&claim(false, 1600, 800), STOP, RECLAIM), ClaimDecision::Wait);
    assert_eq!(decide_claim(&claim(true, 1600, 800), STOP, RECLAIM), ClaimDecision::Wait);
}

/// Guards against a late claim because it waits for runs that end too late.
#[test]
fn claim_ends_too_late() {
    assert!(is_stop(decide_claim(&claim(false, 1500, 1200), STOP, RECLAIM)));
    assert!(is_stop(decide_claim(&claim(true, 1500, 1200), STOP, RECLAIM)));
}

/// Guards against a claim that waits until its latest start. The latest start is derived from an
/// uncertain run time, and such a claim was late by 0.1 s (inc-25f2).
#[test]
fn claim_slack_used_up() {
    assert!(is_stop(decide_claim(&claim(true, 1600, 1100), STOP, RECLAIM)));
}

/// Guards against a guaranteed claim with much slack that exceeds the time limit of its guarantee.
#[test]
fn claim_guarantee_bound() {
    let mut late = claim(true, 60_000, 1000);
    assert_eq!(decide_claim(&late, STOP, RECLAIM), ClaimDecision::Wait);
    late.waited = Duration::from_millis(400);
    assert!(
        is_stop(decide_claim(&late, STOP, RECLAIM)),
        "1.4 s of waiting, a stop of 0.9 s and a margin exceed the limit"
    );
}

/// Guards against claims that destroy as much work when they are late in any case as when they are
/// not, and against preemption by work of lower classes without a guarantee.
#[test]
fn claim_late_or_low() {
    let max_lost_work = |claim: &Claim| match decide_claim(claim, STOP, RECLAIM) {
        ClaimDecision::Stop { max_lost_work } => max_lost_work,
        other => panic!("{other:?}"),
    };
    assert!(max_lost_work(&claim(false, -100, 5000)) < max_lost_work(&claim(false, 1000, 5000)));
    assert!(!Claim::may_stop(1, false) && Claim::may_stop(0, false) && Claim::may_stop(1, true));
}

/// Guards against deadlines from estimates that are wrong by a factor of two and more. The runs of
/// the route take 2.5 s whatever their estimates are.
#[test]
fn estimates_scattered() {
    let mut estimates = Estimates::new();
    assert_eq!(estimates.correct("checks", 600), 600, "no run is recorded yet");
    for estimate_ms in [300, 6000, 1200, 9000, 500, 2500, 4000, 800, 7000, 1500, 400, 3000] {
        estimates.observe("checks", estimate_ms, Duration::from_millis(2500));
    }
    for estimate_ms in [300, 2500, 9000] {
        let corrected = estimates.correct("checks", estimate_ms);
        assert!((1500..=4200).contains(&corrected), "{estimate_ms}: {corrected}");
    }
    assert_eq!(estimates.correct("looks", 600), 600, "another route");
}

/// Guards against changes to estimates that are correct.
#[test]
fn estimates_right() {
    let mut estimates = Estimates::new();
    for estimate_ms in [400, 800, 1600, 3200, 6400].repeat(4) {
        estimates.observe("looks", estimate_ms, Duration::from_millis(estimate_ms));
    }
    for estimate_ms in [400, 6400] {
        let corrected = estimates.correct("looks", estimate_ms) as f64 / estimate_ms as f64;
        assert!((0.95..=1.05).contains(&corrected), "{estimate_ms}: {corrected}");
    }
}

/// Guards against bulk tasks that occupy one accelerator of each worker. A task that needs a whole
/// worker then has to stop some of them.
#[test]
fn headroom_bulk_tasks() {
    let whole = Resources { accelerators: 8, cores: 64_000, memory: 262_144 };
    let bulk = Resources { accelerators: 1, cores: 5600, memory: 16_000 };
    let gang = Resources { accelerators: 1, cores: 26_000, memory: 140_000 };
    assert!(is_small(&bulk, &whole) && !is_small(&gang, &whole));
    let mut free = vec![whole; 11];
    let mut placed = 0;
    while let Some(index) = exclude_emptiest(&free, (0..11).collect())
        .into_iter()
        .find(|index| free[*index].fits(&bulk))
    {
        free[index].subtract(&bulk);
        placed += 1;
    }
    assert_eq!(free.iter().filter(|resources| **resources == whole).count(), 3);
    assert_eq!(placed, 8 * 8, "the other workers are full");
}

/// Guards against a small task that is never placed because only the emptiest workers may run it.
#[test]
fn headroom_few_workers() {
    let whole = Resources { accelerators: 8, cores: 64_000, memory: 262_144 };
    let used = Resources { accelerators: 1, ..whole };
    let free = [used, whole, whole, used];
    assert_eq!(exclude_emptiest(&free, vec![1]), [1]);
    assert_eq!(exclude_emptiest(&free, vec![1, 2]), [1, 2]);
    assert_eq!(exclude_emptiest(&free, vec![0, 1, 3]), [0, 3]);
}
