use std::ops::Range;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::Fault;
use crate::document::Document;
use crate::rule::{self, Rule};

/// One TOML table of a document: the whole document, a row, or a part of a row.
pub(crate) struct Section<'a> {
    document: &'a Document,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    /// Path of the table in faults, such as `route.settle`.
    pub(crate) path: String,
}

impl<'a> Section<'a> {
    /// Returns the section of the whole document, which was parsed as `table`.
    pub(crate) fn root(document: &'a Document, table: &'a Spanned<DeTable<'a>>) -> Self {
        Self { document, table: table.get_ref(), span: 0..0, path: String::new() }
    }

    /// Returns a section for each table of the array `key`. Its path ends in the name of the table,
    /// or in `#` and its number when the table has no valid name.
    pub(crate) fn sections(&self, key: &str) -> Vec<Self> {
        let Some((_, value)) = self.entry(key) else {
            return Vec::new();
        };
        let allowed = format!("must be an array of tables, written [[{}]]", self.array_header(key));
        let DeValue::Array(array) = value.get_ref() else {
            self.document.report(self.location(key), &allowed);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, element) in array.iter().enumerate() {
            let DeValue::Table(table) = element.get_ref() else {
                self.document.report(self.document.location(element.span(), key), &allowed);
                continue;
            };
            let valid_name =
                table.get("name").and_then(|value| rule::name().parse(value.get_ref()));
            let name = valid_name.unwrap_or_else(|| format!("#{}", index + 1));
            let path = self.field_path(&format!("{key}.{name}"));
            sections.push(Self { document: self.document, table, span: element.span(), path });
        }
        sections
    }

    /// Returns the value of `key`. Reports a fault when the key is absent or its value is not
    /// allowed.
    pub(crate) fn required<T>(&self, key: &str, rule: &Rule<T>) -> Option<T> {
        if self.entry(key).is_none() {
            self.document.report_missing(self.span.clone(), &self.field_path(key), &rule.allowed);
        }
        self.optional(key, rule)
    }

    /// Returns the value of `key` when it is present and allowed. Reports a fault when it is not
    /// allowed.
    pub(crate) fn optional<T>(&self, key: &str, rule: &Rule<T>) -> Option<T> {
        let (_, value) = self.entry(key)?;
        let parsed = rule.parse(value.get_ref());
        if parsed.is_none() {
            self.document.report(self.location(key), &rule.allowed);
        }
        parsed
    }

    /// Returns the allowed values of the array `key`. Reports a fault when the key is absent, when
    /// the array is empty, and for each value that is not allowed.
    pub(crate) fn required_array<T>(&self, key: &str, rule: &Rule<T>) -> Vec<T> {
        let allowed = format!("must be a non-empty array; each value {}", rule.allowed);
        let Some((_, value)) = self.entry(key) else {
            self.document.report_missing(self.span.clone(), &self.field_path(key), &allowed);
            return Vec::new();
        };
        let array = match value.get_ref() {
            DeValue::Array(array) if !array.is_empty() => array,
            _ => {
                self.document.report(self.location(key), &allowed);
                return Vec::new();
            }
        };
        let mut values = Vec::new();
        for element in array.iter() {
            match rule.parse(element.get_ref()) {
                Some(value) => values.push(value),
                None => {
                    let location = self.document.location(element.span(), &self.field_path(key));
                    self.document.report(location, &rule.allowed);
                }
            }
        }
        values
    }

    /// Reports a fault for each key that is not in `allowed_keys`, which must be sorted because the
    /// fault lists them in this order.
    pub(crate) fn reject_unknown(&self, allowed_keys: &[&str]) {
        for (key, value) in self.table.iter() {
            if allowed_keys.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let mut location =
                self.document.location(value.span(), &self.field_path(key.get_ref()));
            let key_location = self.document.location(key.span(), "");
            (location.line, location.column) = (key_location.line, key_location.column);
            self.document.report(
                location,
                &format!("unknown key; allowed keys: {}", allowed_keys.join(", ")),
            );
        }
    }

    /// Reports whether `key` is present.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Returns the location of the value of `key`, or of the table when the key is absent.
    pub(crate) fn location(&self, key: &str) -> Fault {
        let span = self.entry(key).map_or(self.span.clone(), |(_, value)| value.span());
        self.document.location(span, &self.field_path(key))
    }

    /// Returns the location of the header of the table.
    pub(crate) fn header_location(&self) -> Fault {
        self.document.location(self.span.clone(), &self.path)
    }

    /// Reports that `key` is absent; `allowed` says what must be present.
    pub(crate) fn report_missing(&self, key: &str, allowed: &str) {
        self.document.report_missing(self.span.clone(), &self.field_path(key), allowed);
    }

    fn entry(&self, key: &str) -> Option<(&'a Spanned<DeString<'a>>, &'a Spanned<DeValue<'a>>)> {
        self.table.iter().find(|(candidate, _)| candidate.get_ref() == key)
    }

    fn field_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Returns the header of the array `key`, such as `pool.team`: the path without the names of
    /// the tables.
    fn array_header(&self, key: &str) -> String {
        let array_keys = self.path.split('.').step_by(2).filter(|part| !part.is_empty());
        array_keys.chain([key]).collect::<Vec<_>>().join(".")
    }
}
