//! Prints the scores of the coordinator and of simple policies with the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, Setup, generate, replay,
};

const SEEDS: u64 = 20;

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
            println!(
                "{:<14} {name:<12} {:>7.4} {:>13} {:>19.0}",
                format!("{load:?}"),
                total.earned_share(),
                total.urgent_late,
                total.waste
            );
        }
    }
}
