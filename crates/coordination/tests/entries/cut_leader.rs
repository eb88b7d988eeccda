//! A leader that is cut off from the store, while its agents still reach it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_coordination::{JobAnswer, JobCall, LeaderRecord};
use skylarkpulley_jobs::{JobAccess, Limits};
use skylarkpulley_store::MemoryTransactor;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::network::{GatedStore, forward_first, forward_while_open};
use crate::rig::{job, start, start_announced, start_with, until_ready};
use crate::sessions::{Session, client};
use crate::workers::{EndlessWorker, Order};

/// Time for which an earlier leader may extend leases: longer than the test takes.
const TAKEOVER: Duration = Duration::from_secs(3600);

/// Time after which a test that waits for an order fails. Without the fix it is never sent.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// Guards against a leader that names itself the leader for as long as it may extend leases, although
/// the store does not answer it: its agents stayed, and no task started for 12 s.
#[tokio::test]
async fn cut_leader_told_at_once() {
    let (store, gate) = GatedStore::new(Arc::new(MemoryTransactor::new()));
    let (entry, _) = start("entry-1", Arc::new(store)).await;
    until_ready(&entry).await;
    let mut session = Session::open(&mut client(&entry)).await;
    let update = session.report(1, false).await.expect("an open session");
    assert!(update.leads && update.lease_ms > 0);
    gate.send_replace(false);
    for sequence in 2.. {
        let update = session.report(sequence, false).await.expect("an open session");
        assert!(update.lease_ms > 0, "leases go on while agents look for a successor");
        if !update.leads {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    gate.send_replace(true);
    for sequence in 1000.. {
        let update = session.report(sequence, false).await.expect("an open session");
        if update.leads {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a leader that has been replaced without knowing it and answers that a job does not
/// exist which its successor has accepted (review/6). The caller took its cancel for done, and the job
/// ran on. It gives no such answer until the store confirms it after the call.
#[tokio::test]
async fn cut_leader_denies_nothing() {
    let inner = Arc::new(MemoryTransactor::new());
    let (gated, store_gate) = GatedStore::new(inner.clone());
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = control.local_addr().expect("an address");
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = proxy.local_addr().expect("an address");
    let (peer_gate, peers_open) = watch::channel(true);
    tokio::spawn(forward_while_open(proxy, target, peers_open));
    let limits = Limits::default();
    let (a, _) = start_announced("a", Arc::new(gated), limits, control, announced).await;
    until_ready(&a).await;
    let (b, _) = start_with("b", inner.clone(), limits).await;
    until_ready(&b).await;
    store_gate.send_replace(false);
    peer_gate.send_replace(false);
    let deadline = Instant::now() + HANG_LIMIT;
    let call = JobCall::Submit(job("j"), false);
    assert_eq!(b.service().call(&call, deadline).await, JobAnswer::Done);
    for call in [
        JobCall::Cancel("j".to_owned(), JobAccess::default()),
        JobCall::State("j".to_owned(), JobAccess::default()),
    ] {
        let deadline = Instant::now() + Duration::from_millis(300);
        let answer = a.service().call(&call, deadline).await;
        assert_ne!(answer, JobAnswer::Absent, "{call:?}");
    }
    store_gate.send_replace(true);
    peer_gate.send_replace(true);
    let cancel = JobCall::Cancel("j".to_owned(), JobAccess::default());
    // Until it learns of its successor it refuses the call, which is true.
    let answered = async {
        loop {
            match a.service().call(&cancel, Instant::now() + HANG_LIMIT).await {
                JobAnswer::Refused { .. } => tokio::time::sleep(Duration::from_millis(50)).await,
                answer => return answer,
            }
        }
    };
    let answer = tokio::time::timeout(HANG_LIMIT, answered).await;
    assert_eq!(answer, Ok(JobAnswer::Done));
}

/// Guards against agents that stay with a leader which is cut off from the store and from the other
/// entries, and against one that obeys it after it has moved to the successor. The chain: A leads, A
/// is cut off, B takes over and A still extends leases, the agent moves, B starts a run, and A comes
/// back.
#[tokio::test]
async fn cut_leader_agents_move() {
    let inner = Arc::new(MemoryTransactor::new());
    let (gated, store_gate) = GatedStore::new(inner.clone());
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = control.local_addr().expect("an address");
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = proxy.local_addr().expect("an address");
    let (accepted, mut connections) = watch::channel(0);
    let (peer_gate, peers_open) = watch::channel(true);
    tokio::spawn(forward_first(proxy, target, accepted, peers_open));
    let gated = Arc::new(gated);
    let limits = Limits { takeover: TAKEOVER, ..Limits::default() };
    let (a, _) = start_announced("a", gated, limits, control, announced).await;
    until_ready(&a).await;
    let worker = EndlessWorker::start(inner.clone()).await;
    connections.wait_for(|count| *count > 0).await.expect("the agent connects first");
    let (b, _) = start_with("b", inner.clone(), limits).await;
    until_ready(&b).await;
    worker.await_order(|order| matches!(order, Order::Renewal(1))).await;

    store_gate.send_replace(false);
    peer_gate.send_replace(false);
    let deadline = Instant::now() + HANG_LIMIT;
    let call = JobCall::Submit(job("j"), false);
    assert_eq!(b.service().call(&call, deadline).await, JobAnswer::Done);
    let (record, _) = LeaderRecord::read(inner.as_ref()).await.expect("a record");
    assert_eq!((record.epoch, record.name.as_str()), (2, "b"));
    assert_eq!(record.predecessors.len(), 1, "A may still extend leases");
    let start = Order::Start(2, "j.0.0.0".to_owned(), 1);
    let started = worker.await_order(|order| *order == start);
    tokio::time::timeout(HANG_LIMIT, started).await.expect("the agent moves");

    store_gate.send_replace(true);
    peer_gate.send_replace(true);
    until_ready(&a).await;
    let renewals = worker.orders().len() + 3;
    while worker.orders().len() < renewals {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let epochs: Vec<u64> = worker.orders().iter().map(Order::epoch).collect();
    assert!(epochs.is_sorted(), "no order of A after the first of B: {epochs:?}");
    let starts = worker.orders().into_iter().filter(|order| matches!(order, Order::Start(..)));
    assert_eq!(starts.collect::<Vec<_>>(), [start]);
}
