//! Decisions on waiting, stopping and leaving room, each with the load that it answers.

use std::time::Duration;

use skylarkpulley_jobs::{
    Claim, Estimates, Eviction, Resources, is_small, judge_claim, leave_room,
};

const STOP: Duration = Duration::from_millis(900);
const RECLAIM: Duration = Duration::from_millis(3400);

fn claim(guaranteed: bool, slack_ms: i64, vacancy_ms: u64) -> Claim {
    Claim {
        guaranteed,
        slack_ms,
        vacancy: Some(Duration::from_millis(vacancy_ms)),
        waited: Duration::ZERO,
    }
}

fn is_stop(eviction: Eviction) -> bool {
    matches!(eviction, Eviction::Stop { .. })
}

/// Guards against throwing work away that ends before the claim has to start.
#[test]
fn claim_ends_in_time() {
    assert_eq!(judge_claim(&claim(false, 1600, 800), STOP, RECLAIM), Eviction::Wait);
    assert_eq!(judge_claim(&claim(true, 1600, 800), STOP, RECLAIM), Eviction::Wait);
}

/// Guards against a claim that waits for runs that end too late, and is late itself.
#[test]
fn claim_ends_too_late() {
    assert!(is_stop(judge_claim(&claim(false, 1500, 1200), STOP, RECLAIM)));
    assert!(is_stop(judge_claim(&claim(true, 1500, 1200), STOP, RECLAIM)));
}

/// Guards against a claim that waits until its latest start, which rests on an uncertain run time: it
/// was late by 0.1 s (inc-25f2).
#[test]
fn claim_slack_used_up() {
    assert!(is_stop(judge_claim(&claim(true, 1600, 1100), STOP, RECLAIM)));
}

/// Guards against a guaranteed claim with much slack that misses the bound of its guarantee.
#[test]
fn claim_guarantee_bound() {
    let mut late = claim(true, 60_000, 1000);
    assert_eq!(judge_claim(&late, STOP, RECLAIM), Eviction::Wait);
    late.waited = Duration::from_millis(400);
    assert!(is_stop(judge_claim(&late, STOP, RECLAIM)), "1.4 s and a stop of 0.9 s and a margin");
}

/// Guards against claims that cost others as much when they are late anyhow as when they are not, and
/// against work of other classes that stops anything.
#[test]
fn claim_late_or_low() {
    let waste = |claim: &Claim| match judge_claim(claim, STOP, RECLAIM) {
        Eviction::Stop { waste } => waste,
        other => panic!("{other:?}"),
    };
    assert!(waste(&claim(false, -100, 5000)) < waste(&claim(false, 1000, 5000)));
    assert!(!Claim::may_stop(1, false) && Claim::may_stop(0, false) && Claim::may_stop(1, true));
}

/// Guards against deadlines from estimates that are off by a factor of two and more: runs of a route
/// take about 2.5 s whatever their estimates say.
#[test]
fn estimates_scattered() {
    let mut estimates = Estimates::new();
    assert_eq!(estimates.correct("checks", 600), 600, "nothing is known yet");
    for estimate_ms in [300, 6000, 1200, 9000, 500, 2500, 4000, 800, 7000, 1500, 400, 3000] {
        estimates.observe("checks", estimate_ms, Duration::from_millis(2500));
    }
    for estimate_ms in [300, 2500, 9000] {
        let corrected = estimates.correct("checks", estimate_ms);
        assert!((1500..=4200).contains(&corrected), "{estimate_ms}: {corrected}");
    }
    assert_eq!(estimates.correct("looks", 600), 600, "another route");
}

/// Guards against corrections of estimates that are right.
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

/// Guards against bulk tasks that take one accelerator of each worker, so that a task that needs a
/// whole worker has to stop some of them.
#[test]
fn headroom_bulk_tasks() {
    let whole = Resources { accelerators: 8, cores: 64_000, memory: 262_144 };
    let bulk = Resources { accelerators: 1, cores: 5600, memory: 16_000 };
    let gang = Resources { accelerators: 1, cores: 26_000, memory: 140_000 };
    assert!(is_small(&bulk, &whole) && !is_small(&gang, &whole));
    let mut free = vec![whole; 11];
    let mut placed = 0;
    while let Some(index) =
        leave_room(&free, (0..11).collect()).into_iter().find(|index| free[*index].fits(&bulk))
    {
        free[index].subtract(&bulk);
        placed += 1;
    }
    assert_eq!(free.iter().filter(|resources| **resources == whole).count(), 3);
    assert_eq!(placed, 8 * 8, "the others are filled");
}

/// Guards against a task that no worker takes because the only ones that may run it are the emptiest.
#[test]
fn headroom_few_workers() {
    let whole = Resources { accelerators: 8, cores: 64_000, memory: 262_144 };
    let used = Resources { accelerators: 1, ..whole };
    let free = [used, whole, whole, used];
    assert_eq!(leave_room(&free, vec![1]), [1]);
    assert_eq!(leave_room(&free, vec![1, 2]), [1, 2]);
    assert_eq!(leave_room(&free, vec![0, 1, 3]), [0, 3]);
}
