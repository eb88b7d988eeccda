//! Tests of the log queue while its output is blocked.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use skylarkpulley_telemetry::LogWriter;

/// An output whose writes block until the test releases them.
struct BlockedOutput {
    lines: Sender<String>,
    release: Receiver<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        // Blocks until the test drops the sender.
        let _ = self.release.recv();
        let _ = self.lines.send(String::from_utf8_lossy(line).into_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Guards against a caller that blocks because nobody reads the logs, and against dropped lines
/// that no log line reports.
#[test]
fn log_writer_output_blocked() {
    let (lines, written) = channel();
    let (block, release) = channel();
    let (mut writer, worker) = LogWriter::new(BlockedOutput { lines, release }, 4);
    for number in 0..100 {
        writer
            .write_all(format!("line {number}").as_bytes())
            .expect("a full queue drops lines without an error");
    }
    drop(block);
    let first = written.recv().expect("a written line");
    assert!(first.starts_with("line 0"), "{first}");
    // Each write is either queued, or dropped because the queue is full. In both cases the output
    // writes another line, so that each `recv` returns and the queue empties.
    let mut rest = Vec::new();
    for _ in 0..20 {
        writer.write_all(b"after").expect("a full queue drops lines without an error");
        rest.push(written.recv().expect("a written line"));
    }
    drop(worker);
    rest.extend(written.try_iter());
    let report = rest.iter().find(|line| line.contains("log-lines-dropped"));
    let report = report.expect("a line that reports the dropped ones");
    let report: serde_json::Value = serde_json::from_str(report).expect("a JSON object");
    assert_eq!(report["code"], 103);
    assert!(report["lines"].as_u64().is_some_and(|lines| lines > 0), "{report}");
}
