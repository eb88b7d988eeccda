use async_trait::async_trait;
use bytes::Bytes;

use crate::{Row, StoreError, WriteClass};

/// The platform's table service: versioned rows with compare-and-set.
///
/// A write adds exactly 1 to the version of an existing row. A created row gets a version higher
/// than any row of the table ever had. Reads may be stale, but writes compare with the current
/// version. Implementations never send a call twice.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one row, `None` when it is absent.
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Writes `value` when the row has version `expected` (0: when it is absent) and returns the
    /// new version.
    async fn put(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        class: WriteClass,
    ) -> Result<u64, StoreError>;

    /// Reads all rows whose key starts with `prefix`, sorted by key.
    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError>;

    /// Deletes the row when it has version `expected`.
    async fn delete(&self, key: &str, expected: u64, class: WriteClass) -> Result<(), StoreError>;
}

/// Returns an error for keys that are empty or would be changed or escaped in a URL.
pub(crate) fn check_key(key: &str) -> Result<(), StoreError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._/".contains(&byte);
    let bad_part = key.split('/').any(|part| part.is_empty() || part == "." || part == "..");
    if bad_part || !key.bytes().all(is_allowed) {
        return Err(StoreError::InvalidKey { key: key.to_owned() });
    }
    Ok(())
}
