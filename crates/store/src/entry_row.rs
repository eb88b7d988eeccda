use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Row, Store, StoreError};

/// Prefix of the keys of all entry rows.
const KEY_PREFIX: &str = "entries/";

/// Row with the address of an entry. Processes read it when none of the entries that they know is
/// reachable, because all of those may have been replaced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Address of the control listener.
    pub control: SocketAddr,
}

/// The row of one entry as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryListing {
    /// Name of the entry.
    pub name: String,
    /// Content of the row, `None` when it cannot be decoded.
    pub row: Option<EntryRow>,
    /// Version of the row.
    pub version: u64,
}

impl EntryRow {
    /// Returns the row of an entry whose control listener has the address `control`.
    pub fn new(control: SocketAddr) -> Self {
        Self { control }
    }

    /// Returns the key of the row of the entry `name`.
    pub fn key(name: &str) -> String {
        format!("{KEY_PREFIX}{name}")
    }

    /// Encodes the row as the JSON that is stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::json!(self).to_string().into_bytes()
    }

    /// Decodes a stored row; `None` when it is not an entry row, such as one that another program
    /// wrote.
    pub fn decode(row: &Row) -> Option<Self> {
        serde_json::from_slice(&row.value).ok()
    }
}

/// Reads the rows of all entries.
///
/// # Errors
/// [`StoreError`] when the store does not answer.
pub async fn list_entries(store: &dyn Store) -> Result<Vec<EntryListing>, StoreError> {
    let rows = store.list(KEY_PREFIX).await?;
    let listing = |(key, row): (String, Row)| EntryListing {
        name: key[KEY_PREFIX.len()..].to_owned(),
        row: EntryRow::decode(&row),
        version: row.version,
    };
    Ok(rows.into_iter().map(listing).collect())
}
