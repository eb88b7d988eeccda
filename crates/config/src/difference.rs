use std::collections::BTreeSet;

use derive_more::Display;

use crate::Rows;

/// What an edit did to one row.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Change {
    /// The row is as it was.
    #[display("unchanged")]
    Unchanged,
    /// The row is new.
    #[display("added")]
    Added,
    /// The row has another text.
    #[display("changed")]
    Changed,
    /// The row is gone.
    #[display("removed")]
    Removed,
}

/// One row that at least one of two concurrent edits touched.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{key}: {mine} by this edit, {theirs} by the accepted one{}", self.suffix())]
pub struct RowDifference {
    /// Key of the row.
    pub key: String,
    /// What the refused edit did.
    pub mine: Change,
    /// What the accepted edit did.
    pub theirs: Change,
    /// Both edits touched the row and left it different.
    pub conflict: bool,
}

impl RowDifference {
    fn suffix(&self) -> &'static str {
        if self.conflict { " (conflict)" } else { "" }
    }
}

/// Compares two edits of the version `base`: `mine`, which was refused, and `theirs`, which was
/// accepted. Returns the touched rows, sorted by key.
pub fn compare_edits(base: &Rows, mine: &Rows, theirs: &Rows) -> Vec<RowDifference> {
    let keys: BTreeSet<&String> = base.keys().chain(mine.keys()).chain(theirs.keys()).collect();
    let mut differences = Vec::new();
    for key in keys {
        let (by_me, by_them) = (change(key, base, mine), change(key, base, theirs));
        let touched = |change| change != Change::Unchanged;
        if !touched(by_me) && !touched(by_them) {
            continue;
        }
        differences.push(RowDifference {
            key: key.clone(),
            mine: by_me,
            theirs: by_them,
            conflict: touched(by_me) && touched(by_them) && mine.get(key) != theirs.get(key),
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
