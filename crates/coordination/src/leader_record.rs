use serde::{Deserialize, Serialize};
use skylarkpulley_store::{Record, RecordKey, TransactError, Transactor};

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

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // The type has plain fields only, so that encoding cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}
