//! Measures the time of one command to the task that owns the jobs of an entry, with no jobs and
//! with 500 that wait.

use std::time::Instant;

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/gangs/world.rs"]
mod world;

const COMMANDS: u32 = 2000;
const WAITING: usize = 500;

async fn measure(world: &world::World, entry: usize, id: &str) {
    let client = world.client(entry);
    let begun = Instant::now();
    for _ in 0..COMMANDS {
        client.job(id).await.expect("the job");
    }
    println!("{} us a command", begun.elapsed().as_micros() / u128::from(COMMANDS));
}

#[tokio::main]
async fn main() {
    let mut world = world::World::start(2).await;
    let entry = world.preferred();
    let first = world.submit(entry, &world::job(8, 1, 600_000)).await;
    world.pass(std::time::Duration::from_secs(1)).await;
    print!("1 job: ");
    measure(&world, entry, &first).await;
    let begun = Instant::now();
    for _ in 0..WAITING {
        world.submit(entry, &world::job(8, 3, 600_000)).await;
    }
    println!("{WAITING} submissions: {} ms", begun.elapsed().as_millis());
    world.pass(std::time::Duration::from_secs(3)).await;
    print!("{WAITING} waiting jobs: ");
    measure(&world, entry, &first).await;
}
