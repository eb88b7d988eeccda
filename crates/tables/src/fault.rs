use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// One fault in a table: its location, the value in the file and what is allowed.
#[derive(
    Clone, Debug, Deserialize, Display, Eq, Error, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{file}:{line}:{column}: {field} = {value}: {allowed}")]
pub struct Fault {
    /// Name of the table's file, or the key of the row.
    pub file: String,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, such as `route.settle.priority`.
    pub field: String,
    /// The offending value as it is written in the file.
    pub value: String,
    /// What is wrong and what is allowed.
    pub allowed: String,
}
