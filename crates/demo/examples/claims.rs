//! Measures how long a claim on a pool full of borrowed work takes to start under each fault, and
//! ends with status 1 when one takes longer than the stated bound.

use std::process::ExitCode;
use std::time::Duration;

#[path = "../tests/gangs/claims.rs"]
mod claims;
#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/gangs/world.rs"]
mod world;

const BOUND: Duration = Duration::from_millis(6900);
const ROUNDS: usize = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let mut missed = false;
    for fault in claims::CLAIM_FAULTS {
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            times.push(claims::claim_under(fault).await);
        }
        missed |= times.iter().any(|time| *time > BOUND);
        let times: Vec<String> =
            times.iter().map(|time| format!("{:.2}", time.as_secs_f64())).collect();
        println!("{fault:?}: {} s", times.join(", "));
    }
    if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
