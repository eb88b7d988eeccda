use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use skylarkpulley_jobs::{RowChange, RowKind};
use skylarkpulley_store::{
    Page, RecordKey, TransactError, Transaction, TransactionOutcome, Transactor,
};

use tokio::time::Instant;

use crate::boot_time::boot_time;
use crate::leader_record::{LeaderReading, LeaderRecord, Predecessor};
use crate::store_health::StoreHealth;

/// First delay before a write without an outcome is sent again. It doubles up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between two attempts to write. Callers wait for 3 s and retry about every 0.7 s,
/// so that noticing 400 ms late that the store answers again costs some of them their last attempt.
/// Only the leader writes, and an outage of 5 s costs 50 calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without an answer to a write after which the leader's record is read to learn whether the
/// write is stored. A usual write takes 15 ms.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(150);

/// Delay before the leader's record is read again after the store did not answer the read, or
/// answered it quickly, so that the write was sent again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A read that takes longer comes from a slow store, whose writes are not lost: they queue behind
/// each other, so that each further one delays the first. A usual read takes less than 10 ms; where
/// it takes 100 ms, a write takes at least 300 ms.
const QUICK_READ_LIMIT: Duration = Duration::from_millis(100);

/// A write to a slow store takes about this many times as long as a read.
const WRITE_READ_RATIO: u32 = 3;

/// A call that fails within this time was refused, or its connection was reset. A call that fails
/// later received no answer.
const PROMPT_FAILURE_LIMIT: Duration = Duration::from_millis(250);

/// Time limit of a takeover. A write to the slowest store observed takes about a second.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of calls for one write that may be open at once. Each of them may be lost or late.
const MAX_OPEN_CALLS: usize = 4;

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The write is stored.
    Stored,
    /// Another entry is the leader; the write will never be applied.
    Deposed,
    /// The store rejected the write for its content; it will never be applied.
    Rejected,
}

/// The rows of the coordinator in the store, written by one leader at a time.
///
/// Each write expects the leader's record at the version that the leader last read or wrote, and
/// replaces it. A write whose answer is lost is sent again. If the first copy was applied, the
/// second one conflicts with a record that has the sequence number of this write. If the first copy
/// arrives after the second one was applied, the first one conflicts.
#[derive(Clone)]
pub struct Journal {
    confirmed_at: Duration,
    health: Arc<StoreHealth>,
    /// Highest sequence number of a write. A rejected write uses up its number, so that no other
    /// write can be taken for it.
    last_sequence: u64,
    /// Earlier leaders that may still extend leases, for the next write.
    predecessors: Vec<Predecessor>,
    record: LeaderRecord,
    store: Arc<dyn Transactor>,
    version: u64,
}

impl Journal {
    /// Takes over the leadership from the entry that `record` names, provided that the record is
    /// still at `version`. Returns `None` when another entry has replaced the record. When the answer
    /// is delayed, the record is read to learn the outcome, as for other writes.
    ///
    /// # Errors
    /// [`TransactError`] when the store rejected the record, or gave no outcome within 2 s.
    pub async fn take_over(
        store: Arc<dyn Transactor>,
        name: &str,
        address: &str,
        record: &LeaderRecord,
        version: u64,
        health: Arc<StoreHealth>,
    ) -> Result<Option<Self>, TransactError> {
        let next = record.succeeded_by(name, address);
        let earlier = Self {
            confirmed_at: Duration::ZERO,
            health,
            last_sequence: 0,
            predecessors: next.predecessors.clone(),
            record: record.clone(),
            store,
            version,
        };
        let takeover = tokio::time::timeout(TAKEOVER_TIMEOUT, earlier.replace_record(next, &[]));
        match takeover.await {
            Ok((journal, CommitOutcome::Stored)) => Ok(Some(journal)),
            Ok((_, CommitOutcome::Deposed)) => Ok(None),
            Ok((_, CommitOutcome::Rejected)) => {
                let detail = "takeover rejected".to_owned();
                Err(TransactError::Rejected { detail })
            }
            Err(_) => {
                let limit = TAKEOVER_TIMEOUT.as_millis();
                let detail = format!("takeover not stored within {limit} ms");
                Err(TransactError::Unanswered { detail })
            }
        }
    }

    /// Returns the epoch of this leadership.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Returns the boot time of the VM at which the call was sent that last confirmed the
    /// leadership.
    pub fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Returns the earlier leaders that may still extend leases.
    pub fn predecessors(&self) -> &[Predecessor] {
        &self.predecessors
    }

    /// Records that no earlier leader extends leases any more. The next write stores it.
    pub fn end_predecessors(&mut self) {
        self.predecessors.clear();
    }

    /// Reads all rows of one kind.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer.
    pub async fn load(&self, kind: RowKind) -> Result<Vec<(String, Vec<u8>)>, TransactError> {
        let mut rows = Vec::new();
        let mut after = String::new();
        loop {
            let Page { has_more, records } = self.store.scan(table(kind), &after).await?;
            if let Some(last) = records.last() {
                after.clone_from(&last.key.key);
            }
            let is_last_page = records.is_empty() || !has_more;
            rows.extend(records.into_iter().map(|row| (row.key.key, row.value.to_vec())));
            if is_last_page {
                return Ok(rows);
            }
        }
    }

    /// Stores `rows`. Returns when they are stored or can never be. When the answer is delayed, the
    /// leader's record is read to learn whether the write is stored. If it is not, the write is
    /// sent again if the store answers reads quickly, and awaited if the store is slow.
    pub async fn commit(mut self, rows: Vec<RowChange>) -> (Self, CommitOutcome) {
        self.last_sequence += 1;
        let next = LeaderRecord {
            predecessors: self.predecessors.clone(),
            sequence: self.last_sequence,
            ..self.record.clone()
        };
        self.replace_record(next, &rows).await
    }

    /// Replaces the leader's record by `next` and stores `rows` in the same transaction. Returns when
    /// it is stored or can never be.
    async fn replace_record(
        mut self,
        next: LeaderRecord,
        rows: &[RowChange],
    ) -> (Self, CommitOutcome) {
        let mut retry_delay = FIRST_RETRY_DELAY;
        let started = boot_time();
        let mut calls = FuturesUnordered::new();
        calls.push(self.write(&next, rows));
        let mut check = self.read_record_after(FIRST_CHECK_DELAY);
        loop {
            let outcome = tokio::select! {
                Some(write) = calls.next(), if !calls.is_empty() => match write.outcome {
                    Ok(applied) => {
                        self.health.record_success(write.sent_at);
                        self.resolve_write(&next, applied, write.sent_at)
                    }
                    Err(error @ TransactError::Rejected { .. }) => {
                        tracing::error!(
                            %error,
                            rows = rows.len(),
                            "store rejected a write; it is not sent again"
                        );
                        Some(CommitOutcome::Rejected)
                    }
                    Err(error) => {
                        // A late failure does not show whether the store is silent or only slow;
                        // the reads do.
                        if write.took < PROMPT_FAILURE_LIMIT {
                            self.health.record_failure(write.sent_at);
                        }
                        if retry_delay == FIRST_RETRY_DELAY {
                            tracing::warn!(
                                %error,
                                rows = rows.len(),
                                "write failed or was not answered; sending it again"
                            );
                        }
                        tokio::time::sleep(retry_delay).await;
                        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                        None
                    }
                },
                read = &mut check => {
                    let (outcome, check_delay) = match &read.outcome {
                        Ok(reading) => {
                            let outcome = self.resolve_read(&next, reading, read.sent_at);
                            let quick = reading.took < QUICK_READ_LIMIT;
                            if outcome.is_none() && quick && calls.len() < MAX_OPEN_CALLS {
                                calls.push(self.write(&next, rows));
                            }
                            (
                                outcome,
                                if quick {
                                    CHECK_INTERVAL
                                } else {
                                    reading.took * WRITE_READ_RATIO
                                },
                            )
                        }
                        Err(_) => {
                            self.record_read_failure(&read, started);
                            (None, CHECK_INTERVAL)
                        }
                    };
                    check = self.read_record_after(check_delay);
                    outcome
                }
            };
            if let Some(outcome) = outcome {
                return (self, outcome);
            }
            if calls.is_empty() {
                calls.push(self.write(&next, rows));
            }
        }
    }

    /// Records a failed read of the leader's record. `unanswered_since` is the time since which the
    /// store may not have answered.
    fn record_read_failure(&self, read: &TimedOutcome<LeaderReading>, unanswered_since: Duration) {
        if read.took < PROMPT_FAILURE_LIMIT {
            self.health.record_failure(read.sent_at);
        } else {
            self.health.record_delay(unanswered_since);
        }
    }

    /// Reads the leader's record after `delay`.
    fn read_record_after(
        &self,
        delay: Duration,
    ) -> BoxFuture<'static, TimedOutcome<LeaderReading>> {
        let store = self.store.clone();
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            timed(LeaderRecord::read_hedged(&store)).await
        })
    }

    /// Returns how the write of `next` ended according to the record that was read; `None` when it
    /// is not stored.
    fn resolve_read(
        &mut self,
        next: &LeaderRecord,
        reading: &LeaderReading,
        sent_at: Duration,
    ) -> Option<CommitOutcome> {
        self.health.record_success(sent_at);
        self.resolve_record(next, &reading.record, reading.version, sent_at)
    }

    /// Returns how the write of `next` ended according to the store's answer; `None` when it has to
    /// be sent again.
    fn resolve_write(
        &mut self,
        next: &LeaderRecord,
        applied: TransactionOutcome,
        sent_at: Duration,
    ) -> Option<CommitOutcome> {
        match applied {
            TransactionOutcome::Committed { version } => {
                self.resolve_record(next, next, version, sent_at)
            }
            TransactionOutcome::Conflict { found } => {
                let current = found.iter().find(|record| record.key == LeaderRecord::key());
                let Some(current) = current else { return Some(CommitOutcome::Deposed) };
                match LeaderRecord::decode(current) {
                    Ok(record) => self.resolve_record(next, &record, current.version, sent_at),
                    Err(error) => {
                        tracing::error!(
                            %error,
                            "leader's record cannot be decoded; giving up the leadership"
                        );
                        Some(CommitOutcome::Deposed)
                    }
                }
            }
        }
    }

    /// Returns how the write of `next` ended according to the record `current` in the store; `None`
    /// when it has to be sent again. Updates the version and the time of the confirmation.
    fn resolve_record(
        &mut self,
        next: &LeaderRecord,
        current: &LeaderRecord,
        version: u64,
        sent_at: Duration,
    ) -> Option<CommitOutcome> {
        if *current != *next && *current != self.record {
            return Some(CommitOutcome::Deposed);
        }
        // The version in the answer to a write may be later than that of the write.
        self.version = version;
        self.confirmed_at = sent_at;
        if *current != *next {
            return None;
        }
        self.record = next.clone();
        Some(CommitOutcome::Stored)
    }

    fn write(
        &self,
        next: &LeaderRecord,
        rows: &[RowChange],
    ) -> BoxFuture<'static, TimedOutcome<TransactionOutcome>> {
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
                self.health.record_success(read.sent_at);
                self.confirmed_at = read.sent_at;
                (self, Ok(CommitOutcome::Stored))
            }
            Ok(_) => (self, Ok(CommitOutcome::Deposed)),
            Err(error) => {
                self.record_read_failure(&read, read.sent_at);
                let error = error.clone();
                (self, Err(error))
            }
        }
    }

    fn transaction(&self, next: &LeaderRecord, rows: &[RowChange]) -> Transaction {
        let mut transaction = Transaction {
            expected_versions: vec![(LeaderRecord::key(), self.version)],
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

/// Outcome and times of a call to the store.
struct TimedOutcome<T> {
    outcome: Result<T, TransactError>,
    /// The [`boot_time`] at which it was sent.
    sent_at: Duration,
    /// Time until its outcome.
    took: Duration,
}

async fn timed<T>(call: impl Future<Output = Result<T, TransactError>>) -> TimedOutcome<T> {
    let (sent_at, started) = (boot_time(), Instant::now());
    let outcome = call.await;
    TimedOutcome { outcome, sent_at, took: started.elapsed() }
}

fn table(kind: RowKind) -> &'static str {
    match kind {
        RowKind::Job => "jobs",
        RowKind::Progress => "progress",
    }
}
