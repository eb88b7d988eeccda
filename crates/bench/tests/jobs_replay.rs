//! Tests that compare the coordinator with simple policies on the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, generate, replay,
};

const SEEDS: u64 = 4;
const WORKERS: usize = 11;

fn replay_seeds(load: Load, policy: impl Fn() -> Box<dyn Policy>) -> Score {
    let mut total = Score::default();
    for seed in 1..=SEEDS {
        total.add(&replay(&generate(load, seed), policy().as_mut(), seed));
    }
    total
}

/// Checks that the coordinator earns more with `load` than each simple policy, and that fewer
/// urgent jobs miss their objective.
fn assert_beats_baselines(load: Load) {
    let coordinated = replay_seeds(load, || Box::new(Coordinated::new(WORKERS)));
    for rule in [Rule::FirstFit, Rule::Easy] {
        let baseline = replay_seeds(load, || Box::new(Baseline::new(rule)));
        assert!(
            coordinated.earned_share() > baseline.earned_share(),
            "{load:?} {rule:?}: {coordinated:?} {baseline:?}"
        );
        assert!(
            coordinated.urgent_late < baseline.urgent_late,
            "{load:?} {rule:?}: {coordinated:?} {baseline:?}"
        );
    }
}

/// Guards against decisions worse than those of a simple policy while two thirds of the pool are in
/// use.
#[test]
fn coordinator_steady() {
    assert_beats_baselines(Load::Steady);
}

/// Guards against decisions worse than those of a simple policy when urgent jobs arrive in bursts.
#[test]
fn coordinator_urgent_bursts() {
    assert_beats_baselines(Load::UrgentBursts);
}

/// Guards against bulk jobs that delay urgent and large tasks.
#[test]
fn coordinator_bulk_flood() {
    assert_beats_baselines(Load::BulkFlood);
}

/// Guards against replays of the same jobs and seed with different results.
#[test]
fn coordinator_repeatable() {
    let jobs = generate(Load::UrgentBursts, 7);
    let earned = || replay(&jobs, &mut Coordinated::new(WORKERS), 7).earned;
    assert_eq!(earned().to_bits(), earned().to_bits());
}
