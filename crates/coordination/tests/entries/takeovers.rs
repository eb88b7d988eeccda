//! Takeovers from a leader that can still be believed by agents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use skylarkpulley_coordination::{Entry, LeaderRecord};
use skylarkpulley_jobs::{Limits, ProgressRow, TaskKey, TaskRow, WorkerRow};
use skylarkpulley_store::{
    MemoryTransactor, Page, Record, RecordKey, TransactError, TransactFault, Transaction,
    TransactionOutcome, Transactor,
};
use tokio::net::TcpListener;

use crate::network::{GatedStore, silent_address};
use crate::rig::{job, start_announced, start_with, until_ready};
use crate::sessions::{Session, client};

/// Time for which an earlier leader may extend leases after a takeover.
const TAKEOVER: Duration = Duration::from_secs(2);

/// A store with a leader that answers nobody, and a job that this leader runs on a worker whose
/// agent only it hears.
async fn store_of_silent_leader() -> Arc<MemoryTransactor> {
    let store = Arc::new(MemoryTransactor::new());
    // No process listens at port 1.
    let record = LeaderRecord {
        address: "127.0.0.1:1".to_owned(),
        epoch: 1,
        name: "entry-a".to_owned(),
        ..LeaderRecord::default()
    };
    let task = TaskRow {
        checkpoint: String::new(),
        done: false,
        failures: 0,
        key: TaskKey { occurrence: 0, step: 0, index: 0 },
        run: 1,
        worker: Some(0),
    };
    let unheard =
        WorkerRow { id: "unheard".to_owned(), incarnation: 1, address: "10.0.0.9:1".to_owned() };
    let progress = ProgressRow {
        started: true,
        tasks: vec![task],
        workers: vec![unheard],
        ..ProgressRow::default()
    };
    let job = serde_json::to_vec(&job("a")).expect("JSON");
    let progress = serde_json::to_vec(&progress).expect("JSON");
    let rows = Transaction {
        puts: vec![
            (LeaderRecord::key(), record.encode().into()),
            (RecordKey::new("jobs", "a"), job.into()),
            (RecordKey::new("progress", "a"), progress.into()),
        ],
        ..Transaction::default()
    };
    store.apply(&rows).await.expect("stored");
    store
}

/// A store that answers everything but the reads of whole tables.
struct UnlistedStore(Arc<MemoryTransactor>);

#[async_trait]
impl Transactor for UnlistedStore {
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        self.0.apply(transaction).await
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        self.0.read(key).await
    }

    async fn scan(&self, _table: &str, _after: &str) -> Result<Page, TransactError> {
        Err(TransactError::Refused { detail: "injected".to_owned() })
    }
}

/// Reports on an idle worker until the job is started there again; returns the time from `since`.
async fn time_to_start(session: &mut Session, since: Instant) -> Duration {
    for sequence in 1.. {
        let update = session.report(sequence, false).await.expect("an open session");
        if let Some(start) = update.start.first() {
            assert_eq!((start.task.as_str(), start.run), ("a.0.0.0", 2));
            return since.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the reports have no end")
}

/// Waits until the job of the silent leader is started again, and checks that this took the whole
/// time for which that leader may extend leases.
async fn check_waits(entry: &Entry, store: &MemoryTransactor, started: Instant) {
    let mut session = Session::open(&mut client(entry)).await;
    let waited = time_to_start(&mut session, started).await;
    assert!(waited >= TAKEOVER, "started again after {waited:?}");
    let (record, _) = LeaderRecord::read(store).await.expect("a record");
    assert!(record.predecessors.is_empty(), "the wait is over");
}

fn short_limits() -> Limits {
    Limits { lapse: Duration::from_millis(100), takeover: TAKEOVER, ..Limits::default() }
}

/// Guards against a takeover without an answer that hides the earlier leader (review/1): its runs
/// were taken for lost, and started again, while it still extended their leases.
#[tokio::test]
async fn takeover_answer_lost_waits() {
    let store = store_of_silent_leader().await;
    store.inject(&[TransactFault::LostAnswer]);
    let started = Instant::now();
    let (entry, _) = start_with("entry-b", store.clone(), short_limits()).await;
    until_ready(&entry).await;
    let (record, _) = LeaderRecord::read(store.as_ref()).await.expect("a record");
    assert_eq!((record.epoch, record.name.as_str()), (2, "entry-b"), "its write is recognised");
    check_waits(&entry, &store, started).await;
}

/// Guards against the same where the entry cannot learn the outcome of its takeover, and takes over
/// once more.
#[tokio::test]
async fn takeover_outcome_unknown_waits() {
    let store = store_of_silent_leader().await;
    store.inject(&[TransactFault::Hang]);
    let (gated, gate) = GatedStore::new(store.clone());
    let gated = gated.with_close_on_write();
    let (entry, _) = start_with("entry-b", Arc::new(gated), short_limits()).await;
    while LeaderRecord::read(store.as_ref()).await.expect("a record").0.epoch < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The entry gives up its takeover after 2 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    gate.send_replace(true);
    until_ready(&entry).await;
    let (record, _) = LeaderRecord::read(store.as_ref()).await.expect("a record");
    assert_eq!((record.epoch, record.name.as_str()), (3, "entry-b"), "it took over twice");
    check_waits(&entry, &store, started).await;
}

/// Guards against an entry that takes over, cannot load the rows, and keeps all others following it.
#[tokio::test]
async fn takeover_without_rows_replaced() {
    let store = Arc::new(MemoryTransactor::new());
    let unlisted = Arc::new(UnlistedStore(store.clone()));
    let (_unable, _) = start_with("entry-b", unlisted, Limits::default()).await;
    let leader = async |name: &str| loop {
        let (record, _) = LeaderRecord::read(store.as_ref()).await.expect("a record");
        if record.name == name {
            return record;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(leader("entry-b").await.epoch, 1);
    let (entry, _) = start_with("entry-c", store.clone(), Limits::default()).await;
    // Without the replacement, the record never changes.
    let record = tokio::time::timeout(Duration::from_secs(60), leader("entry-c")).await;
    let record = record.expect("another entry takes over");
    assert_eq!((record.epoch, record.predecessors.len()), (2, 1));
    until_ready(&entry).await;
}

/// Guards against two entries that cannot reach each other, while the store answers both, replacing
/// each other without end. The first one is replaced once; it then sees its successor write.
#[tokio::test]
async fn takeover_unreachable_kept() {
    let store = Arc::new(MemoryTransactor::new());
    let mut entries = Vec::new();
    for name in ["entry-a", "entry-b"] {
        let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let announced = silent_address().await;
        entries.push(
            start_announced(name, store.clone(), Limits::default(), control, announced).await,
        );
        while LeaderRecord::read(store.as_ref()).await.expect("a record").0.epoch == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    // Without the check, each leader is replaced after its first write. A machine on which the
    // entries stand still for more than a second may bring a further takeover.
    loop {
        let (record, _) = LeaderRecord::read(store.as_ref()).await.expect("a record");
        assert!(record.epoch <= 6, "{} has replaced a leader that works", record.name);
        if record.epoch >= 2 && record.sequence >= 10 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
