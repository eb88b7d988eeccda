use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{Applied, Page, RecordKey, TransactError, Transaction, Transactor};

use tokio::time::Instant;

use crate::boot_time::boot_time;
use crate::leader_record::{LeaderReading, LeaderRecord};
use crate::store_health::StoreHealth;

/// First pause before a write without an outcome is sent again; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two tries. Callers wait for 3 s and come back about every 0.7 s, so that a
/// return of the store that is noticed 400 ms late costs some of them their last try. Only the
/// leader writes, and an outage of 5 s costs 50 calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Time without an answer after which the leader's record is read to learn what became of a write.
/// A usual write takes 15 ms.
const LOOK_AFTER: Duration = Duration::from_millis(150);

/// Pause between two looks while the store does not answer them, and after a write was sent again.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// A read that takes longer comes from a slow store, whose writes are not lost: they queue behind
/// each other, so that each further one delays the first. A usual read takes less than 10 ms; where
/// it takes 100 ms, a write takes at least 300 ms.
const QUICK_READ: Duration = Duration::from_millis(100);

/// A write takes about this many times as long as a read of a slow store.
const WRITE_TO_READ: u32 = 3;

/// A call that fails within this time was turned away, or its connection was reset; one that fails
/// later had no answer.
const PROMPT_FAILURE: Duration = Duration::from_millis(250);

/// Calls for one write that may be open at once; each may be lost or late.
const OPEN_CALLS: usize = 4;

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
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
                health.record_success(confirmed);
                Ok(Some(Self { confirmed, health, record: next, store, version }))
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

    /// Stores `rows`; returns when they are stored or can never be. Where the answer takes long,
    /// the leader's record tells whether the write is stored. Where it is not, the write is sent
    /// again if the store answers quickly, and waited for if the store is slow.
    pub async fn commit(mut self, rows: Vec<RowChange>) -> (Self, CommitOutcome) {
        let next = LeaderRecord { sequence: self.record.sequence + 1, ..self.record.clone() };
        let mut pause = FIRST_PAUSE;
        let begun = boot_time();
        let mut calls = FuturesUnordered::new();
        calls.push(self.write(&next, &rows));
        let mut look = self.look(LOOK_AFTER);
        loop {
            let end = tokio::select! {
                Some(write) = calls.next(), if !calls.is_empty() => match write.outcome {
                    Ok(applied) => {
                        self.health.record_success(write.sent);
                        self.judge(&next, applied, write.sent)
                    }
                    Err(error) => {
                        // Whether the store is silent or only slow is told by the reads.
                        if write.took < PROMPT_FAILURE {
                            self.health.record_failure(write.sent);
                        }
                        if pause == FIRST_PAUSE {
                            tracing::warn!(%error, rows = rows.len(), "write has no outcome yet");
                        }
                        tokio::time::sleep(pause).await;
                        pause = (pause * 2).min(LONGEST_PAUSE);
                        None
                    }
                },
                read = &mut look => {
                    let (end, after) = match &read.outcome {
                        Ok(reading) => {
                            let end = self.judge_reading(&next, reading, read.sent);
                            let quick = reading.took < QUICK_READ;
                            if end.is_none() && quick && calls.len() < OPEN_CALLS {
                                calls.push(self.write(&next, &rows));
                            }
                            (end, if quick { LOOK_PAUSE } else { reading.took * WRITE_TO_READ })
                        }
                        Err(_) => {
                            self.note_failure(&read, begun);
                            (None, LOOK_PAUSE)
                        }
                    };
                    look = self.look(after);
                    end
                }
            };
            if let Some(end) = end {
                return (self, end);
            }
            if calls.is_empty() {
                calls.push(self.write(&next, &rows));
            }
        }
    }

    /// Takes in that the record was not read; `since` is when the store may have fallen silent.
    fn note_failure(&self, read: &Timed<LeaderReading>, since: Duration) {
        if read.took < PROMPT_FAILURE {
            self.health.record_failure(read.sent);
        } else {
            self.health.record_delay(since);
        }
    }

    /// Reads the leader's record after a pause.
    fn look(&self, after: Duration) -> BoxFuture<'static, Timed<LeaderReading>> {
        let store = self.store.clone();
        Box::pin(async move {
            tokio::time::sleep(after).await;
            timed(LeaderRecord::read_hedged(&store)).await
        })
    }

    /// Returns how the write of `next` ended as the record tells it, `None` when it is not stored.
    fn judge_reading(
        &mut self,
        next: &LeaderRecord,
        reading: &LeaderReading,
        sent: Duration,
    ) -> Option<CommitOutcome> {
        self.health.record_success(sent);
        self.judge_record(next, &reading.record, reading.version, sent)
    }

    /// Returns how the write of `next` ended, `None` when it has to be sent again.
    fn judge(
        &mut self,
        next: &LeaderRecord,
        applied: Applied,
        sent: Duration,
    ) -> Option<CommitOutcome> {
        match applied {
            Applied::Done { version } => self.judge_record(next, next, version, sent),
            Applied::Conflict { found } => {
                let current = found.iter().find(|record| record.key == LeaderRecord::key());
                let Some(current) = current else { return Some(CommitOutcome::Deposed) };
                match LeaderRecord::decode(current) {
                    Ok(record) => self.judge_record(next, &record, current.version, sent),
                    Err(error) => {
                        tracing::error!(%error, "leader's record unreadable");
                        Some(CommitOutcome::Deposed)
                    }
                }
            }
        }
    }

    /// Takes in the record that is in force.
    fn judge_record(
        &mut self,
        next: &LeaderRecord,
        current: &LeaderRecord,
        version: u64,
        sent: Duration,
    ) -> Option<CommitOutcome> {
        if *current != *next && *current != self.record {
            return Some(CommitOutcome::Deposed);
        }
        // The version in the answer to a write may be later than that of the write.
        self.version = version;
        self.confirmed = sent;
        if *current != *next {
            return None;
        }
        self.record = next.clone();
        Some(CommitOutcome::Stored)
    }

    fn write(&self, next: &LeaderRecord, rows: &[RowChange]) -> BoxFuture<'static, Timed<Applied>> {
        let (store, transaction) = (self.store.clone(), self.transaction(next, rows));
        Box::pin(async move { timed(store.apply(&transaction)).await })
    }

    /// Confirms the leadership by a read.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer.
    pub async fn confirm(mut self) -> (Self, Result<CommitOutcome, TransactError>) {
        let read = timed(LeaderRecord::read_hedged(&self.store)).await;
        match &read.outcome {
            Ok(reading) if reading.record.epoch == self.record.epoch => {
                self.health.record_success(read.sent);
                self.confirmed = read.sent;
                (self, Ok(CommitOutcome::Stored))
            }
            Ok(_) => (self, Ok(CommitOutcome::Deposed)),
            Err(error) => {
                self.note_failure(&read, read.sent);
                let error = error.clone();
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

/// Outcome of a call to the store.
struct Timed<T> {
    outcome: Result<T, TransactError>,
    /// Boot time at which it was sent.
    sent: Duration,
    /// Time until its outcome.
    took: Duration,
}

async fn timed<T>(call: impl Future<Output = Result<T, TransactError>>) -> Timed<T> {
    let (sent, begun) = (boot_time(), Instant::now());
    let outcome = call.await;
    Timed { outcome, sent, took: begun.elapsed() }
}

fn table(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Job => "jobs",
        RowKind::Progress => "progress",
    }
}
