//! Jobs under which workers are lost again and again.

mod world;

use std::time::Duration;

use skylarkpulley_placement::{Action, Event, GangEnd, JobSpec, ReportedGrant, WorkerReport};
use world::{World, job, pool};

/// Losses of workers after which a job must have been stopped.
const MAX_LOSSES: u32 = 5;

fn worker_of(world: &World, job: &str) -> usize {
    let name = world.workers_of(job).remove(0);
    world.agents.iter().position(|agent| agent.0.name == name).expect("a known worker")
}

/// Loses the worker of `job` a second after each of its starts, and lets the worker join again.
/// Returns the number of losses until the job was stopped.
fn losses_until_stopped(world: &mut World, job: &str) -> u32 {
    for losses in 1..=MAX_LOSSES {
        world.run_after_backoff(job);
        world.advance(Duration::from_secs(1));
        let ix = worker_of(world, job);
        let actions = world.lose_worker(ix);
        world.join_worker(ix);
        if actions.iter().any(|action| matches!(action, Action::StopJob { .. })) {
            return losses;
        }
        for other in ["other-0", "other-1"] {
            if world.specs.contains_key(other) {
                world.run_after_backoff(other);
            }
        }
    }
    panic!("{job} was started again after {MAX_LOSSES} losses");
}

/// Guards against a job that takes worker after worker down because a lost worker was not counted.
#[test]
fn lost_starts_limited() {
    let mut world = World::new(pool(4, &[&[3]]));
    world.submit(job("crashing", "a", 4, 1));
    losses_until_stopped(&mut world, "crashing");
}

/// Guards against losing the count of lost workers when another entry takes the pool over, whether
/// the job waits then or its gang is known from reports first.
#[test]
fn lost_starts_kept_over_takeover() {
    for reported in [false, true] {
        let mut world = World::new(pool(4, &[&[3]]));
        world.submit(job("crashing", "a", 4, 1));
        for _ in 0..3 {
            world.run_after_backoff("crashing");
            let ix = worker_of(&world, "crashing");
            world.lose_worker(ix);
            world.join_worker(ix);
        }
        let status = world.status("crashing");
        let lost_starts = status.lost_starts;
        let spec = JobSpec { epoch: status.epoch, lost_starts, ..job("crashing", "a", 4, 1) };
        let mut successor = World::new(pool(4, &[&[3]]));
        if !reported {
            successor.submit(spec);
            assert_eq!(losses_until_stopped(&mut successor, "crashing"), 1);
            continue;
        }
        let grant = ReportedGrant {
            job: "crashing".to_owned(),
            epoch: spec.epoch + 1,
            accelerators: 4,
            preemptible: true,
            running: true,
            ..ReportedGrant::default()
        };
        let agent = successor.agents[0].0.clone();
        let report = WorkerReport { grants: vec![grant], reservations: Vec::new() };
        successor.send(Event::WorkerReport { agent, report });
        successor.submit(spec);
        let actions = successor.lose_worker(0);
        let stopped = |action: &Action| matches!(action, Action::StopJob { .. });
        assert!(actions.iter().any(stopped), "{actions:?}");
    }
}

/// Guards against stopping jobs that ran on the lost workers before the crashing job started.
#[test]
fn lost_starts_others_kept() {
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit_and_run(job("other-0", "a", 1, 1));
    world.submit_and_run(job("other-1", "a", 1, 1));
    world.advance(Duration::from_secs(10));
    world.submit(job("crashing", "a", 1, 1));
    losses_until_stopped(&mut world, "crashing");
    for other in ["other-0", "other-1"] {
        world.run_after_backoff(other);
        assert_eq!(world.state(other), "running", "{other}");
    }
}

/// Guards against stopping a long job for losses that lie far apart.
#[test]
fn lost_starts_cleared() {
    let mut world = World::new(pool(4, &[&[3]]));
    world.submit(job("long", "a", 4, 1));
    for _ in 0..8 {
        world.run_after_backoff("long");
        world.advance(Duration::from_secs(60));
        let ix = worker_of(&world, "long");
        world.lose_worker(ix);
        world.join_worker(ix);
    }
    world.run_after_backoff("long");
    assert_eq!(world.state("long"), "running");
}

/// Guards against counting losses as consecutive that a long run lies between.
#[test]
fn lost_starts_long_run_between() {
    let mut world = World::new(pool(4, &[&[3]]));
    world.submit(job("long", "a", 4, 1));
    for _ in 0..4 {
        for _ in 0..2 {
            world.run_after_backoff("long");
            let ix = worker_of(&world, "long");
            world.lose_worker(ix);
            world.join_worker(ix);
        }
        world.run_after_backoff("long");
        world.advance(Duration::from_secs(60));
        world.end_gang("long", GangEnd::Stopped);
    }
    world.run_after_backoff("long");
    assert_eq!(world.state("long"), "running");
}
