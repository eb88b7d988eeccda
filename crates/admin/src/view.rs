use serde::{Deserialize, Serialize};

/// The current tables of an entry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesView {
    /// Version of the tables; 0 if there are no tables yet.
    pub version: u64,
    /// Text of the routes table.
    pub routes: String,
    /// Text of the pools table.
    pub pools: String,
    /// The most recent accepted edits that the entry has received, newest first. Contains at least
    /// the edit that created `version`.
    #[serde(default)]
    pub edits: Vec<EditRecord>,
}

/// An accepted edit of the tables.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EditRecord {
    /// Id of the edit, chosen by the client that sent it.
    pub edit_id: String,
    /// Version that the edit created.
    pub version: u64,
}
