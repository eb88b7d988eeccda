use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_admin::{EditRecord, TablesView};
use skylarkpulley_config::Document;
use skylarkpulley_tables::Tables;

/// Accepted edits that are remembered.
const EDITS: usize = 64;

/// The configuration in force at this entry.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    document: Arc<Document>,
    edits: VecDeque<EditRecord>,
    pools: String,
    routes: String,
    since: Option<Instant>,
    tables: Option<Arc<Tables>>,
}

impl ConfigState {
    /// Returns the state of an entry that has no configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force, 0 without one.
    pub fn version(&self) -> u64 {
        self.document.version()
    }

    /// Returns the digest of all rows.
    pub fn digest(&self) -> u64 {
        self.document.digest().0
    }

    /// Returns when the version came into force here.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Returns the tables in force.
    pub fn tables(&self) -> Option<Arc<Tables>> {
        self.tables.clone()
    }

    /// Puts a document in force whose texts were checked as `tables`. `edit` names the edit that
    /// made it, if that is known.
    pub fn adopt(
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
            self.edits.truncate(EDITS);
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
