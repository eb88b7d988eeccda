use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::store::check_key;
use crate::{Fault, Faults, Operation, Row, RowTable, Store, StoreError, WriteClass};

/// In-memory store with fault injection, for tests of code that calls a store. Clones share their
/// rows.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    faults: Faults,
    table: Arc<Mutex<RowTable>>,
    timeout: Duration,
}

impl MemoryStore {
    /// Returns an empty store whose calls time out after 15 s.
    pub fn new() -> Self {
        let table = Arc::new(Mutex::new(RowTable::new()));
        Self { faults: Faults::new(), table, timeout: Duration::from_secs(15) }
    }

    /// Sets the time-out of calls that hang or are slow.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Returns the handle that injects faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    fn with_table<T>(&self, call: impl FnOnce(&mut RowTable) -> T) -> T {
        call(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn read<T>(
        &self,
        key: &str,
        call: impl Fn(&RowTable, bool) -> T,
    ) -> Result<T, StoreError> {
        let fault = self.faults.take(Operation::Read);
        let timed_out = || StoreError::TimedOut { key: key.to_owned(), limit: self.timeout };
        match fault {
            Some(Fault::Outage) => return Err(outage(key)),
            Some(Fault::Hang) => {
                tokio::time::sleep(self.timeout).await;
                return Err(timed_out());
            }
            Some(Fault::LostRequest | Fault::LostAnswer) => {
                let detail = "connection closed".to_owned();
                return Err(StoreError::Unavailable { key: key.to_owned(), detail });
            }
            Some(Fault::Slow(delay)) => {
                tokio::time::sleep(delay.min(self.timeout)).await;
                if delay > self.timeout {
                    return Err(timed_out());
                }
            }
            _ => {}
        }
        let stale = matches!(fault, Some(Fault::StaleRead));
        Ok(self.with_table(|table| call(table, stale)))
    }

    async fn write<T>(
        &self,
        key: &str,
        expected: u64,
        call: impl Fn(&mut RowTable) -> Result<T, u64>,
    ) -> Result<T, StoreError> {
        let lost = |detail: &str| StoreError::LostAnswer {
            key: key.to_owned(),
            expected,
            detail: detail.to_owned(),
        };
        let execute = || {
            let key = key.to_owned();
            self.with_table(&call).map_err(|found| StoreError::Conflict { key, expected, found })
        };
        match self.faults.take(Operation::Write) {
            Some(Fault::Outage) => Err(outage(key)),
            Some(Fault::Hang) => {
                tokio::time::sleep(self.timeout).await;
                Err(lost("time-out"))
            }
            Some(Fault::LostRequest) => Err(lost("connection closed")),
            Some(Fault::LostAnswer) => {
                // The answer is lost also when it is a conflict.
                execute().ok();
                Err(lost("connection closed"))
            }
            Some(Fault::Slow(delay)) => {
                // The write takes effect before the delay, as in a service whose answers are delayed.
                let answer = execute();
                tokio::time::sleep(delay.min(self.timeout)).await;
                if delay > self.timeout { Err(lost("time-out")) } else { answer }
            }
            Some(Fault::Race(value)) => {
                self.with_table(|table| table.overwrite(key, value));
                execute()
            }
            Some(Fault::StaleRead) | None => execute(),
        }
    }
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

fn outage(key: &str) -> StoreError {
    StoreError::Unavailable { key: key.to_owned(), detail: "injected outage".to_owned() }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        check_key(key)?;
        self.read(key, |table, stale| table.get(key, stale)).await
    }

    async fn put(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        _class: WriteClass,
    ) -> Result<u64, StoreError> {
        check_key(key)?;
        self.write(key, expected, |table| table.put(key, expected, value.clone())).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError> {
        self.read(prefix, |table, stale| table.list(prefix, stale)).await
    }

    async fn delete(&self, key: &str, expected: u64, _class: WriteClass) -> Result<(), StoreError> {
        check_key(key)?;
        self.write(key, expected, |table| table.delete(key, expected)).await
    }
}
