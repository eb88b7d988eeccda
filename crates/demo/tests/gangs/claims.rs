//! Claims on a pool that is full of borrowed work. `examples/claims.rs` measures the same cases.

use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_standins::WorkerFault;
use skylarkpulley_store::Fault;

use crate::world::{World, claim, job};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimFault {
    None,
    EntryKilled,
    StoreDown,
    WorkerKilled,
    WorkerSilent,
}

pub const CLAIM_FAULTS: [ClaimFault; 5] = [
    ClaimFault::None,
    ClaimFault::EntryKilled,
    ClaimFault::StoreDown,
    ClaimFault::WorkerKilled,
    ClaimFault::WorkerSilent,
];

/// Fills the pool, lets the owner claim its shape under the fault, and returns the time from the
/// submission to the start of the last member.
pub async fn claim_under(fault: ClaimFault) -> Duration {
    let mut world = World::start(2).await;
    let (preferred, other) = (world.preferred(), world.other());
    let workers = world.deployment.workers.len();
    let mut borrowed = Vec::new();
    for _ in 0..workers {
        borrowed.push(world.submit(other, &job(8, 1, 120_000)).await);
    }
    let full = |world: &World| {
        borrowed.iter().filter(|id| !world.running(id).is_empty()).count() >= workers
    };
    world.until("the pool is full", full).await;
    if fault == ClaimFault::StoreDown {
        world.deployment.store.faults().set(Some(Fault::Outage));
    }
    let begun = Instant::now();
    let id = world.submit(other, &claim(1000)).await;
    let mut struck = None;
    match fault {
        ClaimFault::None | ClaimFault::StoreDown => {}
        ClaimFault::EntryKilled => world.deployment.entries[preferred].vm.kill(),
        // Strikes while the claim waits for the checkpoint of the work that it evicts.
        ClaimFault::WorkerKilled | ClaimFault::WorkerSilent => {
            let member = world.until_member(preferred, &id).await;
            struck = Some(member);
            let worker = &mut world.deployment.workers[member];
            if fault == ClaimFault::WorkerSilent {
                worker.worker.set_fault(Some(WorkerFault::Silent));
            } else {
                worker.agent.kill();
                worker.worker.server().kill();
            }
        }
    }
    let started = |world: &World| {
        let running = world.running(&id);
        running.iter().filter(|worker| Some(**worker) != struck).count() == 2
    };
    world.until("the claim starts", started).await;
    let took = begun.elapsed();
    world.until_done(other, &id).await;
    for id in &borrowed {
        let view = world.client(other).job(id).await.expect("the job");
        assert!(view.state < JobState::Done, "{fault:?}: {view:?}");
    }
    took
}

/// Guards against a claim that never starts, or costs more than a stop of borrowed work, for each
/// fault that may meet it.
#[tokio::test(flavor = "multi_thread")]
async fn claim_met() {
    for fault in CLAIM_FAULTS {
        claim_under(fault).await;
    }
}
