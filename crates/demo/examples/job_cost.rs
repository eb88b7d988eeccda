//! Measures the time of one command to the task that owns the jobs of an entry, with one
//! job and with 500 more that wait.

use std::time::Instant;

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/gangs/harness.rs"]
mod harness;

const COMMANDS: u32 = 2000;
const WAITING_JOBS: usize = 500;

async fn measure(harness: &harness::GangHarness, entry: usize, id: &str) {
    let client = harness.client(entry);
    let start = Instant::now();
    for _ in 0..COMMANDS {
        client.job(id).await.expect("the job");
    }
    println!("{} us a command", start.elapsed().as_micros() / u128::from(COMMANDS));
}

#[tokio::main]
async fn main() {
    let mut harness = harness::GangHarness::start(2).await;
    let entry = harness.preferred();
    let first = harness.submit(entry, &harness::job(8, 1, 600_000)).await;
    harness.check_for(std::time::Duration::from_secs(1)).await;
    print!("1 job: ");
    measure(&harness, entry, &first).await;
    let start = Instant::now();
    for _ in 0..WAITING_JOBS {
        harness.submit(entry, &harness::job(8, 3, 600_000)).await;
    }
    println!("{WAITING_JOBS} submissions: {} ms", start.elapsed().as_millis());
    harness.check_for(std::time::Duration::from_secs(3)).await;
    print!("{WAITING_JOBS} waiting jobs: ");
    measure(&harness, entry, &first).await;
}
