use std::sync::Arc;

use skylarkpulley_types::Digest;

use crate::{Document, Rows};

/// The changes between version `from` of a document and version `to`, or the whole document when
/// `from` is 0.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// Version to which the delta is applied, 0 for the whole document.
    pub from: u64,
    /// Version of the document after the delta is applied.
    pub to: u64,
    /// New and changed rows, sorted by key.
    pub rows: Vec<(String, Arc<str>)>,
    /// Keys of removed rows, sorted.
    pub removed: Vec<String>,
    /// Digest of the document at version `to`.
    pub digest: Digest,
}

impl Delta {
    /// Returns a delta that contains the whole `document`.
    pub fn full(document: &Document) -> Self {
        Self {
            from: 0,
            to: document.version(),
            rows: document.rows().iter().map(|(key, text)| (key.clone(), text.clone())).collect(),
            removed: Vec::new(),
            digest: document.digest(),
        }
    }

    /// Reports whether the delta contains the whole document.
    pub fn is_full(&self) -> bool {
        self.from == 0
    }

    /// Returns the total length of keys and texts in bytes.
    pub fn size(&self) -> usize {
        let rows: usize = self.rows.iter().map(|(key, text)| key.len() + text.len()).sum();
        rows + self.removed.iter().map(String::len).sum::<usize>()
    }

    /// Returns the rows that result from applying the delta to `rows`.
    pub(crate) fn apply(&self, rows: &Rows) -> Rows {
        let mut result = if self.is_full() { Rows::new() } else { rows.clone() };
        for key in &self.removed {
            result.remove(key);
        }
        result.extend(self.rows.iter().cloned());
        result
    }
}
