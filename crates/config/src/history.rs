use std::collections::{BTreeSet, VecDeque};

use crate::{ApplyOutcome, Delta, Document, Replica};

/// The current document and the keys that recent versions changed, from which deltas are made.
#[derive(Clone, Debug)]
pub struct History {
    limit: usize,
    replica: Replica,
    /// Steps between consecutive known versions, oldest first.
    steps: VecDeque<Step>,
}

#[derive(Clone, Debug)]
struct Step {
    from: u64,
    keys: Vec<String>,
}

impl History {
    /// Returns a history without a document that remembers up to `limit` versions.
    pub fn new(limit: usize) -> Self {
        Self { limit, replica: Replica::new(), steps: VecDeque::new() }
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        self.replica.document()
    }

    /// Takes over a whole document unless its version is not higher than the current one.
    pub fn install(&mut self, document: Document) -> ApplyOutcome {
        self.change(|replica| replica.install(document))
    }

    /// Applies a delta from another process.
    pub fn apply(&mut self, delta: &Delta) -> ApplyOutcome {
        self.change(|replica| replica.apply(delta))
    }

    /// Returns the delta from `version` to the current document: the whole document when the
    /// history does not reach back to `version`, `None` when there is nothing newer.
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
        // Many changes may add up to more than the document.
        let smaller = delta.size() < document.size();
        Some(if smaller { delta } else { Delta::full(document) })
    }

    fn change(&mut self, change: impl FnOnce(&mut Replica) -> ApplyOutcome) -> ApplyOutcome {
        let before = self.replica.document().clone();
        let applied = change(&mut self.replica);
        let after = self.replica.document();
        if applied != ApplyOutcome::Applied {
            return applied;
        }
        if before.version() == 0 || after.version() == before.version() {
            self.steps.clear();
            return applied;
        }
        let changed = |key: &&String| before.rows().get(*key) != after.rows().get(*key);
        let keys: BTreeSet<&String> = before.rows().keys().chain(after.rows().keys()).collect();
        let keys = keys.into_iter().filter(changed).cloned().collect();
        self.steps.push_back(Step { from: before.version(), keys });
        while self.steps.len() > self.limit {
            self.steps.pop_front();
        }
        applied
    }
}
