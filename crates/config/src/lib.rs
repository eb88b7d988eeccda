//! Distribution of the tables as one versioned document, without I/O: splitting into rows, digests,
//! deltas between versions, replicas whose version never decreases, and the decision which process
//! is sent which delta.
//!
//! This crate does not interpret the texts of rows.

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
