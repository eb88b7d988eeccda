//! Prints the results of the baselines, and of the placer with both objectives, in every scenario
//! as tables. Arguments: the first and the last seed.

use skylarkpulley_bench::replay::{
    Baseline, Core, EventList, Measures, Rule, Scenario, pool, replay,
};

/// First and last seed by default. The constants of the placer were chosen without these seeds.
const SEEDS: [u64; 2] = [11, 40];

fn print_row(name: &str, measures: &Measures) {
    let (met, claims) = measures.claims_met();
    let classes: Vec<String> = [0, 1, 3, 5]
        .iter()
        .map(|class| format!("{:.0}", measures.class_mean_time(*class)))
        .collect();
    println!(
        "| {name} | {:.0} | {:.0} | {:.0} | {} | {:.2} | {:.3} | {:.0} | {:.3} | {:.0} | {met}/{claims} | {} |",
        measures.mean_time(),
        measures.time_quantile(0.5),
        measures.time_quantile(0.99),
        classes.join("/"),
        measures.mean_slowdown(),
        measures.mean_fragmentation(),
        measures.mean_large_wait(),
        measures.utilisation(),
        measures.lost_work,
        measures.unfinished,
    );
}

fn main() {
    let seed_args: Vec<u64> = std::env::args().skip(1).flat_map(|arg| arg.parse().ok()).collect();
    let [first, last] = seed_args.try_into().unwrap_or(SEEDS);
    let seeds = first..=last;
    println!(
        "| policy | mean s | p50 s | p99 s | class 0/1/3/5 s | slowdown | fragmentation | large wait s | utilisation | lost acc. s | claims met | unfinished |"
    );
    for scenario in Scenario::ALL {
        println!("{scenario:?}");
        let lists: Vec<EventList> =
            seeds.clone().map(|seed| EventList::new(scenario, seed, 24)).collect();
        for rule in [Rule::FirstFit, Rule::BestFit, Rule::Easy] {
            let mut total = Measures::default();
            for list in &lists {
                total.add(&replay(list, &mut Baseline::new(rule, list)));
            }
            print_row(&format!("{rule:?}"), &total);
        }
        for objective in [0.2, 0.8] {
            let mut total = Measures::default();
            let pool = pool(objective);
            for (list, seed) in lists.iter().zip(seeds.clone()) {
                total.add(&replay(list, &mut Core::new(&pool, list, seed)));
            }
            print_row(&format!("core {objective}"), &total);
        }
    }
}
