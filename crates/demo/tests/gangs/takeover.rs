//! Gangs that run while entries and agents are replaced.

use std::time::Duration;

use skylarkpulley_admin::JobState;
use skylarkpulley_agent::Agent;
use skylarkpulley_entry::Entry;

use crate::world::{World, job};

/// Guards against a second start, or a job that can no longer be seen or cancelled, after the entry
/// that placed it has died.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_job_runs_on() {
    let mut world = World::start(2).await;
    let (preferred, other) = (world.preferred(), world.other());
    let kept = world.submit(other, &job(8, 3, 9000)).await;
    let cancelled = world.submit(other, &job(8, 3, 60_000)).await;
    for id in [&kept, &cancelled] {
        world.until_state(other, id, JobState::Running).await;
    }
    world.deployment.entries[preferred].vm.kill();
    // Longer than the silence limit, the wait after a takeover and a report.
    world.pass(Duration::from_millis(7000)).await;
    world.until_state(other, &cancelled, JobState::Running).await;
    world.cancel(other, &cancelled).await;
    world.until("the gang stops", |world| world.running(&cancelled).is_empty()).await;
    world.until_done(other, &kept).await;
    world.pass(Duration::from_millis(1500)).await;
    assert_eq!(world.starts(), 6, "both gangs were started once");
}

/// Guards against a job that is run again because it ended while no entry was responsible.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_job_ends() {
    let mut world = World::start(2).await;
    let (preferred, other) = (world.preferred(), world.other());
    let id = world.submit(other, &job(8, 3, 1500)).await;
    world.until_state(other, &id, JobState::Running).await;
    world.deployment.entries[preferred].vm.kill();
    world.until_done(other, &id).await;
    world.pass(Duration::from_millis(5000)).await;
    assert_eq!(world.starts(), 3, "the gang was started once");
}

/// Guards against a gang that keeps running because the entry that took the cancel died with it, or
/// the cancel reached the new entry before it was responsible.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_cancel_between() {
    let mut world = World::start(2).await;
    let (preferred, other) = (world.preferred(), world.other());
    let id = world.submit(other, &job(8, 3, 60_000)).await;
    world.until_state(other, &id, JobState::Running).await;
    world.deployment.entries[preferred].vm.kill();
    world.client(other).cancel(&id).await.expect("an answer");
    world.until("the gang stops", |world| world.running(&id).is_empty()).await;
    world.until_state(other, &id, JobState::Cancelled).await;
    world.pass(Duration::from_millis(3000)).await;
    assert_eq!(world.starts(), 3, "the gang was started once");
}

/// Guards against a gang that is stopped when all entries are replaced one after another.
#[tokio::test(flavor = "multi_thread")]
async fn entries_replaced_gangs_run_on() {
    let mut world = World::start(2).await;
    let other = world.other();
    let mut jobs = Vec::new();
    for _ in 0..2 {
        let id = world.submit(other, &job(8, 3, 60_000)).await;
        world.until_state(other, &id, JobState::Running).await;
        jobs.push(id);
    }
    for old in 0..2 {
        world.deployment.add_entry().await.expect("an entry");
        let new = world.deployment.entries.len() - 1;
        for id in &jobs {
            world.until_state(new, id, JobState::Running).await;
        }
        world.deployment.entries[old].vm.stop(Entry::shut_down).await;
    }
    world.pass(Duration::from_millis(7000)).await;
    let preferred = world.preferred();
    for id in &jobs {
        assert_eq!(world.running(id).len(), 3, "{id} was stopped");
        world.until_state(preferred, id, JobState::Running).await;
    }
    assert_eq!(world.starts(), 6, "both gangs were started once");
}

/// Guards against a gang that is broken off, or lost, when one of its agents is replaced: a short
/// one is finished, a long one is checkpointed and continues on other workers.
#[tokio::test(flavor = "multi_thread")]
async fn agent_stopped_gang_kept() {
    let mut world = World::start(2).await;
    let other = world.other();
    for run_ms in [1500, 6000] {
        let id = world.submit(other, &job(8, 3, run_ms)).await;
        let view = world.until_state(other, &id, JobState::Running).await;
        let worker = world.worker(&view.members[1]);
        world.deployment.workers[worker].agent.stop(Agent::shut_down).await;
        let settings = world.deployment.workers[worker].settings.clone();
        world.deployment.workers[worker].agent =
            world.deployment.start_agent(&settings).await.expect("an agent");
        world.until_done(other, &id).await;
        assert_eq!(world.overlap, Duration::ZERO, "two tries at once");
    }
}
