//! Prints the overload replay of the routing core and its baselines.

use std::time::Instant;

use skylarkpulley_bench::overload::{Fifo, Policy, RoundRobin, Routed, Scenario, replay};

type Make = fn(&Scenario, usize, Instant) -> Box<dyn Policy>;

const POLICIES: [(&str, Make); 4] = [
    ("routing", |scenario, entry, now| Box::new(Routed::new(scenario, entry, now))),
    ("fifo", |scenario, _, _| Box::new(Fifo::new(scenario))),
    ("round-robin", |scenario, _, _| Box::new(RoundRobin::new(scenario, usize::MAX))),
    ("round-robin, queue 8", |scenario, _, _| Box::new(RoundRobin::new(scenario, 8))),
];

fn main() {
    let only = std::env::args().nth(1);
    for (name, policy) in
        POLICIES.into_iter().filter(|(name, _)| only.as_deref().is_none_or(|only| only == *name))
    {
        for load in [0.7, 1.0, 1.5, 3.0] {
            let scenario = Scenario::new(load);
            let score = replay(&scenario, |entry, now| policy(&scenario, entry, now));
            println!("{name:20} {load:3.1}x  {score}");
            for class in &score.classes {
                let wait = class.expired_wait.as_secs_f64() * 1e3 / class.expired.max(1) as f64;
                println!(
                    "    {:8} offered {:6} on time {:6} late {:6} refused {:6} expired {:6} after {wait:.0} ms",
                    class.name,
                    class.offered,
                    class.on_time,
                    class.late,
                    class.refused,
                    class.expired
                );
            }
        }
    }
}
