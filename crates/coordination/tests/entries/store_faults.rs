//! Answers to callers while the store fails, through a leading entry over an in-memory store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_coordination::{Entry, JobAnswer, JobCall, JobService};
use skylarkpulley_store::{MemoryTransactor, TransactFault};

use crate::rig::{job, start, until_ready};

async fn leading_entry(store: Arc<MemoryTransactor>) -> (Arc<Entry>, JobService) {
    let (entry, _) = start("entry-1", store).await;
    until_ready(&entry).await;
    let service = entry.service();
    (entry, service)
}

fn within(seconds: u64) -> Instant {
    Instant::now() + Duration::from_secs(seconds)
}

/// Guards against refusing a repeat of a submission whose write has no outcome yet: a caller was
/// told that its job never runs, and it ran when the store came back (scale-1 of menza-grid).
#[tokio::test]
async fn submit_repeated_while_stuck() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    // Refused for longer than the first caller waits, at one try in 100 ms.
    store.inject(&[TransactFault::Refused; 50]);
    let call = JobCall::Submit(job("a"));
    let first = service.call(&call, within(3)).await;
    assert_eq!(first, JobAnswer::Unknown, "the write may still apply");
    assert_eq!(service.call(&call, within(20)).await, JobAnswer::Done);
}

/// Guards against answering a second waiter of a withdrawn submission as if it were stored.
#[tokio::test]
async fn submit_withdrawn_for_all() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    store.inject(&[TransactFault::Refused; 120]);
    let stuck = service.clone();
    tokio::spawn(async move { stuck.call(&JobCall::Submit(job("a")), within(2)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = JobCall::Submit(job("b"));
    let (first, second) =
        tokio::join!(service.call(&call, within(4)), service.call(&call, within(4)));
    let refused = |answer: &JobAnswer| matches!(answer, JobAnswer::Refused { .. });
    assert!(refused(&first) && refused(&second), "{first:?} {second:?}");
}

/// Guards against a write whose answer is lost being taken for one of another leader, or applied
/// twice.
#[tokio::test]
async fn submit_answer_lost() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    store.inject(&[TransactFault::Late, TransactFault::LostAnswer]);
    assert_eq!(service.call(&JobCall::Submit(job("a")), within(10)).await, JobAnswer::Done);
    store.deliver_late();
    assert_eq!(service.call(&JobCall::Submit(job("b")), within(10)).await, JobAnswer::Done);
    let states = service.call(&JobCall::Pending("looks".to_owned()), within(10)).await;
    assert_eq!(states, JobAnswer::Pending(2));
}
