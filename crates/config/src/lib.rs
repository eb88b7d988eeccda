//! Distribution of the tables as one versioned document, without I/O: rows, digest, deltas between
//! versions, application that never reverts, and the choice of what to send to which process.
//!
//! The texts of rows are opaque here.

mod delta;
mod difference;
mod distributor;
mod document;
mod error;
mod history;
mod replica;
mod rows;
mod tables_row;

pub use delta::Delta;
pub use difference::{Change, RowDifference, compare_edits};
pub use distributor::Distributor;
pub use document::Document;
pub use error::ConfigError;
pub use history::History;
pub use replica::{ApplyOutcome, Replica};
pub use rows::{Rows, join_rows, split_rows};
pub use tables_row::TablesRow;
