use std::collections::BTreeMap;

use bytes::Bytes;

use crate::Row;

/// The rules of the table service without a network: versions, compare-and-set and the previous
/// state of each row, from which stale reads are answered.
#[derive(Clone, Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<String, Row>,
    previous: BTreeMap<String, Option<Row>>,
    highest: u64,
}

impl RowTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads one row; with `stale`, as it was before its last write.
    pub fn get(&self, key: &str, stale: bool) -> Option<Row> {
        if stale && let Some(previous) = self.previous.get(key) {
            return previous.clone();
        }
        self.rows.get(key).cloned()
    }

    /// Reads all rows below `prefix`, sorted by key; with `stale`, as they were before the last
    /// write of each.
    pub fn list(&self, prefix: &str, stale: bool) -> Vec<(String, Row)> {
        let keys = self.rows.keys().chain(self.previous.keys());
        let mut keys: Vec<&String> = keys.filter(|key| key.starts_with(prefix)).collect();
        keys.sort();
        keys.dedup();
        keys.into_iter().filter_map(|key| Some((key.clone(), self.get(key, stale)?))).collect()
    }

    /// Writes a row that has version `expected` (0: absent) and returns the new version, or the
    /// version found.
    pub fn put(&mut self, key: &str, expected: u64, value: Bytes) -> Result<u64, u64> {
        self.compare(key, expected)?;
        let version = if expected == 0 { self.highest + 1 } else { expected + 1 };
        self.highest = self.highest.max(version);
        let previous = self.rows.insert(key.to_owned(), Row::new(version, value));
        self.previous.insert(key.to_owned(), previous);
        Ok(version)
    }

    /// Deletes a row that has version `expected`, or returns the version found.
    pub fn delete(&mut self, key: &str, expected: u64) -> Result<(), u64> {
        self.compare(key, expected)?;
        let previous = self.rows.remove(key);
        self.previous.insert(key.to_owned(), previous);
        Ok(())
    }

    /// Writes a row whatever its version is, as another client would.
    pub fn overwrite(&mut self, key: &str, value: Bytes) {
        let found = self.rows.get(key).map_or(0, |row| row.version);
        self.put(key, found, value).ok();
    }

    fn compare(&self, key: &str, expected: u64) -> Result<(), u64> {
        let found = self.rows.get(key).map_or(0, |row| row.version);
        if found == expected { Ok(()) } else { Err(found) }
    }
}
