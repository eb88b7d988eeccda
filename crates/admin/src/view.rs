use serde::{Deserialize, Serialize};

/// The tables in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesView {
    /// Version in force; 0 when no tables exist yet.
    pub version: u64,
    /// Text of the routes table.
    pub routes: String,
    /// Text of the pools table.
    pub pools: String,
    /// The latest accepted edits that the entry knows, newest first. Holds at least the edit that
    /// made `version`.
    #[serde(default)]
    pub edits: Vec<EditRecord>,
}

/// An accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EditRecord {
    /// The id that the editor chose.
    pub edit_id: String,
    /// The version that it became.
    pub version: u64,
}
