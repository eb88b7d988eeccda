use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_admin::{EditRecord, TablesView};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::Tables;
use skylarkpulley_types::Digest;

/// Versions from which a delta can still be made.
const HISTORY: usize = 64;

/// Accepted edits that are remembered.
const EDITS: usize = 64;

pub(crate) type Rows = BTreeMap<String, String>;

/// The configuration in force at this entry.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    digest: u64,
    edits: VecDeque<EditRecord>,
    history: VecDeque<(u64, Arc<Rows>)>,
    rows: Arc<Rows>,
    since: Option<Instant>,
    tables: Option<Arc<Tables>>,
    version: u64,
}

impl ConfigState {
    /// Returns the state of an entry that has no configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force, 0 without one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of all rows.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns when the version came into force here.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Returns the tables in force.
    pub fn tables(&self) -> Option<Arc<Tables>> {
        self.tables.clone()
    }

    /// Returns the rows in force.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// Puts a version in force. Returns false when it is not newer.
    pub fn adopt(
        &mut self,
        version: u64,
        edit: &str,
        rows: Rows,
        tables: Tables,
        now: Instant,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        self.history.push_back((self.version, Arc::clone(&self.rows)));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        self.edits.push_front(EditRecord { edit_id: edit.to_owned(), version });
        self.edits.truncate(EDITS);
        self.digest = digest(&rows);
        self.rows = Arc::new(rows);
        self.since = Some(now);
        self.tables = Some(Arc::new(tables));
        self.version = version;
        true
    }

    /// Returns what takes a process from version `from` to the one in force: a delta while `from`
    /// is remembered, otherwise everything. `None` when there is nothing to send.
    pub fn message_from(&self, from: u64) -> Option<v1::Config> {
        if self.version == 0 || from == self.version {
            return None;
        }
        let old = self.history.iter().find(|(version, _)| *version == from && from > 0);
        let unchanged =
            |key: &String, text: &String| old.is_some_and(|(_, rows)| rows.get(key) == Some(text));
        let rows = self.rows.iter().filter(|(key, text)| !unchanged(key, text));
        let removed = old.into_iter().flat_map(|(_, rows)| rows.keys());
        Some(v1::Config {
            from: old.map_or(0, |(version, _)| *version),
            to: self.version,
            rows: rows
                .map(|(key, text)| v1::ConfigRow { key: key.clone(), text: text.clone() })
                .collect(),
            removed: removed.filter(|key| !self.rows.contains_key(*key)).cloned().collect(),
            digest: self.digest,
        })
    }

    /// Returns the tables for the operators' interface.
    pub fn view(&self) -> TablesView {
        let (routes, pools) =
            self.tables.as_ref().map(|tables| tables.to_texts()).unwrap_or_default();
        TablesView {
            version: self.version,
            routes,
            pools,
            edits: self.edits.iter().cloned().collect(),
        }
    }
}

/// Returns the digest of a document.
pub(crate) fn digest(rows: &Rows) -> u64 {
    let parts: Vec<&[u8]> =
        rows.iter().flat_map(|(key, text)| [key.as_bytes(), text.as_bytes()]).collect();
    Digest::of(&parts).0
}
