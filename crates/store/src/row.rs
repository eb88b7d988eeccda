use bytes::Bytes;

/// One row as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Version of the row, at least 1.
    pub version: u64,
    /// Content, which the store does not interpret.
    pub value: Bytes,
}

impl Row {
    /// Returns a row with `value` at `version`.
    pub fn new(version: u64, value: Bytes) -> Self {
        Self { version, value }
    }
}
