//! Faults that strike a gang from its holds to its end.

use std::time::Duration;

use skylarkpulley_admin::JobState;
use skylarkpulley_standins::{TaskState, WorkerFault};

use crate::world::{World, job};

const MEMBERS: u32 = 3;

/// Time after the acknowledgement at which an entry is killed; the holds, the commits and the start
/// of the gang fall into the first 30 ms.
const KILLS_MS: [u64; 6] = [0, 2, 4, 8, 16, 40];

/// Guards against a gang that is lost, started in part or run twice when the entry that starts it
/// dies between any two of hold, commit and start.
#[tokio::test(flavor = "multi_thread")]
async fn start_entry_killed() {
    let mut world = World::start(2).await;
    for delay in KILLS_MS {
        let (preferred, other) = (world.preferred(), world.other());
        let id = world.submit(other, &job(8, MEMBERS, 1500)).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        world.replace_entry(preferred).await;
        world.until_done(other, &id).await;
        assert_eq!(world.overlap, Duration::ZERO, "killed after {delay} ms: two tries at once");
    }
}

/// Guards against a gang that goes on in part, or never again, after it has lost the agent of its
/// lead or of another member.
#[tokio::test(flavor = "multi_thread")]
async fn running_agent_killed() {
    let mut world = World::start(2).await;
    for member in [0, 1] {
        let other = world.other();
        let id = world.submit(other, &job(8, MEMBERS, 2500)).await;
        let view = world.until_state(other, &id, JobState::Running).await;
        let worker = world.worker(&view.members[member]);
        world.restart_agent(worker).await;
        world.until("the gang stops", |world| world.running(&id).is_empty()).await;
        world.until_done(other, &id).await;
    }
}

/// Guards against a gang that goes on in part, or never again, after a member's worker has failed
/// its task.
#[tokio::test(flavor = "multi_thread")]
async fn running_task_failed() {
    let mut world = World::start(2).await;
    let other = world.other();
    // The same rack is chosen again as long as nothing else changes.
    let first = world.submit(other, &job(8, MEMBERS, 500)).await;
    let view = world.until_state(other, &first, JobState::Running).await;
    let faulty = world.worker(&view.members[1]);
    world.until_done(other, &first).await;
    world.deployment.workers[faulty].worker.set_fault(Some(WorkerFault::FailTasks));
    let id = world.submit(other, &job(8, MEMBERS, 1500)).await;
    world.until("a task fails", |world| world.has_task(&id, TaskState::Failed)).await;
    world.deployment.workers[faulty].worker.set_fault(None);
    world.until_done(other, &id).await;
}

/// Guards against a cancelled job that starts, or goes on, when the cancel meets the start; from
/// the entry that places the job and from another one.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_starting() {
    let mut world = World::start(2).await;
    for (here, delay) in [(true, 0), (false, 0), (true, 5), (false, 5), (true, 25), (false, 25)] {
        let (preferred, other) = (world.preferred(), world.other());
        let id = world.submit(other, &job(8, MEMBERS, 60_000)).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        world.cancel(if here { preferred } else { other }, &id).await;
        for entry in [preferred, other] {
            world.until_state(entry, &id, JobState::Cancelled).await;
        }
        // What had begun may run for one lease; nothing starts afterwards.
        world.pass(Duration::from_millis(2300)).await;
        let starts = world.starts();
        world.until("the gang stops", |world| world.running(&id).is_empty()).await;
        world.pass(Duration::from_millis(1200)).await;
        assert_eq!(world.starts(), starts, "started after the cancel ({here}, {delay} ms)");
        for entry in [preferred, other] {
            world.until_state(entry, &id, JobState::Cancelled).await;
        }
    }
}
