use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use skylarkpulley_store::{Record, RecordKey, TransactError, Transactor};
use tokio::time::Instant;

/// Time after which a read is joined by a further one, over another connection. A usual read takes
/// less than 10 ms; one that was sent while the store was silent is never answered.
const HEDGE: Duration = Duration::from_millis(150);

/// Time for a read and those that join it; a read from a store that is 80 times slower takes 0.35
/// s.
const READ_LIMIT: Duration = Duration::from_millis(600);

/// What a read of the leader's record found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderReading {
    /// The record.
    pub record: LeaderRecord,
    /// Time that the read took that was answered.
    pub took: Duration,
    /// Version of the record in the store.
    pub version: u64,
}

/// The record that names the leader and fences earlier ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Address of the leader's control listener.
    pub address: String,
    /// Rises with each change of the leader.
    pub epoch: u64,
    /// Name of the leader.
    pub name: String,
    /// Rises with each write of the leader.
    pub sequence: u64,
}

impl LeaderRecord {
    /// Returns the name of the record in the store.
    pub fn key() -> RecordKey {
        RecordKey::new("coordination", "leader")
    }

    /// Decodes the record.
    ///
    /// # Errors
    /// [`TransactError::Malformed`] when it cannot be read.
    pub fn decode(record: &Record) -> Result<Self, TransactError> {
        serde_json::from_slice(&record.value).map_err(|error| TransactError::Malformed {
            detail: format!("record {}: {error}", record.key),
        })
    }

    /// Reads the record and its version; the default and 0 when there is none yet.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer or the record cannot be read.
    pub async fn read(store: &dyn Transactor) -> Result<(Self, u64), TransactError> {
        match store.read(&Self::key()).await? {
            Some(record) => Ok((Self::decode(&record)?, record.version)),
            None => Ok((Self::default(), 0)),
        }
    }

    /// Reads the record within 0.6 s. A read that is slow is joined by further ones, and the first
    /// answer counts, so that the return of a silent store is noticed soon.
    ///
    /// # Errors
    /// The first [`TransactError`], or one that tells that there was no answer in time.
    pub async fn read_hedged(store: &Arc<dyn Transactor>) -> Result<LeaderReading, TransactError> {
        let hedged = async {
            let mut reads = FuturesUnordered::new();
            loop {
                let store = store.clone();
                reads.push(async move {
                    let sent = Instant::now();
                    let (record, version) = Self::read(store.as_ref()).await?;
                    Ok(LeaderReading { record, took: sent.elapsed(), version })
                });
                tokio::select! {
                    Some(answer) = reads.next() => return answer,
                    () = tokio::time::sleep(HEDGE) => {}
                }
            }
        };
        tokio::time::timeout(READ_LIMIT, hedged).await.unwrap_or_else(|_| {
            let detail = format!("in {} ms", READ_LIMIT.as_millis());
            Err(TransactError::Unanswered { detail })
        })
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // The type has plain fields only, so that encoding cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
