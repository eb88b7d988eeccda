use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use skylarkpulley_store::{Record, RecordKey, TransactError, Transactor};
use tokio::time::Instant;

/// Time without an answer to a read after which a further read is sent over another connection. A
/// usual read takes less than 10 ms. A read that was sent while the store was silent is never
/// answered.
const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Time limit for a read and its further copies. A read from a store that is 80 times slower than
/// usual takes 0.35 s.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Result of a read of the leader's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderReading {
    /// The record.
    pub record: LeaderRecord,
    /// Duration of the read that was answered first.
    pub took: Duration,
    /// Version of the record in the store.
    pub version: u64,
}

/// An earlier leader that may still extend leases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Predecessor {
    /// Address of its control listener.
    pub address: String,
    /// Name of its entry.
    pub name: String,
}

/// The record that names the leader and fences earlier leaders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Address of the leader's control listener.
    pub address: String,
    /// Increases with each change of the leader.
    pub epoch: u64,
    /// Name of the leader.
    pub name: String,
    /// Earlier leaders that may still extend leases: that they do not is known neither to this
    /// leader nor to those between. Absent in the records of earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub predecessors: Vec<Predecessor>,
    /// Increases with each write of the leader.
    pub sequence: u64,
}

impl LeaderRecord {
    /// Returns the key of the record in the store.
    pub fn key() -> RecordKey {
        RecordKey::new("coordination", "leader")
    }

    /// Decodes the record.
    ///
    /// # Errors
    /// [`TransactError::Malformed`] when the record cannot be decoded.
    pub fn decode(record: &Record) -> Result<Self, TransactError> {
        serde_json::from_slice(&record.value).map_err(|error| TransactError::Malformed {
            detail: format!("record {}: {error}", record.key),
        })
    }

    /// Reads the record and its version. Returns the default record and 0 when there is no record
    /// yet.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer or the record cannot be decoded.
    pub async fn read(store: &dyn Transactor) -> Result<(Self, u64), TransactError> {
        match store.read(&Self::key()).await? {
            Some(record) => Ok((Self::decode(&record)?, record.version)),
            None => Ok((Self::default(), 0)),
        }
    }

    /// Reads the record within 0.6 s. While a read is not answered, further ones are sent, and the
    /// first answer counts, so that it is noticed soon when a silent store answers again.
    ///
    /// # Errors
    /// The first [`TransactError`] of a read, or [`TransactError::Unanswered`] after the time
    /// limit.
    pub async fn read_hedged(store: &Arc<dyn Transactor>) -> Result<LeaderReading, TransactError> {
        let hedged = async {
            let mut reads = FuturesUnordered::new();
            loop {
                let store = store.clone();
                reads.push(async move {
                    let started = Instant::now();
                    let (record, version) = Self::read(store.as_ref()).await?;
                    Ok(LeaderReading { record, took: started.elapsed(), version })
                });
                tokio::select! {
                    Some(answer) = reads.next() => return answer,
                    () = tokio::time::sleep(HEDGE_DELAY) => {}
                }
            }
        };
        tokio::time::timeout(READ_TIMEOUT, hedged).await.unwrap_or_else(|_| {
            let detail = format!("leader's record not read within {} ms", READ_TIMEOUT.as_millis());
            Err(TransactError::Unanswered { detail })
        })
    }

    /// Returns the record with which the entry `name` takes over. It keeps the predecessors of this
    /// record, because its leader may not have waited for them: it may have ended before, may have
    /// had no answer to its takeover, or may not have loaded the rows.
    pub fn succeeded_by(&self, name: &str, address: &str) -> Self {
        let mut predecessors = self.predecessors.clone();
        if self.epoch > 0 {
            let (name, address) = (self.name.clone(), self.address.clone());
            predecessors.push(Predecessor { address, name });
        }
        // Whatever an earlier process of this entry has granted, it grants no more, and this one
        // does not lead.
        predecessors.retain(|earlier| earlier.name != name && !earlier.address.is_empty());
        predecessors.sort_unstable_by(|a, b| (&a.address, &a.name).cmp(&(&b.address, &b.name)));
        predecessors.dedup();
        Self {
            address: address.to_owned(),
            epoch: self.epoch + 1,
            name: name.to_owned(),
            predecessors,
            sequence: 0,
        }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail, because all fields are strings and integers.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
