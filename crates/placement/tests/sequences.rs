//! Random event sequences with failures. The invariants are checked after every event.

mod world;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_placement::{Event, GangEnd, HoldResult, JobSpec, Preemption, WorkerReport};
use skylarkpulley_types::Locality;
use world::{World, pool, shape, with_guarantee};

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    a: u8,
    b: u8,
    c: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut byte = || u8::arbitrary(g);
        Self { kind: byte(), a: byte(), b: byte(), c: byte() }
    }
}

fn locality(value: u8) -> Locality {
    [Locality::Rack, Locality::Domain, Locality::Pool, Locality::Pool][value as usize % 4]
}

fn submit(world: &mut World, step: Step, number: usize) {
    let team = if step.a & 1 == 0 { "a" } else { "b" };
    let workers = 1 + u32::from(step.b % 3);
    let mut spec = JobSpec::new(
        &format!("j{number}"),
        team,
        shape(1 + u32::from(step.a / 2 % 4), workers, locality(step.b / 3)),
    );
    spec.run_time = Duration::from_secs(1 + u64::from(step.c));
    spec.class = step.c % 4;
    spec.cores = u32::from(step.b % 8) * spec.shape.accelerators;
    spec.memory_mib = 1000 * u64::from(step.b / 64);
    spec.preemption = match step.c / 4 % 4 {
        0 => Preemption::Never,
        1 => Preemption::Stop,
        _ => Preemption::Checkpoint,
    };
    if (step.c / 16).is_multiple_of(3) {
        spec.claim = Some(if team == "a" { "wide" } else { "small" }.to_owned());
    }
    world.submit(spec);
}

fn step(world: &mut World, step: Step, number: usize) {
    let jobs: Vec<String> = world.placer.status().jobs.into_iter().map(|job| job.id).collect();
    let job = jobs.get(step.a as usize % jobs.len().max(1)).cloned();
    let member = job.as_ref().and_then(|job| {
        let members = world.status(job).members;
        let ix = step.b as usize % members.len().max(1);
        members.get(ix).map(|(agent, _)| agent.clone())
    });
    let worker = step.b as usize % world.agents.len();
    let name = world.agents[worker].0.name.clone();
    match (step.kind % 20, job, member) {
        (0..=5, _, _) => submit(world, step, number),
        (6..=8, Some(job), Some(_)) if world.state(&job) == "holding" => {
            world.run_gang(&job);
        }
        (6..=9, Some(job), Some(agent)) if world.state(&job) == "holding" => {
            let refused = HoldResult::Refused { reason: "full".to_owned(), highest_epoch: 0 };
            let all = [HoldResult::Held, HoldResult::Pending, refused, HoldResult::NoAnswer];
            world.answer_hold(&job, &agent, all[step.c as usize % 4].clone());
        }
        (6..=11, Some(job), Some(agent)) => {
            let failed = GangEnd::Failed { worker: agent };
            let all = [GangEnd::Finished, GangEnd::LeaseLapsed, GangEnd::Stopped, failed];
            world.end_gang(&job, all[step.c as usize % 4].clone());
        }
        (12, Some(job), _) => {
            world.send(Event::Cancel { job });
        }
        (13, _, _) => {
            if world.grants.contains_key(&world.agents[worker].0) {
                world.lose_worker(worker);
            } else {
                world.join_worker(worker);
            }
        }
        (14, _, _) if !world.grants.contains_key(&world.agents[worker].0) => {
            world.join_worker(worker);
        }
        (15, _, _) => {
            world.send(Event::Drain { worker: name, draining: step.c.is_multiple_of(3) });
        }
        (16, _, _) => {
            let agent = world.agents[worker].0.clone();
            let mut grants = world.grants.get(&agent).cloned().unwrap_or_default();
            for grant in &mut grants {
                grant.running = true;
                grant.memory_mib = u64::from(step.c) * 20;
            }
            let report = WorkerReport { grants, reservations: Vec::new() };
            world.send(Event::WorkerReport { agent, report });
        }
        (17, _, _) => {
            world.advance(Duration::from_secs(u64::from(step.c) * 2));
        }
        (18, _, _) => {
            // An operator edits the guarantees.
            let mut pool = small_pool(f64::from(step.c % 11) / 10.0);
            pool.guarantees[0].shape.accelerators = 2 + u32::from(step.a % 3);
            pool.guarantees[1].count = u32::from(step.b % 4);
            world.placer.apply_pool(&pool);
            world.decide();
        }
        _ => {
            world.advance(Duration::from_millis(u64::from(step.c) * 20));
        }
    }
}

fn small_pool(objective: f64) -> skylarkpulley_tables::Pool {
    let mut pool = pool(4, &[&[2, 1], &[2]]);
    pool.objective = objective;
    let pool = with_guarantee(pool, "wide", "a", shape(3, 2, Locality::Rack), 1);
    with_guarantee(pool, "small", "b", shape(2, 1, Locality::Worker), 2)
}

/// Guards against a sequence of submissions, answers, failures, drains, pool edits and late reports
/// after which an accelerator is granted twice, a gang is placed only in part, or the capacity of a
/// reservation is granted to non-preemptible work.
#[test]
fn placer_random_sequences() {
    fn holds(steps: Vec<Step>, objective: u8) -> bool {
        let mut world = World::new(small_pool(f64::from(objective % 11) / 10.0));
        for (number, current) in steps.into_iter().enumerate() {
            step(&mut world, current, number);
        }
        true
    }
    // The fixed seed gives the same sequences on every run.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 0x5eed))
        .tests(150)
        .quickcheck(holds as fn(Vec<Step>, u8) -> bool);
}

/// Guards against guarantees that fit together but do not all get a reservation, both initially and
/// while workers are lost.
#[test]
fn reservations_match_exhaustive_search() {
    fn holds(steps: Vec<Step>, losses: Vec<u8>) -> bool {
        let mut pool = pool(4, &[&[2, 1], &[2, 2]]);
        for (ix, step) in steps.into_iter().take(4).enumerate() {
            let shape =
                shape(1 + u32::from(step.a % 4), 1 + u32::from(step.b % 3), locality(step.c));
            pool = with_guarantee(pool, &format!("g{ix}"), "a", shape, 1);
        }
        let mut world = World::new(pool);
        for loss in losses.into_iter().take(4) {
            let ix = loss as usize % world.agents.len();
            if world.grants.contains_key(&world.agents[ix].0) {
                world.lose_worker(ix);
            } else {
                world.join_worker(ix);
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 0xfeed))
        .tests(300)
        .quickcheck(holds as fn(Vec<Step>, Vec<u8>) -> bool);
}
