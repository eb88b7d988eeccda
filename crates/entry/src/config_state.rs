use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_admin::{EditRecord, TablesView};
use skylarkpulley_config::Document;
use skylarkpulley_tables::Tables;

/// Number of accepted edits that are listed for operators.
const EDIT_HISTORY_LIMIT: usize = 64;

/// Current configuration of this entry.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    document: Arc<Document>,
    edits: VecDeque<EditRecord>,
    pools: String,
    routes: String,
    /// Time at which the current version was applied.
    since: Option<Instant>,
    tables: Option<Arc<Tables>>,
}

impl ConfigState {
    /// Returns the state of an entry that has no configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current version, or 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.document.version()
    }

    /// Returns the digest of all rows.
    pub fn digest(&self) -> u64 {
        self.document.digest().0
    }

    /// Returns the time at which this entry applied the current version.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Returns the current tables.
    pub fn tables(&self) -> Option<Arc<Tables>> {
        self.tables.clone()
    }

    /// Replaces the configuration by `document`. `texts` are its routes and pools, and `tables` is
    /// the result of parsing them. `edit` is the id of the edit that produced the document, if
    /// known.
    pub fn replace(
        &mut self,
        document: &Document,
        edit: Option<&str>,
        texts: (String, String),
        tables: Tables,
        now: Instant,
    ) {
        if let Some(edit) = edit {
            let version = document.version();
            self.edits.push_front(EditRecord { edit_id: edit.to_owned(), version });
            self.edits.truncate(EDIT_HISTORY_LIMIT);
        }
        self.document = Arc::new(document.clone());
        (self.routes, self.pools) = texts;
        self.since = Some(now);
        self.tables = Some(Arc::new(tables));
    }

    /// Returns the tables for the operators' interface.
    pub fn view(&self) -> TablesView {
        TablesView {
            version: self.version(),
            routes: self.routes.clone(),
            pools: self.pools.clone(),
            edits: self.edits.iter().cloned().collect(),
        }
    }
}
