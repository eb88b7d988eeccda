//! Prints the results of the overload replay for the router and its baselines.

use std::time::Instant;

use argh::FromArgs;
use skylarkpulley_bench::overload::{Fifo, Policy, RoundRobin, Routed, Scenario, Score, replay};

type PolicyConstructor = fn(&Scenario, usize, Instant) -> Box<dyn Policy>;

const POLICIES: [(&str, PolicyConstructor); 4] = [
    ("routing", |scenario, entry, now| Box::new(Routed::new(scenario, entry, now))),
    ("fifo", |scenario, _, _| Box::new(Fifo::new(scenario))),
    ("round-robin", |scenario, _, _| Box::new(RoundRobin::new(scenario, usize::MAX))),
    ("round-robin-8", |scenario, _, _| Box::new(RoundRobin::new(scenario, 8))),
];

/// Replays request routing at a load of 0.7, 1.0, 1.5 and 3 times the capacity.
#[derive(FromArgs)]
struct Args {
    /// replay only this policy: routing, fifo, round-robin or round-robin-8
    #[argh(option)]
    policy: Option<String>,
    /// ratio of the requests of the first entry to those of each other entry
    #[argh(option, default = "1.0")]
    skew: f64,
    /// index of an upstream that answers every attempt with an error at once
    #[argh(option)]
    broken: Option<usize>,
    /// number of upstreams that become unreachable halfway through the arrivals
    #[argh(option, default = "0")]
    vanish: usize,
    /// set the mean service time of all kinds of requests to 40 ms
    #[argh(switch)]
    equal: bool,
    /// seed of the random arrivals and service times
    #[argh(option, default = "17")]
    seed: u64,
}

fn main() {
    let args: Args = argh::from_env();
    let selected = |name: &str| args.policy.as_deref().is_none_or(|wanted| wanted == name);
    for (name, policy) in POLICIES.into_iter().filter(|(name, _)| selected(name)) {
        for load in [0.7, 1.0, 1.5, 3.0] {
            let mut scenario = Scenario::new(load);
            if args.equal {
                scenario = scenario.with_equal_service();
            }
            (scenario.entry_weights[0], scenario.seed) = (args.skew, args.seed);
            (scenario.failing_upstream, scenario.lost_upstreams) = (args.broken, args.vanish);
            let score = replay(&scenario, |entry, now| policy(&scenario, entry, now));
            println!("{name:14} {load:3.1}x  {score}");
            print_kinds(&score);
        }
    }
}

fn print_kinds(score: &Score) {
    for kind in &score.kinds {
        let wait = kind.expired_wait.as_secs_f64() * 1e3 / kind.expired.max(1) as f64;
        println!(
            "    {:8} offered {:6}  late {:5}  refused at once {:6}  after a wait {:6} ({wait:.0} ms)  full {:6}",
            kind.name, kind.offered, kind.late, kind.refused, kind.expired, kind.full_attempts
        );
    }
}
