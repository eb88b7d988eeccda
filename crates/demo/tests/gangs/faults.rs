//! Faults that strike a gang from its holds to its end.

use std::time::Duration;

use skylarkpulley_admin::JobState;
use skylarkpulley_standins::WorkerFault;

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

#[derive(Clone, Copy, Debug)]
enum Strike {
    LeadAgent,
    MemberAgent,
    MemberFails,
}

/// Guards against a gang that goes on in part, or never again, after it has lost a member.
#[tokio::test(flavor = "multi_thread")]
async fn running_member_lost() {
    let mut world = World::start(2).await;
    for strike in [Strike::LeadAgent, Strike::MemberAgent, Strike::MemberFails] {
        let other = world.other();
        let faulty = match strike {
            // The worker with the lowest name leads.
            Strike::LeadAgent | Strike::MemberAgent => None,
            Strike::MemberFails => Some(world.worker("rebuilds-centre-0-1")),
        };
        if let Some(worker) = faulty {
            world.deployment.workers[worker].worker.set_fault(Some(WorkerFault::FailTasks));
        }
        let before = world.starts();
        let id = world.submit(other, &job(8, MEMBERS, 2500)).await;
        match strike {
            Strike::LeadAgent | Strike::MemberAgent => {
                let view = world.until_state(other, &id, JobState::Running).await;
                let member = usize::from(matches!(strike, Strike::MemberAgent));
                let worker = world.worker(&view.members[member]);
                world.restart_agent(worker).await;
                world.until("the gang stops", |world| world.running(&id).is_empty()).await;
            }
            Strike::MemberFails => {
                let started = |world: &World| world.starts() >= before + u64::from(MEMBERS);
                world.until("the gang starts", started).await;
            }
        }
        if let Some(worker) = faulty {
            world.deployment.workers[worker].worker.set_fault(None);
        }
        world.until_done(other, &id).await;
    }
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
