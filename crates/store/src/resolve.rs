use std::time::Duration;

use bytes::Bytes;

use crate::{Store, StoreError, WriteClass};

/// Reads after a lost answer. Stale reads make one read inconclusive.
const READS: u32 = 3;

/// Pause before the second read; doubles with each further one.
const PAUSE: Duration = Duration::from_millis(100);

/// What a read says about a write whose answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The row holds the write, at this version.
    Applied(u64),
    /// Another write took the expected version; the write had no effect and never will.
    Refused(u64),
    /// The row has been written at least twice since; the write may have been one of them.
    Indeterminate(u64),
    /// The row still has the expected version, or the read was stale. The write may still arrive.
    Pending,
}

/// Reads `key` once and tells what became of a write of `value` at version `expected`.
///
/// The caller must make `value` unique among all writes to the key, by an id inside it; otherwise
/// an equal value of another writer is taken for the write.
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
    // A created row may start at any version, so that only an update shows who came first.
    if expected > 0 && row.version == expected + 1 {
        return Ok(Resolution::Refused(row.version));
    }
    Ok(Resolution::Indeterminate(row.version))
}

/// Writes a row like [`Store::put`]; when the answer is lost, reads the row back to learn whether
/// the write took effect. It never writes a second time.
///
/// The caller must make `value` unique among all writes to the key, by an id inside it. On
/// [`StoreError::LostAnswer`] the write is still unresolved: it may yet take effect, and the caller
/// asks again with [`resolve_put`] once the store answers.
pub async fn put_resolved(
    store: &dyn Store,
    key: &str,
    expected: u64,
    value: Bytes,
    class: WriteClass,
) -> Result<u64, StoreError> {
    let lost = match store.put(key, expected, value.clone(), class).await {
        Err(lost @ StoreError::LostAnswer { .. }) => lost,
        answer => return answer,
    };
    let key = key.to_owned();
    for read in 0..READS {
        if read > 0 {
            tokio::time::sleep(PAUSE * 2u32.pow(read - 1)).await;
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
    Err(lost)
}
