use std::ops::Range;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::Fault;
use crate::document::Document;
use crate::rule::{self, Rule};

/// One TOML table of a document: a row, or a part of a row.
pub(crate) struct Section<'a> {
    document: &'a Document,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    /// Path of the table in faults, such as `route.settle`.
    pub(crate) path: String,
}

impl<'a> Section<'a> {
    /// Returns the whole document, parsed as `table`.
    pub(crate) fn root(document: &'a Document, table: &'a Spanned<DeTable<'a>>) -> Self {
        Self { document, table: table.get_ref(), span: 0..0, path: String::new() }
    }

    /// Returns the tables of the array `key`. Each one's path ends in its name, or in its number
    /// when it has no valid name.
    pub(crate) fn sections(&self, key: &str) -> Vec<Self> {
        let Some((_, value)) = self.entry(key) else {
            return Vec::new();
        };
        let allowed = format!("must be an array of tables, written [[{}]]", self.header(key));
        let DeValue::Array(array) = value.get_ref() else {
            self.document.report(self.spot(key), &allowed);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, element) in array.iter().enumerate() {
            let DeValue::Table(table) = element.get_ref() else {
                self.document.report(self.document.spot(element.span(), key), &allowed);
                continue;
            };
            let named = table.get("name").and_then(|value| rule::name().read(value.get_ref()));
            let name = named.unwrap_or_else(|| format!("#{}", index + 1));
            let path = self.join(&format!("{key}.{name}"));
            sections.push(Self { document: self.document, table, span: element.span(), path });
        }
        sections
    }

    /// Returns the value of `key`, which must be present.
    pub(crate) fn required<T>(&self, key: &str, rule: &Rule<T>) -> Option<T> {
        if self.entry(key).is_none() {
            self.document.report_missing(self.span.clone(), &self.join(key), &rule.allowed);
        }
        self.optional(key, rule)
    }

    /// Returns the value of `key` when it is present and allowed.
    pub(crate) fn optional<T>(&self, key: &str, rule: &Rule<T>) -> Option<T> {
        let (_, value) = self.entry(key)?;
        let read = rule.read(value.get_ref());
        if read.is_none() {
            self.document.report(self.spot(key), &rule.allowed);
        }
        read
    }

    /// Returns the values of the array `key`, which must hold at least one.
    pub(crate) fn list<T>(&self, key: &str, rule: &Rule<T>) -> Vec<T> {
        let allowed = format!("must be an array of at least one value; each {}", rule.allowed);
        let Some((_, value)) = self.entry(key) else {
            self.document.report_missing(self.span.clone(), &self.join(key), &allowed);
            return Vec::new();
        };
        let array = match value.get_ref() {
            DeValue::Array(array) if !array.is_empty() => array,
            _ => {
                self.document.report(self.spot(key), &allowed);
                return Vec::new();
            }
        };
        let mut values = Vec::new();
        for element in array.iter() {
            match rule.read(element.get_ref()) {
                Some(value) => values.push(value),
                None => {
                    let spot = self.document.spot(element.span(), &self.join(key));
                    self.document.report(spot, &rule.allowed);
                }
            }
        }
        values
    }

    /// Reports the keys that are not among `known`, which is sorted.
    pub(crate) fn reject_unknown(&self, known: &[&str]) {
        for (key, value) in self.table.iter() {
            if known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let mut spot = self.document.spot(value.span(), &self.join(key.get_ref()));
            let at = self.document.spot(key.span(), "");
            (spot.line, spot.column) = (at.line, at.column);
            self.document.report(spot, &format!("unknown key; allowed are {}", known.join(", ")));
        }
    }

    /// Reports whether `key` is present.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    /// Returns the place of the value of `key`, or of the table when the key is absent.
    pub(crate) fn spot(&self, key: &str) -> Fault {
        let span = self.entry(key).map_or(self.span.clone(), |(_, value)| value.span());
        self.document.spot(span, &self.join(key))
    }

    /// Returns the place of the table's header.
    pub(crate) fn header_spot(&self) -> Fault {
        self.document.spot(self.span.clone(), &self.path)
    }

    /// Reports that the table lacks `key`, of which `allowed` says what it must be.
    pub(crate) fn report_missing(&self, key: &str, allowed: &str) {
        self.document.report_missing(self.span.clone(), &self.join(key), allowed);
    }

    fn entry(&self, key: &str) -> Option<(&'a Spanned<DeString<'a>>, &'a Spanned<DeValue<'a>>)> {
        self.table.iter().find(|(candidate, _)| candidate.get_ref() == key)
    }

    fn join(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Returns the header of the array `key`: the path without names.
    fn header(&self, key: &str) -> String {
        let kinds = self.path.split('.').step_by(2).filter(|part| !part.is_empty());
        kinds.chain([key]).collect::<Vec<_>>().join(".")
    }
}
