//! JSON bodies of the table service's protocol.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::Row;

/// One row in the answer to a list call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// Content in base64.
    pub value: String,
}

impl ListedRow {
    /// Encodes `row` at `key`.
    pub fn new(key: &str, row: &Row) -> Self {
        Self { key: key.to_owned(), version: row.version, value: STANDARD.encode(&row.value) }
    }

    /// Decodes the row; `None` when the content is not base64.
    pub fn decode(self) -> Option<(String, Row)> {
        let value = STANDARD.decode(self.value).ok()?;
        Some((self.key, Row::new(self.version, value.into())))
    }
}

/// Body of an answer with status 412 (precondition failed).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mismatch {
    /// Version of the stored row, 0 when it is absent.
    pub found: u64,
}

/// Body of the answer to a successful write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Written {
    /// New version of the row.
    pub version: u64,
}
