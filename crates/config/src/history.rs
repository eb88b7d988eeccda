use std::collections::{BTreeSet, VecDeque};

use crate::{ApplyOutcome, Delta, Document, Replica};

/// The current document and the keys that recent versions changed. Deltas are made from both.
#[derive(Clone, Debug)]
pub struct History {
    max_steps: usize,
    replica: Replica,
    /// Changes between consecutive installed versions, oldest first.
    steps: VecDeque<VersionStep>,
}

#[derive(Clone, Debug)]
struct VersionStep {
    from: u64,
    /// Keys of the rows that differ between the two versions.
    keys: Vec<String>,
}

impl History {
    /// Returns a history without a document that keeps the changes of up to `max_steps` versions.
    pub fn new(max_steps: usize) -> Self {
        Self { max_steps, replica: Replica::new(), steps: VecDeque::new() }
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        self.replica.document()
    }

    /// Installs a whole document unless its version is not higher than the current one.
    pub fn install(&mut self, document: Document) -> ApplyOutcome {
        self.update(|replica| replica.install(document))
    }

    /// Applies a delta from another process.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        self.update(|replica| replica.apply(delta))
    }

    /// Returns the delta from `version` to the current document. It contains the whole document when
    /// the history does not contain `version`. Returns `None` when the current version is not
    /// higher.
    pub fn delta_from(&self, version: u64) -> Option<Delta> {
        let document = self.document();
        if version >= document.version() {
            return None;
        }
        let Some(start) = self.steps.iter().position(|step| step.from == version) else {
            return Some(Delta::full(document));
        };
        let steps = self.steps.range(start..);
        let keys: BTreeSet<&String> = steps.flat_map(|step| &step.keys).collect();
        let mut delta = Delta {
            from: version,
            to: document.version(),
            rows: Vec::new(),
            removed: Vec::new(),
            digest: document.digest(),
        };
        for key in keys {
            match document.rows().get(key) {
                Some(text) => delta.rows.push((key.clone(), text.clone())),
                None => delta.removed.push(key.clone()),
            }
        }
        // A delta over many changes may be larger than the document.
        let delta_is_smaller = delta.size() < document.size();
        Some(if delta_is_smaller { delta } else { Delta::full(document) })
    }

    fn update(&mut self, update: impl FnOnce(&mut Replica) -> ApplyOutcome) -> ApplyOutcome {
        let before = self.replica.document().clone();
        let outcome = update(&mut self.replica);
        let after = self.replica.document();
        if outcome != ApplyOutcome::Applied {
            return outcome;
        }
        if before.version() == 0 || after.version() == before.version() {
            self.steps.clear();
            return outcome;
        }
        let is_changed = |key: &&String| before.rows().get(*key) != after.rows().get(*key);
        let keys: BTreeSet<&String> = before.rows().keys().chain(after.rows().keys()).collect();
        let keys = keys.into_iter().filter(is_changed).cloned().collect();
        self.steps.push_back(VersionStep { from: before.version(), keys });
        while self.steps.len() > self.max_steps {
            self.steps.pop_front();
        }
        outcome
    }
}
