use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{Applied, Page, RecordKey, TransactError, Transaction, Transactor};

use crate::boot_time::boot_time;
use crate::leader_record::LeaderRecord;
use crate::store_health::StoreHealth;

/// First pause before a write without an outcome is sent again; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two tries. Callers wait for 3 s and come back about every 0.7 s, so that a
/// return of the store that is noticed 400 ms late costs some of them their last try. Only the leader
/// writes, and an outage of 5 s costs 50 calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Shortest time after which a write is sent again. A usual one takes 15 ms; a lost answer would
/// otherwise hold up all writes behind it for the time that a slow store may take.
const SHORTEST_LIMIT: Duration = Duration::from_millis(300);

/// Longest such time. Transactions of a slow store queue behind each other, so that each further
/// call delays the first.
const LONGEST_LIMIT: Duration = Duration::from_millis(2000);

/// Calls for one write that may be open at once.
const OPEN_CALLS: usize = 3;

/// A write without an answer for this long is taken for lost once the store answers a read; the
/// slowest store seen takes about a second.
const LOST_WRITE: Duration = Duration::from_millis(1300);

/// Pause between two reads that look for the return of a silent store.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// A write may take this many times as long as the last one before it is sent again.
const LIMIT_FACTOR: u32 = 4;

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitEnd {
    /// It is stored.
    Stored,
    /// Another entry leads; the write will never apply.
    Deposed,
}

/// The rows of the coordinator in the store, written by one leader at a time.
///
/// Each write expects the leader's record at the version that the writer left it at, and replaces
/// it. A write whose answer is lost is sent again: if the first one was applied, the second one
/// conflicts with the writer's own sequence number, and if it is applied late, it conflicts.
#[derive(Clone)]
pub struct Journal {
    confirmed: Duration,
    health: Arc<StoreHealth>,
    record: LeaderRecord,
    /// Time that the last write took.
    took: Duration,
    store: Arc<dyn Transactor>,
    version: u64,
}

impl Journal {
    /// Takes the leadership over from the holder of `record` at `version`. `None` when another
    /// entry was faster.
    ///
    /// # Errors
    /// [`TransactError`] when the store gave no outcome.
    pub async fn take_over(
        store: Arc<dyn Transactor>,
        name: &str,
        address: &str,
        record: &LeaderRecord,
        version: u64,
        health: Arc<StoreHealth>,
    ) -> Result<Option<Self>, TransactError> {
        let next = LeaderRecord {
            address: address.to_owned(),
            epoch: record.epoch + 1,
            name: name.to_owned(),
            sequence: 0,
        };
        let confirmed = boot_time();
        let transaction = Transaction {
            expect: vec![(LeaderRecord::key(), version)],
            puts: vec![(LeaderRecord::key(), next.encode().into())],
            ..Transaction::default()
        };
        match store.apply(&transaction).await? {
            Applied::Done { version } => {
                health.succeed(confirmed);
                let took = Duration::ZERO;
                Ok(Some(Self { confirmed, health, record: next, took, store, version }))
            }
            Applied::Conflict { .. } => Ok(None),
        }
    }

    /// Returns the epoch of this leadership.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Returns the boot time at which a call was sent that confirmed the leadership.
    pub fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// Reads all rows of one kind.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer.
    pub async fn load(&self, kind: RowKind) -> Result<Vec<(String, Vec<u8>)>, TransactError> {
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            let Page { more, records } = self.store.scan(table(kind), &after).await?;
            if let Some(last) = records.last() {
                after.clone_from(&last.key.key);
            }
            let last = records.is_empty() || !more;
            rows.extend(records.into_iter().map(|row| (row.key.key, row.value.to_vec())));
            if last {
                return Ok(rows);
            }
        }
    }

    /// Stores `rows`; returns when they are stored or can never be. A call that takes longer than
    /// usual is joined by a further one, and the first answer decides: the store may be slow, or the
    /// answer lost.
    pub async fn commit(mut self, rows: Vec<RowChange>) -> (Self, CommitEnd) {
        let next = LeaderRecord { sequence: self.record.sequence + 1, ..self.record.clone() };
        let mut pause = FIRST_PAUSE;
        let mut limit = (self.took * LIMIT_FACTOR).clamp(SHORTEST_LIMIT, LONGEST_LIMIT);
        let mut calls = FuturesUnordered::new();
        calls.push(self.write(&next, &rows));
        let mut returned = self.wait_for_return();
        loop {
            let (sent, outcome) = tokio::select! {
                () = &mut returned => {
                    calls.push(self.write(&next, &rows));
                    returned = self.wait_for_return();
                    continue;
                }
                Some(answer) = calls.next() => answer,
                () = tokio::time::sleep(limit), if calls.len() < OPEN_CALLS => {
                    self.health.delay(boot_time().saturating_sub(limit));
                    limit = (limit * 2).min(LONGEST_LIMIT);
                    calls.push(self.write(&next, &rows));
                    continue;
                }
            };
            self.took = boot_time().saturating_sub(sent);
            match outcome {
                Ok(applied) => {
                    self.health.succeed(sent);
                    if let Some(end) = self.judge(&next, applied, sent) {
                        return (self, end);
                    }
                }
                Err(error) => {
                    self.health.fail(sent);
                    if pause == FIRST_PAUSE {
                        tracing::warn!(%error, rows = rows.len(), "write has no outcome yet");
                    }
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            if calls.is_empty() {
                calls.push(self.write(&next, &rows));
            }
        }
    }

    /// Ends when the store answers a read though a write has been open for long.
    fn wait_for_return(&self) -> BoxFuture<'static, ()> {
        let store = self.store.clone();
        Box::pin(async move {
            tokio::time::sleep(LOST_WRITE).await;
            loop {
                if LeaderRecord::read_hedged(&store).await.is_ok() {
                    return;
                }
                tokio::time::sleep(PROBE_PAUSE).await;
            }
        })
    }

    /// Returns how the write of `next` ended, `None` when it has to be sent again.
    fn judge(
        &mut self,
        next: &LeaderRecord,
        applied: Applied,
        sent: Duration,
    ) -> Option<CommitEnd> {
        let version = match applied {
            Applied::Done { version } => version,
            Applied::Conflict { found } => {
                let current = found.iter().find(|record| record.key == LeaderRecord::key());
                let Some(current) = current else { return Some(CommitEnd::Deposed) };
                match LeaderRecord::decode(current) {
                    Ok(record) if record == *next => current.version,
                    Ok(record) if record == self.record => {
                        // The version in an answer may be later than that of the write.
                        self.version = current.version;
                        return None;
                    }
                    _ => return Some(CommitEnd::Deposed),
                }
            }
        };
        self.version = version;
        self.record = next.clone();
        self.confirmed = sent;
        Some(CommitEnd::Stored)
    }

    fn write(
        &self,
        next: &LeaderRecord,
        rows: &[RowChange],
    ) -> BoxFuture<'static, (Duration, Result<Applied, TransactError>)> {
        let (store, transaction) = (self.store.clone(), self.transaction(next, rows));
        Box::pin(async move {
            let sent = boot_time();
            (sent, store.apply(&transaction).await)
        })
    }

    /// Confirms the leadership by a read.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer.
    pub async fn confirm(mut self) -> (Self, Result<CommitEnd, TransactError>) {
        let sent = boot_time();
        match LeaderRecord::read_hedged(&self.store).await {
            Ok((record, _)) if record.epoch == self.record.epoch => {
                self.health.succeed(sent);
                self.confirmed = sent;
                (self, Ok(CommitEnd::Stored))
            }
            Ok(_) => (self, Ok(CommitEnd::Deposed)),
            Err(error) => {
                match error {
                    TransactError::Unanswered { .. } => self.health.delay(sent),
                    _ => self.health.fail(sent),
                }
                (self, Err(error))
            }
        }
    }

    fn transaction(&self, next: &LeaderRecord, rows: &[RowChange]) -> Transaction {
        let mut transaction = Transaction {
            expect: vec![(LeaderRecord::key(), self.version)],
            puts: vec![(LeaderRecord::key(), next.encode().into())],
            ..Transaction::default()
        };
        for row in rows {
            let key = RecordKey::new(table(row.kind), &row.key);
            match &row.value {
                Some(value) => transaction.puts.push((key, value.clone().into())),
                None => transaction.deletes.push(key),
            }
        }
        transaction
    }
}

fn table(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Job => "jobs",
        RowKind::Progress => "progress",
    }
}
