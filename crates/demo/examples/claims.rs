//! Measures how long a claim on a pool full of borrowing jobs takes to start under each fault, and
//! exits with status 1 when one takes longer than the stated limit of 6.9 s.

use std::process::ExitCode;
use std::time::Duration;

#[path = "../tests/gangs/claims.rs"]
mod claims;
#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/gangs/harness.rs"]
mod harness;

const CLAIM_START_LIMIT: Duration = Duration::from_millis(6900);
const ROUNDS: usize = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let mut limit_exceeded = false;
    for fault in claims::CLAIM_FAULTS {
        let mut times = Vec::new();
        for _ in 0..ROUNDS {
            times.push(claims::claim_under(fault).await);
        }
        limit_exceeded |= times.iter().any(|time| *time > CLAIM_START_LIMIT);
        let times: Vec<String> =
            times.iter().map(|time| format!("{:.2}", time.as_secs_f64())).collect();
        println!("{fault:?}: {} s", times.join(", "));
    }
    if limit_exceeded { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
