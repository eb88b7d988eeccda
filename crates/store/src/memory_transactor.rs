use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;

use crate::{Page, Record, RecordKey, TransactError, Transaction, TransactionOutcome, Transactor};

/// Records in one page; small, so that tests read several pages.
const PAGE: usize = 4;

/// What happens to the next transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactFault {
    /// It takes effect and is never answered.
    Hang,
    /// It takes effect, and its answer is lost.
    LostAnswer,
    /// It has no answer, and takes effect when [`MemoryTransactor::apply_delayed`] is called, if its
    /// expectations still hold.
    Delayed,
    /// It is refused and nothing is done.
    Refused,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<TransactFault>,
    late: Vec<Transaction>,
    records: BTreeMap<RecordKey, (Bytes, u64)>,
    version: u64,
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let current = |key: &RecordKey| self.records.get(key).map_or(0, |(_, version)| *version);
        if transaction.expected_versions.iter().any(|(key, version)| current(key) != *version) {
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

/// In-memory [`Transactor`] with faults, for tests.
#[derive(Debug, Default)]
pub struct MemoryTransactor {
    state: Mutex<State>,
}

impl MemoryTransactor {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues faults for the next transactions.
    pub fn inject(&self, faults: &[TransactFault]) {
        self.lock().faults.extend(faults);
    }

    /// Carries out the transactions whose answers were withheld.
    pub fn apply_delayed(&self) {
        let mut state = self.lock();
        for transaction in std::mem::take(&mut state.late) {
            state.apply(&transaction);
        }
    }

    /// Applies a transaction with the next fault; `None` when it is never answered.
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
                Err(unanswered("answer lost"))
            }
            Some(TransactFault::Delayed) => {
                state.late.push(transaction.clone());
                Err(unanswered("held back"))
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
        let from = RecordKey::new(table, after);
        let mut records: Vec<Record> = state
            .records
            .range((Bound::Excluded(from), Bound::Unbounded))
            .take_while(|(key, _)| key.table == table)
            .take(PAGE + 1)
            .filter_map(|(key, _)| state.record(key))
            .collect();
        let has_more = records.len() > PAGE;
        records.truncate(PAGE);
        Ok(Page { has_more, records })
    }
}
