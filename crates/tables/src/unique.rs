use std::collections::HashMap;

use crate::document::Document;
use crate::section::Section;

/// Finds values that occur twice among the rows of one list.
pub(crate) struct Unique<'a> {
    document: &'a Document,
    key: &'static str,
    first: HashMap<String, u32>,
}

impl<'a> Unique<'a> {
    /// Compares the values of `key`.
    pub(crate) fn new(document: &'a Document, key: &'static str) -> Self {
        Self { document, key, first: HashMap::new() }
    }

    /// Reports `value` of `section` when an earlier section has the same.
    pub(crate) fn check(&mut self, section: &Section<'_>, value: Option<&String>) {
        let Some(value) = value else {
            return;
        };
        let spot = section.spot(self.key);
        if let Some(line) = self.first.get(value) {
            let key = self.key;
            self.document.report(spot, &format!("duplicate {key}, already used on line {line}"));
            return;
        }
        self.first.insert(value.clone(), spot.line);
    }
}
