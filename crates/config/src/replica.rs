use crate::{Delta, Document};

/// What became of a delta.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The document has the version of the delta now.
    Applied,
    /// The document already has this version or a higher one; nothing was changed.
    Stale,
    /// The delta starts after the document's version, or its digest does not match the result;
    /// nothing was changed. The sender learns of it from the next report of version and digest.
    FullDocumentRequired,
}

/// The copy of the configuration in one process. Its version never falls.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    document: Document,
}

impl Replica {
    /// Returns a replica that holds no configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies a received delta. A delta from a lower version than the document's is applied too:
    /// it contains every row that differs, which the digest confirms.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        let version = self.document.version();
        // The same version is accepted only to repair a document whose digest differs.
        let repairs = delta.is_full()
            && delta.to == version
            && version > 0
            && delta.digest != self.document.digest();
        if delta.to <= version && !repairs {
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

    /// Takes over a whole document, as read from the store, unless its version is not higher.
    pub fn install(&mut self, document: Document) -> ApplyOutcome {
        if document.version() <= self.document.version() {
            return ApplyOutcome::Stale;
        }
        self.document = document;
        ApplyOutcome::Applied
    }
}
