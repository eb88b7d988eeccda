//! Workers that leave while the leader is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_coordination::{BootClock, Entry, JobAnswer, JobCall};
use skylarkpulley_jobs::Limits;
use skylarkpulley_store::MemoryTransactor;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::network::{GatedStore, forward_while_open};
use crate::rig::{job, start_announced, start_with, until_ready};
use crate::workers::{EndlessWorker, Order};

/// Time for which leases count: longer than the test takes.
const LEASES: Duration = Duration::from_secs(3600);

/// Time after which a test that waits for an order fails. Without the fix it is never sent.
const HANG_LIMIT: Duration = Duration::from_secs(60);

fn limits() -> Limits {
    Limits { lapse: LEASES, takeover: LEASES, ..Limits::default() }
}

/// Starts an entry behind gates, which cut it off from the store and from all others when closed.
async fn start_gated(
    name: &str,
    store: Arc<MemoryTransactor>,
) -> (Arc<Entry>, [watch::Sender<bool>; 2]) {
    let (gated, store_gate) = GatedStore::new(store);
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = control.local_addr().expect("an address");
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = proxy.local_addr().expect("an address");
    let (peer_gate, peers_open) = watch::channel(true);
    tokio::spawn(forward_while_open(proxy, target, peers_open));
    let (entry, _) = start_announced(name, Arc::new(gated), limits(), control, announced).await;
    (entry, [store_gate, peer_gate])
}

fn close(gates: [watch::Sender<bool>; 2]) {
    for gate in gates {
        gate.send_replace(false);
    }
}

/// Guards against runs of a worker that has left, which wait until all leases may have lapsed because
/// the leader that was told of the departure was lost (review/8). The agent tells each leader until
/// one has stored it.
#[tokio::test]
async fn departure_without_leader() {
    let store = Arc::new(MemoryTransactor::new());
    let (first, first_gates) = start_gated("a", store.clone()).await;
    until_ready(&first).await;
    let leaving = EndlessWorker::start(store.clone()).await;
    let deadline = Instant::now() + HANG_LIMIT;
    let call = JobCall::Submit(job("j"), false);
    assert_eq!(first.service().call(&call, deadline).await, JobAnswer::Done);
    let start = Order::Start(1, "j.0.0.0".to_owned(), 1);
    leaving.await_order(|order| *order == start).await;

    close(first_gates);
    leaving.leave().await;
    // The next leaders are lost before they can store anything, one by one.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let (second, second_gates) = start_gated("b", store.clone()).await;
    until_ready(&second).await;
    close(second_gates);
    let (third, _) = start_with("c", store.clone(), limits()).await;
    until_ready(&third).await;

    let clock = Arc::new(BootClock::new());
    let other = EndlessWorker::start_named("x", "10.0.0.2:1", store, clock).await;
    let restarted = |order: &Order| matches!(order, Order::Start(_, task, 2) if task == "j.0.0.0");
    let started = other.await_order(restarted);
    tokio::time::timeout(HANG_LIMIT, started).await.expect("the task starts elsewhere");
}
