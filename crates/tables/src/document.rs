use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Range;

use toml::de::DeTable;

use crate::Fault;

/// Maximum length of the part of a value that a fault quotes, in characters.
const MAX_QUOTED_CHARS: usize = 60;
/// Some editors write a byte order mark at the start of a file; it is not part of the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Shown as the value of a required field that is absent.
const MISSING_VALUE: &str = "(missing)";

/// The text of one table and the faults reported in it.
pub(crate) struct Document {
    file: String,
    text: String,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    /// Lines that are not valid UTF-8 or TOML. Other faults on these lines are not reported,
    /// because they only follow from the invalid text.
    invalid_lines: HashSet<u32>,
    /// Whether the text has TOML syntax errors. Absent fields are then not reported, because the
    /// parser may have skipped them.
    is_malformed: bool,
    faults: RefCell<Vec<Fault>>,
}

impl Document {
    /// Decodes `bytes` and checks the encoding and the TOML syntax. Faults show `file` as the name
    /// of the file.
    pub(crate) fn new(file: &str, bytes: &[u8]) -> Self {
        let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
        let text = String::from_utf8_lossy(bytes).into_owned();
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts =
            std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1)).collect();
        let mut document = Self {
            file: file.to_owned(),
            text,
            line_starts,
            invalid_lines: HashSet::new(),
            is_malformed: false,
            faults: RefCell::default(),
        };
        document.check_utf8(bytes);
        document.check_syntax();
        document
    }

    /// Returns the text, with replacement characters in place of invalid bytes.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Reports whether the text is not valid UTF-8 or TOML, so that rows may be missing from it.
    pub(crate) fn is_invalid(&self) -> bool {
        !self.invalid_lines.is_empty()
    }

    /// Returns the location of the value at `span` as a fault without `allowed`, for
    /// [`Document::report`].
    pub(crate) fn location(&self, span: Range<usize>, field: &str) -> Fault {
        let (line, column) = self.position(span.start);
        let written = self.text.get(span).unwrap_or_default();
        let first_line = written.lines().next().unwrap_or_default();
        let mut value: String = first_line.chars().take(MAX_QUOTED_CHARS).collect();
        if value.len() < written.len() {
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

    /// Records a fault at `location`, unless its line is invalid.
    pub(crate) fn report(&self, mut location: Fault, allowed: &str) {
        if self.invalid_lines.contains(&location.line) {
            return;
        }
        location.allowed = allowed.to_owned();
        self.faults.borrow_mut().push(location);
    }

    /// Records that `field` of the table at `span` is absent, unless the text has syntax errors.
    pub(crate) fn report_missing(&self, span: Range<usize>, field: &str, allowed: &str) {
        if !self.is_malformed {
            let location = Fault { value: MISSING_VALUE.to_owned(), ..self.location(span, field) };
            self.report(location, allowed);
        }
    }

    /// Returns the number of faults recorded so far.
    pub(crate) fn fault_count(&self) -> usize {
        self.faults.borrow().len()
    }

    /// Returns the faults, sorted by location.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by(|a, b| (a.line, a.column, &a.field).cmp(&(b.line, b.column, &b.field)));
        faults
    }

    fn position(&self, offset: usize) -> (u32, u32) {
        let line = self.line_starts.partition_point(|start| *start <= offset) - 1;
        let line_prefix = self.text.get(self.line_starts[line]..offset).unwrap_or_default();
        (line as u32 + 1, line_prefix.chars().count() as u32 + 1)
    }

    fn check_utf8(&mut self, bytes: &[u8]) {
        let mut offset = 0;
        for chunk in bytes.utf8_chunks() {
            offset += chunk.valid().len();
            let Some(invalid_byte) = chunk.invalid().first() else {
                continue;
            };
            let mut location = self.location(offset..offset, "encoding");
            location.value = format!("byte 0x{invalid_byte:02x}");
            // `text` contains one replacement character in place of the invalid bytes.
            offset += char::REPLACEMENT_CHARACTER.len_utf8();
            let line = location.line;
            self.report(location, "must be UTF-8");
            self.invalid_lines.insert(line);
        }
    }

    fn check_syntax(&mut self) {
        let (_, errors) = DeTable::parse_recoverable(&self.text);
        let mut error_lines = HashSet::new();
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            let mut location = self.location(span, "syntax");
            let line = location.line;
            // The span of a syntax error is often empty, so the fault quotes the whole line.
            let line_text = self.text.lines().nth(line as usize - 1).unwrap_or_default();
            location.value = line_text.trim().chars().take(MAX_QUOTED_CHARS).collect();
            self.report(location, &format!("not valid TOML: {}", error.message()));
            error_lines.insert(line);
        }
        self.is_malformed = !error_lines.is_empty();
        self.invalid_lines.extend(error_lines);
    }
}
