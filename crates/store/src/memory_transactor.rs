use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;

use crate::{Page, Record, RecordKey, TransactError, Transaction, TransactionOutcome, Transactor};

/// Records per page. The number is small so that tests read several pages.
const PAGE_RECORDS: usize = 4;

/// Fault that is injected into one transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactFault {
    /// The transaction takes effect and is never answered.
    Hang,
    /// The transaction takes effect, and its answer is lost.
    LostAnswer,
    /// The answer is lost, and the transaction takes effect when
    /// [`MemoryTransactor::apply_delayed`] is called, provided that the records still have the
    /// expected versions.
    Delayed,
    /// The transaction is refused and changes nothing.
    Refused,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<TransactFault>,
    held_back: Vec<Transaction>,
    records: BTreeMap<RecordKey, (Bytes, u64)>,
    version: u64,
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let current_version =
            |key: &RecordKey| self.records.get(key).map_or(0, |(_, version)| *version);
        if transaction
            .expected_versions
            .iter()
            .any(|(key, version)| current_version(key) != *version)
        {
            let found =
                transaction.expected_versions.iter().filter_map(|(key, _)| self.record(key));
            return TransactionOutcome::Conflict { found: found.collect() };
        }
        self.version += 1;
        for (key, value) in &transaction.puts {
            self.records.insert(key.clone(), (value.clone(), self.version));
        }
        for key in &transaction.deletes {
            self.records.remove(key);
        }
        TransactionOutcome::Committed { version: self.version }
    }

    fn record(&self, key: &RecordKey) -> Option<Record> {
        let (value, version) = self.records.get(key)?;
        Some(Record { key: key.clone(), value: value.clone(), version: *version })
    }
}

/// In-memory [`Transactor`] with fault injection, for tests.
#[derive(Debug, Default)]
pub struct MemoryTransactor {
    /// Size in bytes above which a record is rejected.
    record_limit: Option<usize>,
    state: Mutex<State>,
}

impl MemoryTransactor {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the store with a maximum size of a record in bytes.
    pub fn with_record_limit(self, limit: usize) -> Self {
        Self { record_limit: Some(limit), ..self }
    }

    /// Queues faults; each next transaction uses up one.
    pub fn inject(&self, faults: &[TransactFault]) {
        self.lock().faults.extend(faults);
    }

    /// Applies the transactions that [`TransactFault::Delayed`] held back, in the order in which they
    /// were sent.
    pub fn apply_delayed(&self) {
        let mut state = self.lock();
        for transaction in std::mem::take(&mut state.held_back) {
            state.apply(&transaction);
        }
    }

    /// Applies a transaction with the next queued fault; `None` when it is never answered.
    fn apply_next(
        &self,
        transaction: &Transaction,
    ) -> Option<Result<TransactionOutcome, TransactError>> {
        let mut state = self.lock();
        let unanswered = |detail: &str| TransactError::Unanswered { detail: detail.to_owned() };
        Some(match state.faults.pop_front() {
            None => Ok(state.apply(transaction)),
            Some(TransactFault::Hang) => {
                state.apply(transaction);
                return None;
            }
            Some(TransactFault::LostAnswer) => {
                state.apply(transaction);
                Err(unanswered("injected loss of the answer"))
            }
            Some(TransactFault::Delayed) => {
                state.held_back.push(transaction.clone());
                Err(unanswered("injected delay of the transaction"))
            }
            Some(TransactFault::Refused) => {
                Err(TransactError::Refused { detail: "injected".to_owned() })
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Transactor for MemoryTransactor {
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        let too_large = |value: &Bytes| self.record_limit.is_some_and(|limit| value.len() > limit);
        if let Some((key, value)) = transaction.puts.iter().find(|(_, value)| too_large(value)) {
            return Err(TransactError::Rejected {
                detail: format!("record {key} has {} bytes", value.len()),
            });
        }
        match self.apply_next(transaction) {
            Some(outcome) => outcome,
            None => std::future::pending().await,
        }
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        Ok(self.lock().record(key))
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        let state = self.lock();
        let after = RecordKey::new(table, after);
        let mut records: Vec<Record> = state
            .records
            .range((Bound::Excluded(after), Bound::Unbounded))
            .take_while(|(key, _)| key.table == table)
            .take(PAGE_RECORDS + 1)
            .filter_map(|(key, _)| state.record(key))
            .collect();
        let has_more = records.len() > PAGE_RECORDS;
        records.truncate(PAGE_RECORDS);
        Ok(Page { has_more, records })
    }
}
