use skylarkpulley_types::Digest;

use crate::Rows;

/// The whole configuration at one version. Version 0 is the empty document of a process that has
/// not received a configuration yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    digest: Digest,
    rows: Rows,
    version: u64,
}

impl Document {
    /// Returns the document that has `rows` at `version`.
    pub fn new(version: u64, rows: Rows) -> Self {
        Self { digest: digest_of(&rows), rows, version }
    }

    /// Returns the digest of all rows. It does not cover the version.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the rows, sorted by key.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// Returns the total length of keys and texts in bytes.
    pub fn size(&self) -> usize {
        self.rows.iter().map(|(key, text)| key.len() + text.len()).sum()
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl Default for Document {
    fn default() -> Self {
        Self::new(0, Rows::new())
    }
}

fn digest_of(rows: &Rows) -> Digest {
    let parts = rows.iter().flat_map(|(key, text)| [key.as_bytes(), text.as_bytes()]);
    Digest::of(&parts.collect::<Vec<_>>())
}
