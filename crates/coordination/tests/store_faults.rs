//! Answers to callers while the store fails, through a leading entry over an in-memory store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use skylarkpulley_coordination::{
    Entry, EntrySettings, JobAnswer, JobCall, JobService, TablesSource, TablesSourceError,
};
use skylarkpulley_jobs::{Job, JobTables, Limits, Step, WorkerPool};
use skylarkpulley_store::{MemoryTransactor, TransactFault};
use skylarkpulley_types::SystemClock;
use tokio::net::TcpListener;

struct FixedTables;

#[async_trait]
impl TablesSource for FixedTables {
    async fn poll(&self, known: u64) -> Result<Option<JobTables>, TablesSourceError> {
        if known > 0 {
            std::future::pending::<()>().await;
        }
        let pool = WorkerPool { guarded: true, name: "renders".to_owned(), spare: false };
        Ok(Some(JobTables {
            body_limit: 1000,
            pools: [("renders".to_owned(), pool)].into(),
            version: 1,
            ..JobTables::default()
        }))
    }
}

fn job(id: &str) -> Box<Job> {
    Box::new(Job {
        accepted_ms: 1,
        advised: false,
        attempts: 1,
        class: 1,
        id: id.to_owned(),
        payload: String::new(),
        pool: "renders".to_owned(),
        route: "looks".to_owned(),
        schedule: None,
        slack: 3.0,
        steps: vec![Step { count: 1, ..Step::default() }],
        target_ms: 1000,
        team: "north".to_owned(),
    })
}

async fn leading_entry(store: Arc<MemoryTransactor>) -> (Entry, JobService) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let settings = EntrySettings {
        confirm: Duration::from_secs(12),
        control: listener.local_addr().expect("an address"),
        lease: Duration::from_secs(8),
        limits: Limits {
            lapse: Duration::from_secs(9),
            open_jobs: 100,
            reclaim: Duration::from_secs(3),
            retention: Duration::from_secs(120),
            stop: Duration::from_millis(900),
            takeover: Duration::from_secs(12),
        },
        name: "entry-1".to_owned(),
    };
    let clock = Arc::new(SystemClock::new());
    let entry = Entry::start(settings, listener, store, Arc::new(FixedTables), None, clock);
    let service = entry.service();
    while !service.leadership().own {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
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
