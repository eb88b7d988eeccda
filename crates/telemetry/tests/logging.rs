//! Log lines under a reader that stands still.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use skylarkpulley_telemetry::LogWriter;

/// An output that writes nothing until it is released.
struct StuckOutput {
    lines: Sender<String>,
    release: Receiver<()>,
}

impl Write for StuckOutput {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        // Waits until the test drops its end.
        let _ = self.release.recv();
        let _ = self.lines.send(String::from_utf8_lossy(line).into_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Guards against a decision that waits because nobody reads the logs, and against lines that are
/// dropped without a word.
#[test]
fn log_writer_reader_stuck() {
    let (lines, written) = channel();
    let (hold, release) = channel();
    let (mut writer, worker) = LogWriter::new(StuckOutput { lines, release }, 4);
    for number in 0..100 {
        writer.write_all(format!("line {number}").as_bytes()).expect("a queue that drops");
    }
    drop(hold);
    let first = written.recv().expect("a line");
    assert!(first.starts_with("line 0"), "{first}");
    // Each write either waits in the queue or is dropped because lines wait there, so that another
    // line always comes out, and the queue empties.
    let mut rest = Vec::new();
    for _ in 0..20 {
        writer.write_all(b"after").expect("a queue that drops");
        rest.push(written.recv().expect("a line"));
    }
    drop(worker);
    rest.extend(written.try_iter());
    assert!(rest.iter().any(|line| line.contains("log-lines-dropped")), "{rest:?}");
}
