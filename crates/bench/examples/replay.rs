//! Prints the replay of every scenario for both objectives as a table. Arguments: the first and the
//! last seed.

use skylarkpulley_bench::replay::{
    Baseline, Core, EventList, Measures, Rule, Scenario, pool, replay,
};

/// Seeds that were not used when the constants of the core were chosen.
const SEEDS: [u64; 2] = [11, 40];

fn print(name: &str, measures: &Measures) {
    let (met, claims) = measures.claims_met();
    let classes: Vec<String> =
        [0, 1, 3, 5].iter().map(|class| format!("{:.0}", measures.class_mean(*class))).collect();
    println!(
        "| {name} | {:.0} | {:.0} | {:.0} | {} | {:.2} | {:.3} | {:.0} | {:.3} | {:.0} | {met}/{claims} | {} |",
        measures.mean(),
        measures.quantile(0.5),
        measures.quantile(0.99),
        classes.join("/"),
        measures.slowdown(),
        measures.mean_fragmentation(),
        measures.large_wait(),
        measures.utilisation(),
        measures.lost,
        measures.unfinished,
    );
}

fn main() {
    let given: Vec<u64> = std::env::args().skip(1).flat_map(|arg| arg.parse().ok()).collect();
    let [first, last] = given.try_into().unwrap_or(SEEDS);
    let seeds = first..=last;
    println!(
        "| policy | mean s | p50 s | p99 s | class 0/1/3/5 s | slowdown | fragmentation | large wait s | utilisation | lost acc. s | claims met | unfinished |"
    );
    for scenario in Scenario::ALL {
        println!("{scenario:?}");
        let lists: Vec<EventList> =
            seeds.clone().map(|seed| EventList::new(scenario, seed, 24)).collect();
        for rule in [Rule::FirstFit, Rule::BestFit, Rule::Easy] {
            let mut all = Measures::default();
            for list in &lists {
                all.add(&replay(list, &mut Baseline::new(rule, list)));
            }
            print(&format!("{rule:?}"), &all);
        }
        for objective in [0.2, 0.8] {
            let mut all = Measures::default();
            let pool = pool(objective);
            for (list, seed) in lists.iter().zip(seeds.clone()) {
                all.add(&replay(list, &mut Core::new(&pool, list, seed)));
            }
            print(&format!("core {objective}"), &all);
        }
    }
}
