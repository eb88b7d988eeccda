use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Row, Store, StoreError};

/// Start of the keys of all entries' rows.
const PREFIX: &str = "entries/";

/// Address row of an entry, for processes that know no live entry: those that they knew may all have
/// been replaced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// Address of the control listener.
    pub control: SocketAddr,
}

/// The row of one entry as the store has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryListing {
    /// Name of the entry.
    pub name: String,
    /// Its row, `None` when it cannot be read.
    pub row: Option<EntryRow>,
    /// Version of the row.
    pub version: u64,
}

impl EntryRow {
    /// Returns the row of an entry that answers at `control`.
    pub fn new(control: SocketAddr) -> Self {
        Self { control }
    }

    /// Returns the key of the row of the entry `name`.
    pub fn key(name: &str) -> String {
        format!("{PREFIX}{name}")
    }

    /// Returns the content of the row.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::json!(self).to_string().into_bytes()
    }

    /// Reads a row, `None` when another program wrote it.
    pub fn decode(row: &Row) -> Option<Self> {
        serde_json::from_slice(&row.value).ok()
    }
}

/// Reads the rows of all entries.
///
/// # Errors
/// [`StoreError`] when the store does not answer.
pub async fn list_entries(store: &dyn Store) -> Result<Vec<EntryListing>, StoreError> {
    let rows = store.list(PREFIX).await?;
    let found = |(key, row): (String, Row)| EntryListing {
        name: key[PREFIX.len()..].to_owned(),
        row: EntryRow::decode(&row),
        version: row.version,
    };
    Ok(rows.into_iter().map(found).collect())
}
