use std::collections::HashMap;

use crate::document::Document;
use crate::section::Section;

/// Reports values of one key that occur more than once in an array of tables.
pub(crate) struct UniqueKey<'a> {
    document: &'a Document,
    key: &'static str,
    /// The line on which each value occurs first.
    first_lines: HashMap<String, u32>,
}

impl<'a> UniqueKey<'a> {
    /// Returns a check of the values of `key`.
    pub(crate) fn new(document: &'a Document, key: &'static str) -> Self {
        Self { document, key, first_lines: HashMap::new() }
    }

    /// Reports `value` of `section` when an earlier section has the same value.
    pub(crate) fn check(&mut self, section: &Section<'_>, value: Option<&String>) {
        let Some(value) = value else {
            return;
        };
        let location = section.location(self.key);
        if let Some(line) = self.first_lines.get(value) {
            let key = self.key;
            self.document
                .report(location, &format!("duplicate {key}, already used on line {line}"));
            return;
        }
        self.first_lines.insert(value.clone(), location.line);
    }
}
