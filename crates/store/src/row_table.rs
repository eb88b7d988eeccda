use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Row;

/// The rules of the table service without a network: versions, compare-and-set, and the state of
/// each row before its last write, which stale reads return.
#[derive(Clone, Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<String, Row>,
    previous: BTreeMap<String, Option<Row>>,
    highest_version: u64,
}

impl RowTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns one row; with `stale`, as it was before its last write.
    pub fn get(&self, key: &str, stale: bool) -> Option<Row> {
        if stale && let Some(previous) = self.previous.get(key) {
            return previous.clone();
        }
        self.rows.get(key).cloned()
    }

    /// Returns all rows whose key starts with `prefix`, sorted by key; with `stale`, each as it was
    /// before its last write.
    pub fn list(&self, prefix: &str, stale: bool) -> Vec<(String, Row)> {
        let keys = self.rows.keys().chain(self.previous.keys());
        let mut keys: Vec<&String> = keys.filter(|key| key.starts_with(prefix)).collect();
        keys.sort();
        keys.dedup();
        keys.into_iter().filter_map(|key| Some((key.clone(), self.get(key, stale)?))).collect()
    }

    /// Writes the row when it has version `expected` (0: when it is absent) and returns the new
    /// version.
    ///
    /// # Errors
    /// The version of the row, 0 when it is absent, when it is not `expected`.
    pub fn put(&mut self, key: &str, expected: u64, value: Bytes) -> Result<u64, u64> {
        self.check_version(key, expected)?;
        let version = if expected == 0 { self.highest_version + 1 } else { expected + 1 };
        self.highest_version = self.highest_version.max(version);
        let previous = self.rows.insert(key.to_owned(), Row::new(version, value));
        self.previous.insert(key.to_owned(), previous);
        Ok(version)
    }

    /// Deletes the row when it has version `expected`.
    ///
    /// # Errors
    /// The version of the row, 0 when it is absent, when it is not `expected`.
    pub fn delete(&mut self, key: &str, expected: u64) -> Result<(), u64> {
        self.check_version(key, expected)?;
        let previous = self.rows.remove(key);
        self.previous.insert(key.to_owned(), previous);
        Ok(())
    }

    /// Writes the row regardless of its version, as another client might.
    pub fn overwrite(&mut self, key: &str, value: Bytes) {
        let version = self.rows.get(key).map_or(0, |row| row.version);
        self.put(key, version, value).ok();
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), u64> {
        let version = self.rows.get(key).map_or(0, |row| row.version);
        if version == expected { Ok(()) } else { Err(version) }
    }
}
