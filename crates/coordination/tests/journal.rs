//! Writes of a leader through outages of the store, on a virtual clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_coordination::{CommitOutcome, Journal, LeaderRecord, StoreHealth};
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{
    Applied, MemoryTransactor, Page, Record, RecordKey, TransactError, TransactFault, Transaction,
    Transactor,
};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// How a store fails.
#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// It turns calls away.
    Refusing,
    /// Calls that are sent meanwhile are never answered.
    Silent,
}

/// A store that fails between two times.
struct FailingStore {
    from: Instant,
    inner: MemoryTransactor,
    outage: Outage,
    until: Instant,
}

impl FailingStore {
    async fn pass(&self) -> Result<(), TransactError> {
        let now = Instant::now();
        if now < self.from || now >= self.until {
            return Ok(());
        }
        if self.outage == Outage::Silent {
            std::future::pending::<()>().await;
        }
        Err(TransactError::Refused { detail: "injected".to_owned() })
    }
}

#[async_trait]
impl Transactor for FailingStore {
    async fn apply(&self, transaction: &Transaction) -> Result<Applied, TransactError> {
        self.pass().await?;
        self.inner.apply(transaction).await
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        self.pass().await?;
        self.inner.read(key).await
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        self.pass().await?;
        self.inner.scan(table, after).await
    }
}

/// A store whose answers take 84 times as long as usual: 4 ms for each answer, and 8 ms for each
/// transaction, which are carried out one after another.
struct SlowStore {
    applied: AtomicUsize,
    inner: MemoryTransactor,
    part: Mutex<()>,
}

const ANSWER: Duration = Duration::from_millis(84 * 4);
const TRANSACTION: Duration = Duration::from_millis(84 * 8);

#[async_trait]
impl Transactor for SlowStore {
    async fn apply(&self, transaction: &Transaction) -> Result<Applied, TransactError> {
        self.applied.fetch_add(1, Ordering::SeqCst);
        let applied = {
            let _turn = self.part.lock().await;
            tokio::time::sleep(TRANSACTION).await;
            self.inner.apply(transaction).await
        };
        tokio::time::sleep(ANSWER).await;
        applied
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        let found = self.inner.read(key).await;
        tokio::time::sleep(ANSWER).await;
        found
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        self.inner.scan(table, after).await
    }
}

fn row(key: &str) -> RowChange {
    RowChange { kind: RowKind::Job, key: key.to_owned(), value: Some(b"{}".to_vec()) }
}

async fn lead(store: Arc<dyn Transactor>, health: Arc<StoreHealth>) -> Journal {
    let record = LeaderRecord::default();
    let taken = Journal::take_over(store, "entry-1", "10.0.0.1:7500", &record, 0, health).await;
    taken.expect("an outcome").expect("no other leader")
}

/// Guards against a slow store that is made slower by repeated writes until callers run out of time
/// (trouble-2 --seed 4 of novias-vc): each write queues behind the repeats of the one before.
#[tokio::test(start_paused = true)]
async fn commit_slow_store() {
    let (inner, part) = (MemoryTransactor::new(), Mutex::new(()));
    let store = Arc::new(SlowStore { applied: AtomicUsize::new(0), inner, part });
    let health = Arc::new(StoreHealth::new());
    let mut journal = lead(store.clone(), health.clone()).await;
    for key in ["a", "b", "c", "d"] {
        let begun = Instant::now();
        let (written, end) = journal.commit(vec![row(key)]).await;
        assert_eq!(end, CommitOutcome::Stored);
        assert!(begun.elapsed() <= TRANSACTION + ANSWER * 2, "{key}: {:?}", begun.elapsed());
        assert_eq!(
            (health.failing_for(), health.overdue_for()),
            (Duration::ZERO, Duration::ZERO),
            "{key}"
        );
        journal = written;
    }
    assert_eq!(store.applied.load(Ordering::SeqCst), 5, "no write was sent twice");
}

/// Guards against a write whose answer is lost holding up those behind it, and against sending it
/// again though it is stored.
#[tokio::test(start_paused = true)]
async fn commit_answer_lost() {
    let store = Arc::new(MemoryTransactor::new());
    let journal = lead(store.clone(), Arc::new(StoreHealth::new())).await;
    store.inject(&[TransactFault::Hung]);
    let begun = Instant::now();
    let (journal, end) = journal.commit(vec![row("a")]).await;
    assert_eq!((end, begun.elapsed()), (CommitOutcome::Stored, Duration::from_millis(150)));
    assert_eq!(journal.commit(vec![row("b")]).await.1, CommitOutcome::Stored);
}

/// Takes the leadership of a store that fails from 1 s on for `outage_ms`, and writes meanwhile.
/// Returns the time from the end of the outage to the end of the write.
async fn write_through(outage: Outage, outage_ms: u64) -> Duration {
    let from = Instant::now() + Duration::from_secs(1);
    let until = from + Duration::from_millis(outage_ms);
    let store = FailingStore { from, inner: MemoryTransactor::new(), outage, until };
    let journal = lead(Arc::new(store), Arc::new(StoreHealth::new())).await;
    tokio::time::sleep_until(from).await;
    let (_, end) = journal.commit(vec![row("a")]).await;
    assert_eq!(end, CommitOutcome::Stored);
    Instant::now() - until
}

/// Guards against callers that lose their last try because the leader waits long between two tries
/// while the store turns it away (trouble-3 of menza-grid): they come back every 0.4 to 1 s.
#[tokio::test(start_paused = true)]
async fn commit_store_returns() {
    for outage_ms in [450, 4200, 9000] {
        let late = write_through(Outage::Refusing, outage_ms).await;
        assert!(late <= Duration::from_millis(150), "{late:?} after {outage_ms} ms");
    }
}

/// Guards against the same after silence, where a call that was sent before the return is never
/// answered.
#[tokio::test(start_paused = true)]
async fn commit_silent_store_returns() {
    for outage_ms in [2000, 4500, 9100] {
        let late = write_through(Outage::Silent, outage_ms).await;
        assert!(late <= Duration::from_millis(300), "{late:?} after {outage_ms} ms");
    }
}

/// Guards against callers that are held while the store resets every connection, because a reset
/// counts as silence, which takes longer to tell from a slow store (trouble-3 of menza-grid).
#[tokio::test(start_paused = true)]
async fn commit_resets_count_as_failures() {
    let store = Arc::new(MemoryTransactor::new());
    let health = Arc::new(StoreHealth::new());
    let journal = lead(store.clone(), health.clone()).await;
    store.inject(&[TransactFault::Late; 100]);
    let commit = journal.commit(vec![row("a")]);
    let _ = tokio::time::timeout(Duration::from_millis(120), commit).await;
    // Ages are whole milliseconds of the system's own clock.
    std::thread::sleep(Duration::from_millis(5));
    assert!(health.failing_for() > Duration::ZERO, "the store is seen to fail");
}
