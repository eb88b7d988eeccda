//! Tests that compare the coordinator with simple policies on the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, Setup, generate, generate_wide, replay,
};

const SEEDS: u64 = 4;

fn replay_seeds(load: Load, policy: impl Fn() -> Box<dyn Policy>) -> Score {
    let mut total = Score::default();
    for seed in 1..=SEEDS {
        total.add(&replay(&Setup::small(), &generate(load, seed), policy().as_mut(), seed));
    }
    total
}

/// Checks that the coordinator earns more with `load` than each simple policy, and that fewer
/// urgent jobs miss their objective.
fn assert_beats_baselines(load: Load) {
    let coordinated = replay_seeds(load, || Box::new(Coordinated::new(&Setup::small())));
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
    let earned =
        || replay(&Setup::small(), &jobs, &mut Coordinated::new(&Setup::small()), 7).earned;
    assert_eq!(earned().to_bits(), earned().to_bits());
}

/// Checks that on 240 workers the coordinator earns more than each simple policy, and that fewer
/// urgent jobs miss their objective.
fn assert_beats_baselines_wide(setup: &Setup) {
    let jobs = generate_wide(setup.teams, 1);
    let coordinated = replay(setup, &jobs, &mut Coordinated::new(setup), 1);
    println!("coordinated {} {coordinated:?}", coordinated.earned_share());
    for rule in [Rule::FirstFit, Rule::Easy] {
        let baseline = replay(setup, &jobs, &mut Baseline::new(rule), 1);
        println!("{rule:?} {} {baseline:?}", baseline.earned_share());
        assert!(
            coordinated.earned_share() > baseline.earned_share(),
            "{rule:?}: {coordinated:?} {baseline:?}"
        );
        assert!(
            coordinated.urgent_late < baseline.urgent_late,
            "{rule:?}: {coordinated:?} {baseline:?}"
        );
    }
}

/// Guards against decisions worse than those of a simple policy with gangs of 8, 25 and more whose
/// members have unequal work.
#[test]
fn coordinator_wide_gangs() {
    assert_beats_baselines_wide(&Setup::large());
}

/// Guards against wide gangs that do not form because some of their starts are lost.
#[test]
fn coordinator_wide_lost_starts() {
    assert_beats_baselines_wide(&Setup::large().with_lost_starts(0.5));
}

/// Guards against wide gangs that are stopped because the coordinator is replaced several times.
#[test]
fn coordinator_wide_takeovers() {
    assert_beats_baselines_wide(&Setup::large().with_takeovers(&[3000, 6000, 9000, 12_000]));
}

/// Guards against urgent gangs that are late because one member is on a slow worker.
#[test]
fn coordinator_wide_speeds() {
    assert_beats_baselines_wide(&Setup::large().with_mixed_speeds());
}
