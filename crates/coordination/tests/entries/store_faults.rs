//! Answers of a leading entry to callers while its in-memory store fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_coordination::{Entry, JobAnswer, JobCall, JobService};
use skylarkpulley_jobs::{Job, JobAccess, RouteKey};
use skylarkpulley_store::{MemoryTransactor, TransactFault};

use crate::rig::{UNSTORED_BYTES, job, start, until_ready};

async fn leading_entry(store: Arc<MemoryTransactor>) -> (Arc<Entry>, JobService) {
    let (entry, _) = start("entry-1", store).await;
    until_ready(&entry).await;
    let service = entry.service();
    (entry, service)
}

fn deadline_in(seconds: u64) -> Instant {
    Instant::now() + Duration::from_secs(seconds)
}

/// Guards against refusing a repeat of a submission whose write has no outcome yet. A caller was
/// told that its job never runs, and the job ran when the store answered again (scale-1 of
/// menza-grid).
#[tokio::test]
async fn submit_repeated_while_stuck() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    // The store refuses for longer than the first caller waits, at one attempt in 100 ms.
    store.inject(&[TransactFault::Refused; 50]);
    let call = JobCall::Submit(job("a"), false);
    let first = service.call(&call, deadline_in(3)).await;
    assert_eq!(first, JobAnswer::Unknown, "the write may still apply");
    assert_eq!(service.call(&call, deadline_in(20)).await, JobAnswer::Done);
}

/// Guards against answering a second caller that waits for the same withdrawn submission as if the
/// submission were stored.
#[tokio::test]
async fn submit_withdrawn_for_all() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    store.inject(&[TransactFault::Refused; 120]);
    let stuck = service.clone();
    tokio::spawn(
        async move { stuck.call(&JobCall::Submit(job("a"), false), deadline_in(2)).await },
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = JobCall::Submit(job("b"), false);
    let (first, second) =
        tokio::join!(service.call(&call, deadline_in(4)), service.call(&call, deadline_in(4)));
    let refused = |answer: &JobAnswer| matches!(answer, JobAnswer::Refused { .. });
    assert!(refused(&first) && refused(&second), "{first:?} {second:?}");
}

/// Guards against treating a write whose answer is lost as the write of another leader, and against
/// applying it twice.
#[tokio::test]
async fn submit_answer_lost() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    store.inject(&[TransactFault::Delayed, TransactFault::LostAnswer]);
    assert_eq!(
        service.call(&JobCall::Submit(job("a"), false), deadline_in(10)).await,
        JobAnswer::Done
    );
    store.apply_delayed();
    assert_eq!(
        service.call(&JobCall::Submit(job("b"), false), deadline_in(10)).await,
        JobAnswer::Done
    );
    let looks = RouteKey { name: "looks".to_owned(), ..RouteKey::default() };
    let pending = service.call(&JobCall::Pending(looks), deadline_in(10)).await;
    assert_eq!(pending, JobAnswer::Pending(2));
}

/// Guards against a job that the store rejects for its size holding up all other jobs (review/2).
#[tokio::test]
async fn submit_rejected_alone() {
    let store = Arc::new(MemoryTransactor::new().with_record_limit(2000));
    let (_entry, service) = leading_entry(store).await;
    let large =
        JobCall::Submit(Box::new(Job { payload: "x".repeat(3000), ..*job("large") }), false);
    let small = JobCall::Submit(job("small"), false);
    let (first, second) =
        tokio::join!(service.call(&large, deadline_in(10)), service.call(&small, deadline_in(10)));
    assert_eq!((first, second), (JobAnswer::Unknown, JobAnswer::Done));
    let state = service
        .call(&JobCall::State("large".to_owned(), JobAccess::default()), deadline_in(10))
        .await;
    assert_eq!(state, JobAnswer::Absent, "the job was not accepted");
}

/// Guards against submissions that are kept without a bound until the store answers although their
/// callers have left.
#[tokio::test]
async fn submit_unstored_without_memory() {
    let store = Arc::new(MemoryTransactor::new());
    let (_entry, service) = leading_entry(store.clone()).await;
    store.inject(&[TransactFault::Refused; 50]);
    let large = Job { payload: "x".repeat(UNSTORED_BYTES), ..*job("large") };
    let large = JobCall::Submit(Box::new(large), false);
    let left =
        tokio::time::timeout(Duration::from_millis(100), service.call(&large, deadline_in(10)));
    assert!(left.await.is_err(), "the store does not take the job");
    let small = JobCall::Submit(job("small"), false);
    let refused = service.call(&small, deadline_in(10)).await;
    let reason = "submissions that are not stored take all memory that they may".to_owned();
    assert_eq!(refused, JobAnswer::Refused { reason, retry: Duration::from_secs(1) });
    assert_eq!(service.call(&large, deadline_in(20)).await, JobAnswer::Done, "a repeat waits");
    assert_eq!(service.call(&small, deadline_in(10)).await, JobAnswer::Done);
}
