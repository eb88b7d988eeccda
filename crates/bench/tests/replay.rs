//! Replays of half a day with regression bounds. docs/placement.md has the figures of whole days.

use skylarkpulley_bench::replay::{
    Baseline, Core, EventList, Measures, Rule, Scenario, pool, replay,
};

const HOURS: u64 = 12;

fn core(scenario: Scenario, objective: f64) -> Measures {
    let pool = pool(objective);
    let mut total = Measures::default();
    for seed in 1..4 {
        let list = EventList::new(scenario, seed, HOURS);
        total.add(&replay(&list, &mut Core::new(&pool, &list, seed)));
    }
    total
}

fn easy(scenario: Scenario) -> Measures {
    let mut total = Measures::default();
    for seed in 1..4 {
        let list = EventList::new(scenario, seed, HOURS);
        total.add(&replay(&list, &mut Baseline::new(Rule::Easy, &list)));
    }
    total
}

/// Guards against jobs that never end, claims that start late, and mean completion times above
/// those of EASY backfill, in any scenario.
#[test]
fn replay_claims_met_ahead_of_easy() {
    for scenario in Scenario::ALL {
        let easy = easy(scenario);
        for objective in [0.2, 0.8] {
            let core = core(scenario, objective);
            assert_eq!(core.unfinished, 0, "{scenario:?} at {objective}");
            let (met, claims) = core.claims_met();
            assert!(claims > 0 && met == claims, "{scenario:?}: {met} of {claims} claims met");
            // Completion time has the larger weight at 0.2. At 0.8 its weight is smaller, and its
            // mean may be up to 5 % above that of EASY backfill.
            let bound = if objective < 0.5 { 1.0 } else { 1.05 };
            let (core_mean, easy_mean) = (core.mean_time(), easy.mean_time());
            assert!(
                core_mean < easy_mean * bound,
                "{scenario:?} at {objective}: {core_mean:.0}, {easy_mean:.0}"
            );
        }
    }
}

/// Guards against results that differ between two replays with the same seeds.
#[test]
fn replay_deterministic() {
    let measure = || {
        let total = core(Scenario::SickWorker, 0.8);
        (total.completion_times, total.fragmentation_integral.to_bits(), total.lost_work.to_bits())
    };
    assert_eq!(measure(), measure());
}
