//! Builders of small documents.

use skylarkpulley_config::{Document, Rows};

/// Returns rows from pairs of key and text.
pub fn rows(pairs: &[(&str, &str)]) -> Rows {
    pairs.iter().map(|(key, text)| ((*key).to_owned(), (*text).into())).collect()
}

/// Returns a document from pairs of key and text.
pub fn document(version: u64, pairs: &[(&str, &str)]) -> Document {
    Document::new(version, rows(pairs))
}
