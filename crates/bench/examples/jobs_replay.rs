//! Prints the scores of the coordinator and of simple policies with the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, Setup, generate, generate_wide, replay,
};

const SEEDS: u64 = 20;
const WIDE_SEEDS: u64 = 5;

/// Name and constructor of a policy.
type Candidate = (&'static str, fn() -> Box<dyn Policy>);

fn main() {
    println!("load           policy        earned   urgent late   core-seconds lost");
    for load in [Load::Steady, Load::UrgentBursts, Load::BulkFlood] {
        let policies: [Candidate; 3] = [
            ("coordinator", || Box::new(Coordinated::new(&Setup::small()))),
            ("first fit", || Box::new(Baseline::new(Rule::FirstFit))),
            ("EASY", || Box::new(Baseline::new(Rule::Easy))),
        ];
        for (name, policy) in policies {
            let mut total = Score::default();
            for seed in 1..=SEEDS {
                total.add(&replay(&Setup::small(), &generate(load, seed), policy().as_mut(), seed));
            }
            print_score(&format!("{load:?}"), name, &total);
        }
    }
    let large = Setup::large();
    let setups = [
        ("wide", large.clone()),
        ("mixed speeds", large.clone().with_mixed_speeds()),
        ("lost starts", large.clone().with_lost_starts(0.5).with_mixed_speeds()),
        ("takeovers", large.with_takeovers(&[3000, 6000, 9000, 12_000])),
    ];
    for (load, setup) in setups {
        let mut totals = [Score::default(); 3];
        for seed in 1..=WIDE_SEEDS {
            let jobs = generate_wide(setup.teams, seed);
            totals[0].add(&replay(&setup, &jobs, &mut Coordinated::new(&setup), seed));
            totals[1].add(&replay(&setup, &jobs, &mut Baseline::new(Rule::FirstFit), seed));
            totals[2].add(&replay(&setup, &jobs, &mut Baseline::new(Rule::Easy), seed));
        }
        for (name, total) in ["coordinator", "first fit", "EASY"].into_iter().zip(&totals) {
            print_score(load, name, total);
        }
    }
}

fn print_score(load: &str, name: &str, score: &Score) {
    println!(
        "{load:<14} {name:<12} {:>7.4} {:>13} {:>19.0}",
        score.earned_share(),
        score.urgent_late,
        score.waste
    );
}
