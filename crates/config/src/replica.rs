use crate::{Delta, Document};

/// Outcome of applying a delta or installing a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The document now has the version of the delta.
    Applied,
    /// The document already has this version or a higher one; nothing was changed.
    Stale,
    /// The delta starts after the document's version, or its digest does not match the result;
    /// nothing was changed. The sender detects this in the next report of version and digest.
    FullDocumentRequired,
}

/// The copy of the configuration in one process. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    document: Document,
}

impl Replica {
    /// Returns a replica without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies a received delta. A delta that starts at a lower version than the document's is
    /// applied as well, because it contains every row that differs; the digest verifies this.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        let version = self.document.version();
        // A delta to the current version is accepted only to repair a document whose digest differs.
        let is_repair = delta.is_full()
            && delta.to == version
            && version > 0
            && delta.digest != self.document.digest();
        if delta.to <= version && !is_repair {
            return ApplyOutcome::Stale;
        }
        if delta.from > version {
            return ApplyOutcome::FullDocumentRequired;
        }
        let document = Document::new(delta.to, delta.apply(self.document.rows()));
        if document.digest() != delta.digest {
            return ApplyOutcome::FullDocumentRequired;
        }
        self.document = document;
        ApplyOutcome::Applied
    }

    /// Installs a whole document, as read from the store, unless its version is not higher than the
    /// current one.
    pub fn install(&mut self, document: Document) -> ApplyOutcome {
        if document.version() <= self.document.version() {
            return ApplyOutcome::Stale;
        }
        self.document = document;
        ApplyOutcome::Applied
    }
}
