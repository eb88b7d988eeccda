use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Range;

use toml::de::DeTable;

use crate::Fault;

/// Longest part of a value that a fault quotes, in characters.
const QUOTE: usize = 60;
/// Written at the start of a file by some editors; not a part of the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Stands for the value of a field that must be present.
const MISSING: &str = "(missing)";

/// The text of one table and the faults found in it.
pub(crate) struct Document {
    file: String,
    text: String,
    line_starts: Vec<usize>,
    /// Lines that are not valid UTF-8 or TOML; other faults there are only consequences.
    broken: HashSet<u32>,
    /// Whether the TOML syntax has faults, so that fields may seem to be missing.
    syntax: bool,
    faults: RefCell<Vec<Fault>>,
}

impl Document {
    /// Reads `bytes`; `file` names them in faults.
    pub(crate) fn new(file: &str, bytes: &[u8]) -> Self {
        let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
        let text = String::from_utf8_lossy(bytes).into_owned();
        let starts = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(starts.map(|(at, _)| at + 1)).collect();
        let mut document = Self {
            file: file.to_owned(),
            text,
            line_starts,
            broken: HashSet::new(),
            syntax: false,
            faults: RefCell::default(),
        };
        document.check_utf8(bytes);
        document.check_syntax();
        document
    }

    /// Returns the text; invalid bytes are replaced.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Reports whether the text is not valid TOML, so that rows may be absent from it.
    pub(crate) fn is_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Returns the place of a value, for faults that are found later.
    pub(crate) fn spot(&self, span: Range<usize>, field: &str) -> Fault {
        let (line, column) = self.position(span.start);
        let quoted = self.text.get(span).unwrap_or_default();
        let first = quoted.lines().next().unwrap_or_default();
        let mut value: String = first.chars().take(QUOTE).collect();
        if value.len() < quoted.len() {
            value.push_str("...");
        }
        Fault {
            file: self.file.clone(),
            line,
            column,
            field: field.to_owned(),
            value,
            allowed: String::new(),
        }
    }

    /// Records a fault at `spot`.
    pub(crate) fn report(&self, mut spot: Fault, allowed: &str) {
        if self.broken.contains(&spot.line) {
            return;
        }
        spot.allowed = allowed.to_owned();
        self.faults.borrow_mut().push(spot);
    }

    /// Records that `field` of the table at `span` is absent.
    pub(crate) fn report_missing(&self, span: Range<usize>, field: &str, allowed: &str) {
        if !self.syntax {
            let spot = Fault { value: MISSING.to_owned(), ..self.spot(span, field) };
            self.report(spot, allowed);
        }
    }

    /// Returns the number of faults so far.
    pub(crate) fn fault_count(&self) -> usize {
        self.faults.borrow().len()
    }

    /// Returns the faults in order of their places.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by(|a, b| (a.line, a.column, &a.field).cmp(&(b.line, b.column, &b.field)));
        faults
    }

    fn position(&self, offset: usize) -> (u32, u32) {
        let line = self.line_starts.partition_point(|start| *start <= offset) - 1;
        let before = self.text.get(self.line_starts[line]..offset).unwrap_or_default();
        (line as u32 + 1, before.chars().count() as u32 + 1)
    }

    fn check_utf8(&mut self, bytes: &[u8]) {
        let mut offset = 0;
        for chunk in bytes.utf8_chunks() {
            offset += chunk.valid().len();
            let Some(first) = chunk.invalid().first() else {
                continue;
            };
            let mut spot = self.spot(offset..offset, "encoding");
            spot.value = format!("byte 0x{first:02x}");
            // The replacement character takes the place of the invalid bytes in `text`.
            offset += char::REPLACEMENT_CHARACTER.len_utf8();
            let line = spot.line;
            self.report(spot, "must be UTF-8");
            self.broken.insert(line);
        }
    }

    fn check_syntax(&mut self) {
        let (_, errors) = DeTable::parse_recoverable(&self.text);
        let mut lines = HashSet::new();
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            let mut spot = self.spot(span, "syntax");
            let line = spot.line;
            // The span of a syntax fault is often empty; the line shows what was read.
            let text = self.text.lines().nth(line as usize - 1).unwrap_or_default();
            spot.value = text.trim().chars().take(QUOTE).collect();
            self.report(spot, &format!("not valid TOML: {}", error.message()));
            lines.insert(line);
        }
        self.syntax = !lines.is_empty();
        self.broken.extend(lines);
    }
}
