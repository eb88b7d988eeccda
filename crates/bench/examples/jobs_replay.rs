//! Prints what the coordinator and simple policies earn with the same lists of jobs.

use skylarkpulley_bench::jobs_replay::{
    Baseline, Coordinated, Load, Policy, Rule, Score, generate, replay,
};

const SEEDS: u64 = 20;
const WORKERS: usize = 11;

/// Name of a policy and how it is made.
type Candidate = (&'static str, fn() -> Box<dyn Policy>);

fn main() {
    println!("load           policy        earned   urgent late   core-seconds lost");
    for load in [Load::Steady, Load::UrgentBursts, Load::BulkFlood] {
        let policies: [Candidate; 3] = [
            ("coordinator", || Box::new(Coordinated::new(WORKERS))),
            ("first fit", || Box::new(Baseline::new(Rule::FirstFit))),
            ("EASY", || Box::new(Baseline::new(Rule::Easy))),
        ];
        for (name, policy) in policies {
            let mut sum = Score::default();
            for seed in 1..=SEEDS {
                sum.add(&replay(&generate(load, seed), policy().as_mut(), seed));
            }
            println!(
                "{:<14} {name:<12} {:>7.4} {:>13} {:>19.0}",
                format!("{load:?}"),
                sum.share(),
                sum.urgent_late,
                sum.waste
            );
        }
    }
}
