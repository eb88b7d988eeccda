//! Writes of a leader during outages of the store, on a virtual clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_coordination::{CommitOutcome, Journal, LeaderRecord, Predecessor, StoreHealth};
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{
    MemoryTransactor, Page, Record, RecordKey, TransactError, TransactFault, Transaction,
    TransactionOutcome, Transactor,
};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// How a store fails.
#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// It refuses calls.
    Refusing,
    /// Calls that are sent during the outage are never answered.
    Silent,
}

/// A store that fails between the times `from` and `until`.
struct FailingStore {
    from: Instant,
    inner: MemoryTransactor,
    outage: Outage,
    until: Instant,
}

impl FailingStore {
    async fn check_outage(&self) -> Result<(), TransactError> {
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
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        self.check_outage().await?;
        self.inner.apply(transaction).await
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        self.check_outage().await?;
        self.inner.read(key).await
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        self.check_outage().await?;
        self.inner.scan(table, after).await
    }
}

/// A store whose times are 84 times as long as usual. The usual times are 4 ms for each answer and
/// 8 ms for each transaction. Transactions are carried out one after another.
struct SlowStore {
    applied: AtomicUsize,
    inner: MemoryTransactor,
    transaction_lock: Mutex<()>,
}

/// Delay of each answer.
const ANSWER: Duration = Duration::from_millis(84 * 4);

/// Duration of each transaction.
const TRANSACTION: Duration = Duration::from_millis(84 * 8);

#[async_trait]
impl Transactor for SlowStore {
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        self.applied.fetch_add(1, Ordering::SeqCst);
        let applied = {
            let _guard = self.transaction_lock.lock().await;
            tokio::time::sleep(TRANSACTION).await;
            self.inner.apply(transaction).await
        };
        tokio::time::sleep(ANSWER).await;
        applied
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        let record = self.inner.read(key).await;
        tokio::time::sleep(ANSWER).await;
        record
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
    let takeover = Journal::take_over(store, "entry-1", "10.0.0.1:7500", &record, 0, health).await;
    takeover.expect("an outcome").expect("no other leader")
}

/// Guards against repeated writes that make a slow store slower until callers run out of time
/// (trouble-2 --seed 4 of novias-vc): each write queues behind the repeats of the previous one.
#[tokio::test(start_paused = true)]
async fn commit_slow_store() {
    let (inner, transaction_lock) = (MemoryTransactor::new(), Mutex::new(()));
    let store = Arc::new(SlowStore { applied: AtomicUsize::new(0), inner, transaction_lock });
    let health = Arc::new(StoreHealth::new());
    let mut journal = lead(store.clone(), health.clone()).await;
    for key in ["a", "b", "c", "d"] {
        let started = Instant::now();
        let (written, end) = journal.commit(vec![row(key)]).await;
        assert_eq!(end, CommitOutcome::Stored);
        assert!(started.elapsed() <= TRANSACTION + ANSWER * 2, "{key}: {:?}", started.elapsed());
        assert_eq!(
            (health.failing_for(), health.overdue_for()),
            (Duration::ZERO, Duration::ZERO),
            "{key}"
        );
        journal = written;
    }
    assert_eq!(store.applied.load(Ordering::SeqCst), 5, "no write was sent twice");
}

/// Guards against a write whose answer is lost delaying the writes behind it, and against sending
/// it again although it is stored.
#[tokio::test(start_paused = true)]
async fn commit_answer_lost() {
    let store = Arc::new(MemoryTransactor::new());
    let journal = lead(store.clone(), Arc::new(StoreHealth::new())).await;
    store.inject(&[TransactFault::Hang]);
    let started = Instant::now();
    let (journal, end) = journal.commit(vec![row("a")]).await;
    assert_eq!((end, started.elapsed()), (CommitOutcome::Stored, Duration::from_millis(150)));
    assert_eq!(journal.commit(vec![row("b")]).await.1, CommitOutcome::Stored);
}

/// Takes the leadership in a store that fails after 1 s for `outage_ms`, and starts a write at the
/// beginning of the outage. Returns the time from the end of the outage to the end of the write.
async fn write_during_outage(outage: Outage, outage_ms: u64) -> Duration {
    let from = Instant::now() + Duration::from_secs(1);
    let until = from + Duration::from_millis(outage_ms);
    let store = FailingStore { from, inner: MemoryTransactor::new(), outage, until };
    let journal = lead(Arc::new(store), Arc::new(StoreHealth::new())).await;
    tokio::time::sleep_until(from).await;
    let (_, end) = journal.commit(vec![row("a")]).await;
    assert_eq!(end, CommitOutcome::Stored);
    Instant::now() - until
}

/// Guards against callers that lose their last attempt because the leader waits too long between
/// two attempts while the store refuses its calls (trouble-3 of menza-grid). Callers retry every
/// 0.4 to 1 s.
#[tokio::test(start_paused = true)]
async fn commit_store_returns() {
    for outage_ms in [450, 4200, 9000] {
        let delay = write_during_outage(Outage::Refusing, outage_ms).await;
        assert!(delay <= Duration::from_millis(150), "{delay:?} after {outage_ms} ms");
    }
}

/// Guards against callers that lose their last attempt after an outage in which the store was
/// silent: a call that was sent during the outage is never answered.
#[tokio::test(start_paused = true)]
async fn commit_silent_store_returns() {
    for outage_ms in [2000, 4500, 9100] {
        let delay = write_during_outage(Outage::Silent, outage_ms).await;
        assert!(delay <= Duration::from_millis(300), "{delay:?} after {outage_ms} ms");
    }
}

/// Guards against callers that wait too long while the store resets every connection (trouble-3 of
/// menza-grid): the resets counted as silence, which takes longer to distinguish from a slow store.
#[tokio::test(start_paused = true)]
async fn commit_resets_count_as_failures() {
    let store = Arc::new(MemoryTransactor::new());
    let health = Arc::new(StoreHealth::new());
    let journal = lead(store.clone(), health.clone()).await;
    store.inject(&[TransactFault::Delayed; 100]);
    let commit = journal.commit(vec![row("a")]);
    let _ = tokio::time::timeout(Duration::from_millis(120), commit).await;
    // Ages are whole milliseconds of the system clock, not of the virtual one.
    std::thread::sleep(Duration::from_millis(5));
    assert!(health.failing_for() > Duration::ZERO, "the resets count as failures");
}

/// Guards against sending a write without end that the store rejects for its content (review/2).
#[tokio::test(start_paused = true)]
async fn commit_rejected() {
    let store = Arc::new(MemoryTransactor::new().with_record_limit(1000));
    let journal = lead(store.clone(), Arc::new(StoreHealth::new())).await;
    let large = RowChange { value: Some(vec![b'x'; 2000]), ..row("large") };
    let (journal, end) = journal.commit(vec![row("a"), large]).await;
    assert_eq!(end, CommitOutcome::Rejected);
    assert_eq!(journal.commit(vec![row("a")]).await.1, CommitOutcome::Stored);
    assert!(store.read(&RecordKey::new("jobs", "large")).await.unwrap().is_none());
}

/// Takes over from the leader in the record as the entry `name`, whose process ends before it has
/// an answer.
async fn take_over_unanswered(store: &Arc<MemoryTransactor>, name: &str) {
    store.inject(&[TransactFault::Hang]);
    let (record, version) = LeaderRecord::read(store.as_ref()).await.unwrap();
    let (address, health) = (format!("{name}:1"), Arc::new(StoreHealth::new()));
    let takeover = Journal::take_over(store.clone(), name, &address, &record, version, health);
    let ended = tokio::time::timeout(Duration::from_millis(10), takeover).await;
    assert!(ended.is_err(), "{name}: there is no answer");
    let (record, _) = LeaderRecord::read(store.as_ref()).await.unwrap();
    assert_eq!(record.name, name, "the write is stored");
}

async fn take_over(store: &Arc<MemoryTransactor>, name: &str) -> Journal {
    let (record, version) = LeaderRecord::read(store.as_ref()).await.unwrap();
    let (address, health) = (format!("{name}:1"), Arc::new(StoreHealth::new()));
    let takeover =
        Journal::take_over(store.clone(), name, &address, &record, version, health).await;
    takeover.expect("an outcome").expect("no other leader")
}

fn names(predecessors: &[Predecessor]) -> Vec<&str> {
    predecessors.iter().map(|earlier| earlier.name.as_str()).collect()
}

/// Guards against a takeover whose answer is lost and that is noticed only after the time limit of a
/// call, so that nobody leads for 2 s longer.
#[tokio::test(start_paused = true)]
async fn take_over_answer_lost() {
    for (fault, expected_ms) in
        [(TransactFault::Hang, 150), (TransactFault::LostAnswer, 50), (TransactFault::Refused, 50)]
    {
        let store = Arc::new(MemoryTransactor::new());
        take_over(&store, "a").await;
        store.inject(&[fault]);
        let started = Instant::now();
        let journal = take_over(&store, "b").await;
        assert_eq!(started.elapsed(), Duration::from_millis(expected_ms), "{fault:?}");
        assert_eq!((journal.epoch(), names(journal.predecessors())), (2, vec!["a"]), "{fault:?}");
        assert_eq!(journal.commit(vec![row("x")]).await.1, CommitOutcome::Stored, "{fault:?}");
    }
}

/// Guards against a takeover that is attempted without end while the store is silent.
#[tokio::test(start_paused = true)]
async fn take_over_silent_store() {
    let from = Instant::now();
    let until = from + Duration::from_secs(3600);
    let inner = MemoryTransactor::new();
    let store = Arc::new(FailingStore { from, inner, outage: Outage::Silent, until });
    let (record, health) = (LeaderRecord::default(), Arc::new(StoreHealth::new()));
    let takeover = Journal::take_over(store, "a", "a:1", &record, 0, health).await;
    assert!(matches!(takeover, Err(TransactError::Unanswered { .. })));
    assert_eq!(from.elapsed(), Duration::from_secs(2));
}

/// Guards against an earlier leader that a takeover hides (review/1): leases that it extends were
/// taken for lapsed. Each takeover passes on whom the one before it had to wait for.
#[tokio::test(start_paused = true)]
async fn take_over_chains() {
    // A leads, B has no answer to its takeover and takes over again.
    let store = Arc::new(MemoryTransactor::new());
    take_over(&store, "a").await;
    take_over_unanswered(&store, "b").await;
    assert_eq!(names(take_over(&store, "b").await.predecessors()), ["a"]);

    // A third entry takes over before the second has waited for the first.
    let store = Arc::new(MemoryTransactor::new());
    take_over(&store, "a").await;
    take_over_unanswered(&store, "b").await;
    assert_eq!(names(take_over(&store, "c").await.predecessors()), ["a", "b"]);
    take_over_unanswered(&store, "d").await;
    // The process of B has started again, and A leads once more: neither waits for itself.
    assert_eq!(names(take_over(&store, "b").await.predecessors()), ["a", "c", "d"]);
    let journal = take_over(&store, "a").await;
    assert_eq!(names(journal.predecessors()), ["b", "c", "d"]);

    // The next write forgets leaders that extend no leases any more, and a successor waits only for
    // the last one.
    let mut journal = journal;
    journal.end_predecessors();
    let (_, end) = journal.commit(vec![row("x")]).await;
    assert_eq!(end, CommitOutcome::Stored);
    assert_eq!(names(take_over(&store, "e").await.predecessors()), ["a"]);
}

/// Guards against a record of an earlier build, which has no list of predecessors, that cannot be
/// read after an upgrade.
#[tokio::test]
async fn take_over_record_without_predecessors() {
    let store = Arc::new(MemoryTransactor::new());
    let value = r#"{"address":"a:1","epoch":7,"name":"a","sequence":41}"#;
    let transaction =
        Transaction { puts: vec![(LeaderRecord::key(), value.into())], ..Transaction::default() };
    store.apply(&transaction).await.unwrap();
    let journal = take_over(&store, "b").await;
    assert_eq!((journal.epoch(), names(journal.predecessors())), (8, vec!["a"]));
}
