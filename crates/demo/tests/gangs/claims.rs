//! Tests claims on a pool that is full of borrowing jobs. `examples/claims.rs` measures the same
//! cases.

use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_standins::WorkerFault;
use skylarkpulley_store::Fault;

use crate::harness::{GangHarness, claim, job};

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

/// Fills the pool with borrowing jobs, submits a claim of the owner under the fault, and returns
/// the time from the submission to the start of the last member.
pub async fn claim_under(fault: ClaimFault) -> Duration {
    let mut harness = GangHarness::start(2).await;
    let (preferred, non_preferred) = (harness.preferred(), harness.non_preferred());
    let workers = harness.deployment.workers.len();
    let mut borrowed = Vec::new();
    for _ in 0..workers {
        borrowed.push(harness.submit(non_preferred, &job(8, 1, 120_000)).await);
    }
    let full = |harness: &GangHarness| {
        borrowed.iter().filter(|id| !harness.running(id).is_empty()).count() >= workers
    };
    harness.wait_until("a full pool", full).await;
    if fault == ClaimFault::StoreDown {
        harness.deployment.store.faults().set(Some(Fault::Outage));
    }
    let start = Instant::now();
    let id = harness.submit(non_preferred, &claim(1000)).await;
    let mut faulty_worker = None;
    match fault {
        ClaimFault::None | ClaimFault::StoreDown => {}
        ClaimFault::EntryKilled => harness.deployment.entries[preferred].vm.kill(),
        // The fault is injected while the claim waits for the checkpoint of the jobs that it
        // preempts.
        ClaimFault::WorkerKilled | ClaimFault::WorkerSilent => {
            let member = harness.wait_for_member(preferred, &id).await;
            faulty_worker = Some(member);
            let worker = &mut harness.deployment.workers[member];
            if fault == ClaimFault::WorkerSilent {
                worker.worker.set_fault(Some(WorkerFault::Silent));
            } else {
                worker.agent.kill();
                worker.worker.server().kill();
            }
        }
    }
    let started = |harness: &GangHarness| {
        let running = harness.running(&id);
        running.iter().filter(|worker| Some(**worker) != faulty_worker).count() == 2
    };
    harness.wait_until("the start of the claim", started).await;
    let time_to_start = start.elapsed();
    harness.wait_until_done(non_preferred, &id).await;
    for id in &borrowed {
        let view = harness.client(non_preferred).job(id).await.expect("the job");
        assert!(view.state < JobState::Done, "{fault:?}: {view:?}");
    }
    time_to_start
}

/// Guards against a claim that does not start under one of the faults, and against a borrowing job
/// that ends, instead of being requeued, because of the claim.
#[tokio::test(flavor = "multi_thread")]
async fn claim_met() {
    for fault in CLAIM_FAULTS {
        claim_under(fault).await;
    }
}
