//! Calls that acknowledge ends or extend leases.

use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_jobs::Limits;
use skylarkpulley_store::MemoryTransactor;

use crate::rig::{start_with, until_ready};
use crate::workers::{EndlessWorker, Order};

/// Guards against leases that are extended by a call which waits at the worker: the worker may crash
/// meanwhile, and its next incarnation carry the call out.
#[tokio::test]
async fn update_without_wait() {
    let store = Arc::new(MemoryTransactor::new());
    let (entry, _) = start_with("a", store.clone(), Limits::default()).await;
    until_ready(&entry).await;
    let worker = EndlessWorker::start(store).await;
    let extensions =
        |orders: &[Order]| orders.iter().filter(|order| matches!(order, Order::Renewal(_))).count();
    while extensions(&worker.orders()) < 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let renewals = worker.renewals();
    for pair in renewals.windows(2) {
        let ((earlier, _), (call, wait)) = (pair[0], pair[1]);
        assert!(!call.is_update() || wait.is_zero(), "{call:?} waits for {wait:?}");
        assert!(!(earlier.is_update() && call.is_update()), "no answer confirms {call:?}");
    }
    assert!(renewals.iter().any(|(_, wait)| !wait.is_zero()), "a listing waits for ends");
}
