use async_trait::async_trait;
use bytes::Bytes;

use crate::{Row, StoreError, WriteClass};

/// The platform's table service: rows with versions and compare-and-set.
///
/// A write adds exactly 1 to the version of an existing row; a row that is created gets a version
/// higher than any row of the table ever had. Reads may be stale; writes compare with the true
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

/// Refuses keys that would need escaping in a URL.
pub(crate) fn check_key(key: &str) -> Result<(), StoreError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._/".contains(&byte);
    let dots = key.split('/').any(|part| part.is_empty() || part == "." || part == "..");
    if dots || !key.bytes().all(plain) {
        return Err(StoreError::InvalidKey { key: key.to_owned() });
    }
    Ok(())
}
