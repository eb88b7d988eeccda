use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use skylarkpulley_tables::{Fault, Tables};

/// An edit of both tables.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApplyRequest {
    /// The version that was edited; 0 when no tables exist yet.
    pub from_version: u64,
    /// Identifies the edit when its answer is lost. Unique for each edit.
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
    /// The edit is stored and takes effect everywhere (status 200).
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The tables have faults; nothing changed (status 422).
    Rejected {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another edit was accepted first; nothing changed (status 409).
    Conflict {
        /// The version in force.
        version: u64,
        /// Rows of the edit that differ from the version in force.
        rows: Vec<RowDifference>,
    },
}

/// A row that differs between an edit and the version in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowDifference {
    /// Key of the row, such as `route/settle`.
    pub row: String,
    /// The row in the edit; none when the edit lacks it.
    pub edited: Option<String>,
    /// The row in force; none when it is absent.
    pub current: Option<String>,
}

impl RowDifference {
    /// Returns the rows that differ between an edit and the tables in force, in order of key.
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
