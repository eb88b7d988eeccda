use std::sync::Arc;

use async_trait::async_trait;
use skylarkpulley_store::{
    Page, Record, RecordKey, TransactError, Transaction, TransactionOutcome, Transactor,
};
use skylarkpulley_telemetry::Metrics;
use tokio::time::Instant;

/// A store whose answered calls are timed and whose failed calls are counted.
pub struct MeteredStore {
    inner: Arc<dyn Transactor>,
    metrics: Metrics,
}

impl MeteredStore {
    /// Returns a store that passes its calls to `inner` and records them in `metrics`.
    pub fn new(inner: Arc<dyn Transactor>, metrics: Metrics) -> Self {
        Self { inner, metrics }
    }

    async fn meter<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, TransactError>> + Send,
    ) -> Result<T, TransactError> {
        let started = Instant::now();
        let outcome = call.await;
        match &outcome {
            Ok(_) => self.metrics.time(name, started.elapsed()),
            Err(TransactError::Refused { .. }) => self.metrics.count("store.refused"),
            Err(TransactError::Rejected { .. }) => self.metrics.count("store.rejected"),
            Err(TransactError::Unanswered { .. }) => self.metrics.count("store.unanswered"),
            Err(TransactError::Malformed { .. }) => self.metrics.count("store.malformed"),
        }
        outcome
    }
}

#[async_trait]
impl Transactor for MeteredStore {
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        self.meter("store.write", self.inner.apply(transaction)).await
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        self.meter("store.read", self.inner.read(key)).await
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        self.meter("store.scan", self.inner.scan(table, after)).await
    }
}
