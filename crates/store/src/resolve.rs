use std::time::Duration;

use bytes::Bytes;

use crate::{Store, StoreError, WriteClass};

/// Maximum number of reads after a lost answer. One read is not conclusive, because reads may be
/// stale.
const MAX_READS: u32 = 3;

/// Delay before the second read. The delay doubles with each further read.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(100);

/// What a read shows about a write whose answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The write took effect; the row has its value at this version.
    Applied(u64),
    /// Another write replaced the expected version and produced this version. The write had no
    /// effect and cannot take effect later.
    Refused(u64),
    /// The row has this version and may have been written more than once since the expected version;
    /// the write may be one of those writes.
    Indeterminate(u64),
    /// The row still has the expected version, or the read was stale. The write may still take
    /// effect.
    Pending,
}

/// Reads `key` once and returns what the row shows about a write of `value` at version `expected`.
///
/// The caller must make `value` unique among all writes to the key by including an id; otherwise an
/// equal value of another writer is mistaken for the write.
pub async fn resolve_put(
    store: &dyn Store,
    key: &str,
    expected: u64,
    value: &Bytes,
) -> Result<Resolution, StoreError> {
    let Some(row) = store.get(key).await? else { return Ok(Resolution::Pending) };
    if row.value == value {
        return Ok(Resolution::Applied(row.version));
    }
    if row.version <= expected {
        return Ok(Resolution::Pending);
    }
    // A created row may start at any version. Only the version after an update shows that exactly
    // one other write took place.
    if expected > 0 && row.version == expected + 1 {
        return Ok(Resolution::Refused(row.version));
    }
    Ok(Resolution::Indeterminate(row.version))
}

/// Writes a row like [`Store::put`]. When the answer is lost, reads the row back to determine
/// whether the write took effect. Never sends the write a second time.
///
/// The caller must make `value` unique among all writes to the key by including an id. On
/// [`StoreError::LostAnswer`] the write is still unresolved: it may take effect later, and the
/// caller must call [`resolve_put`] once the store answers.
pub async fn put_resolved(
    store: &dyn Store,
    key: &str,
    expected: u64,
    value: Bytes,
    class: WriteClass,
) -> Result<u64, StoreError> {
    let lost_answer = match store.put(key, expected, value.clone(), class).await {
        Err(error @ StoreError::LostAnswer { .. }) => error,
        answer => return answer,
    };
    let key = key.to_owned();
    for read in 0..MAX_READS {
        if read > 0 {
            tokio::time::sleep(INITIAL_READ_DELAY * 2u32.pow(read - 1)).await;
        }
        match resolve_put(store, &key, expected, &value).await {
            Ok(Resolution::Applied(version)) => return Ok(version),
            Ok(Resolution::Refused(found)) => {
                return Err(StoreError::Conflict { key, expected, found });
            }
            Ok(Resolution::Indeterminate(found)) => {
                return Err(StoreError::Indeterminate { key, expected, found });
            }
            Ok(Resolution::Pending) | Err(_) => {}
        }
    }
    Err(lost_answer)
}
