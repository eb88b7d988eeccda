//! The coordinator against simple policies, on the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, generate, replay,
};

const SEEDS: u64 = 4;
const WORKERS: usize = 11;

fn play(load: Load, policy: impl Fn() -> Box<dyn Policy>) -> Score {
    let mut sum = Score::default();
    for seed in 1..=SEEDS {
        sum.add(&replay(&generate(load, seed), policy().as_mut(), seed));
    }
    sum
}

/// Checks that no simple policy earns more with `load`, or serves more urgent jobs in time.
fn check(load: Load) {
    let own = play(load, || Box::new(Coordinated::new(WORKERS)));
    for rule in [Rule::FirstFit, Rule::Easy] {
        let simple = play(load, || Box::new(Baseline::new(rule)));
        assert!(own.share() > simple.share(), "{load:?} {rule:?}: {own:?} {simple:?}");
        assert!(own.urgent_late < simple.urgent_late, "{load:?} {rule:?}: {own:?} {simple:?}");
    }
}

/// Guards against decisions that a simple policy beats while two thirds of the pool are in use.
#[test]
fn coordinator_steady() {
    check(Load::Steady);
}

/// Guards against the same when urgent jobs come in bursts.
#[test]
fn coordinator_urgent_bursts() {
    check(Load::UrgentBursts);
}

/// Guards against bulk work that keeps urgent and large tasks waiting.
#[test]
fn coordinator_bulk_flood() {
    check(Load::BulkFlood);
}

/// Guards against a replay that is not the same every time.
#[test]
fn coordinator_repeatable() {
    let jobs = generate(Load::UrgentBursts, 7);
    let earned = || replay(&jobs, &mut Coordinated::new(WORKERS), 7).earned;
    assert_eq!(earned().to_bits(), earned().to_bits());
}
