use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use skylarkpulley_tables::{Fault, Tables};

/// An edit of both tables.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyRequest {
    /// Version that the edit is based on; 0 if there are no tables yet.
    pub from_version: u64,
    /// Id by which the edit is found if its answer is lost. Unique for each edit.
    pub edit_id: String,
    /// Text of the routes table.
    pub routes: String,
    /// Text of the pools table.
    pub pools: String,
}

/// The entry's decision about an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ApplyReply {
    /// The edit is stored and takes effect at all processes (status 200).
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The edited tables have faults; nothing changed (status 422).
    Rejected {
        /// All faults of both tables.
        faults: Vec<Fault>,
    },
    /// Another edit was accepted first; nothing changed (status 409).
    Conflict {
        /// The current version.
        version: u64,
        /// Rows of the edit that differ from the current version.
        rows: Vec<RowDifference>,
    },
}

/// A row that differs between an edit and the current version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowDifference {
    /// Key of the row, such as `route/settle`.
    pub row: String,
    /// Text of the row in the edit; `None` if the edit does not contain the row.
    pub edited: Option<String>,
    /// Text of the row in the current version; `None` if that does not contain the row.
    pub current: Option<String>,
}

impl RowDifference {
    /// Returns the rows that differ between an edit and the current tables, sorted by key.
    pub fn between(edited: &Tables, current: &Tables) -> Vec<Self> {
        let (mut edited, mut current) = (edited.rows(), current.rows());
        let keys: BTreeSet<_> = edited.keys().chain(current.keys()).cloned().collect();
        keys.into_iter()
            .map(|row| {
                let (edited, current) = (edited.remove(&row), current.remove(&row));
                Self { row, edited, current }
            })
            .filter(|difference| difference.edited != difference.current)
            .collect()
    }
}
