use std::io::{self, Write};

use serde::Serialize;

/// Destinations of a command's result and errors.
pub struct Output<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    /// Returns an output that writes results to `out` and errors to `err`.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self { out, err }
    }

    /// Writes one line of the result.
    pub(crate) fn line(&mut self, text: &str) -> io::Result<()> {
        writeln!(self.out, "{text}")
    }

    /// Writes `document` to the result as indented JSON.
    pub(crate) fn json<T: Serialize>(&mut self, document: &T) -> io::Result<()> {
        serde_json::to_writer_pretty(&mut *self.out, document)?;
        writeln!(self.out)
    }

    /// Writes a table with aligned columns below `title`; writes nothing if there are no rows.
    pub(crate) fn table<const N: usize>(
        &mut self,
        title: &str,
        header: [&str; N],
        rows: &[[String; N]],
    ) -> io::Result<()> {
        if rows.is_empty() {
            return Ok(());
        }
        let column_width = |column: usize| {
            let cells = rows.iter().map(|row| row[column].chars().count());
            cells.chain([header[column].len()]).max().unwrap_or_default()
        };
        let widths: [usize; N] = std::array::from_fn(column_width);
        writeln!(self.out, "\n{title}")?;
        for row in std::iter::once(&header.map(str::to_owned)).chain(rows) {
            let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
            writeln!(self.out, "  {}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }

    /// Writes one line to the error output. If that fails, the line is lost and the command
    /// continues.
    pub(crate) fn error(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}

/// Formats a duration for readers. Durations of one second or more are rounded down to whole
/// seconds.
pub(crate) fn format_duration(milliseconds: u64) -> String {
    let rounded = if milliseconds < 1000 { milliseconds } else { milliseconds / 1000 * 1000 };
    humantime::format_duration(std::time::Duration::from_millis(rounded)).to_string()
}
