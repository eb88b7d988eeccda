use std::collections::BTreeSet;

use derive_more::Display;

use crate::Rows;

/// Effect of an edit on one row.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Change {
    /// The edit did not change the row.
    #[display("unchanged")]
    Unchanged,
    /// The edit added the row.
    #[display("added")]
    Added,
    /// The edit changed the text of the row.
    #[display("changed")]
    Changed,
    /// The edit removed the row.
    #[display("removed")]
    Removed,
}

/// A row that at least one of two concurrent edits changed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{key}: {mine} by this edit, {theirs} by the accepted one{}", self.conflict_suffix())]
pub struct RowDifference {
    /// Key of the row.
    pub key: String,
    /// Effect of the refused edit.
    pub mine: Change,
    /// Effect of the accepted edit.
    pub theirs: Change,
    /// Whether both edits changed the row, with different results.
    pub conflict: bool,
}

impl RowDifference {
    fn conflict_suffix(&self) -> &'static str {
        if self.conflict { " (conflict)" } else { "" }
    }
}

/// Compares two edits of the version `base`: `mine`, which was refused, and `theirs`, which was
/// accepted. Returns the rows that at least one of them changed, sorted by key.
pub fn compare_edits(base: &Rows, mine: &Rows, theirs: &Rows) -> Vec<RowDifference> {
    let keys: BTreeSet<&String> = base.keys().chain(mine.keys()).chain(theirs.keys()).collect();
    let mut differences = Vec::new();
    for key in keys {
        let (my_change, their_change) = (change(key, base, mine), change(key, base, theirs));
        let is_change = |change| change != Change::Unchanged;
        if !is_change(my_change) && !is_change(their_change) {
            continue;
        }
        differences.push(RowDifference {
            key: key.clone(),
            mine: my_change,
            theirs: their_change,
            conflict: is_change(my_change)
                && is_change(their_change)
                && mine.get(key) != theirs.get(key),
        });
    }
    differences
}

fn change(key: &str, before: &Rows, after: &Rows) -> Change {
    match (before.get(key), after.get(key)) {
        (before, after) if before == after => Change::Unchanged,
        (None, _) => Change::Added,
        (_, None) => Change::Removed,
        _ => Change::Changed,
    }
}
