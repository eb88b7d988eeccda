//! Writes of a leader through outages of the store, on a virtual clock.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_coordination::{CommitEnd, Journal, LeaderRecord, StoreHealth};
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{
    Applied, MemoryTransactor, Page, Record, RecordKey, TransactError, Transaction, Transactor,
};
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

/// Takes the leadership of a store that fails from 1 s on for `outage_ms`, and writes meanwhile.
/// Returns the time from the end of the outage to the end of the write.
async fn write_through(outage: Outage, outage_ms: u64) -> Duration {
    let from = Instant::now() + Duration::from_secs(1);
    let until = from + Duration::from_millis(outage_ms);
    let store = FailingStore { from, inner: MemoryTransactor::new(), outage, until };
    let (record, health) = (LeaderRecord::default(), Arc::new(StoreHealth::new()));
    let taken =
        Journal::take_over(Arc::new(store), "entry-1", "10.0.0.1:7500", &record, 0, health).await;
    let journal = taken.expect("an outcome").expect("no other leader");
    tokio::time::sleep_until(from).await;
    let row = RowChange { kind: RowKind::Job, key: "a".to_owned(), value: Some(b"{}".to_vec()) };
    let (_, end) = journal.commit(vec![row]).await;
    assert_eq!(end, CommitEnd::Stored);
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
