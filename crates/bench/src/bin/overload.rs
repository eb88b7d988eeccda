//! Prints the overload replay of the routing core and its baselines.

use std::time::Instant;

use argh::FromArgs;
use skylarkpulley_bench::overload::{Fifo, Policy, RoundRobin, Routed, Scenario, Score, replay};

type Make = fn(&Scenario, usize, Instant) -> Box<dyn Policy>;

const POLICIES: [(&str, Make); 4] = [
    ("routing", |scenario, entry, now| Box::new(Routed::new(scenario, entry, now))),
    ("fifo", |scenario, _, _| Box::new(Fifo::new(scenario))),
    ("round-robin", |scenario, _, _| Box::new(RoundRobin::new(scenario, usize::MAX))),
    ("round-robin-8", |scenario, _, _| Box::new(RoundRobin::new(scenario, 8))),
];

/// Replays request routing at 0.7, 1.0, 1.5 and 3 times capacity.
#[derive(FromArgs)]
struct Args {
    /// only this policy: routing, fifo, round-robin or round-robin-8
    #[argh(option)]
    policy: Option<String>,
    /// requests of the first entry for each request of one of the others
    #[argh(option, default = "1.0")]
    skew: f64,
    /// upstream that answers with an error at once
    #[argh(option)]
    broken: Option<usize>,
    /// number of upstreams that vanish half way
    #[argh(option, default = "0")]
    vanish: usize,
    /// give all kinds of requests a mean service of 40 ms
    #[argh(switch)]
    equal: bool,
    /// seed of arrivals and service times
    #[argh(option, default = "17")]
    seed: u64,
}

fn main() {
    let args: Args = argh::from_env();
    let chosen = |name: &str| args.policy.as_deref().is_none_or(|only| only == name);
    for (name, policy) in POLICIES.into_iter().filter(|(name, _)| chosen(name)) {
        for load in [0.7, 1.0, 1.5, 3.0] {
            let mut scenario = Scenario::new(load);
            if args.equal {
                scenario = scenario.with_equal_service();
            }
            (scenario.entries[0], scenario.seed) = (args.skew, args.seed);
            (scenario.broken, scenario.vanish) = (args.broken, args.vanish);
            let score = replay(&scenario, |entry, now| policy(&scenario, entry, now));
            println!("{name:14} {load:3.1}x  {score}");
            print_classes(&score);
        }
    }
}

fn print_classes(score: &Score) {
    for class in &score.classes {
        let wait = class.expired_wait.as_secs_f64() * 1e3 / class.expired.max(1) as f64;
        println!(
            "    {:8} offered {:6}  late {:5}  refused at once {:6}  after a wait {:6} ({wait:.0} ms)  full {:6}",
            class.name, class.offered, class.late, class.refused, class.expired, class.full
        );
    }
}
