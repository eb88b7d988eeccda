use std::io::{Result as IoResult, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::Event;

/// Maximum number of log lines in the queue, which is 1.2 MB at about 300 bytes a line. Further
/// lines are dropped and counted, so that a reader of the logs that stops reading cannot block
/// decisions.
const MAX_QUEUED_LINES: usize = 4096;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Plain,
}

/// Where the log lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard error, for commands whose results go to standard output.
    Stderr,
    /// Standard output, for processes that run until they are stopped.
    Stdout,
}

/// Writes the queued log lines when it is dropped.
#[must_use = "later log lines are not written once this guard is dropped"]
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts logging to `output` through a queue that never blocks the caller. `filter` uses the syntax
/// of `RUST_LOG`; an invalid filter is replaced by `info`. A second call has no effect.
pub fn init_logging(output: LogOutput, format: LogFormat, filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = match output {
        LogOutput::Stderr => LogWriter::new(std::io::stderr(), MAX_QUEUED_LINES),
        LogOutput::Stdout => LogWriter::new(std::io::stdout(), MAX_QUEUED_LINES),
    };
    let writer = writer.with_format(format);
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    // Fails only if a logger is already installed; that logger stays active.
    let installed = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Plain => builder.try_init(),
    };
    LogGuard { _worker: installed.is_ok().then_some(worker) }
}

/// Bounded queue of log lines, which a separate thread writes to the output.
#[derive(Clone)]
pub struct LogWriter {
    drop_counter: ErrorCounter,
    format: LogFormat,
    lines: NonBlocking,
    /// Number of dropped lines that a log line has already reported.
    reported_drops: Arc<AtomicUsize>,
}

impl LogWriter {
    /// Returns a queue of at most `limit` lines for `output`, and a guard that writes the queued
    /// lines when it is dropped.
    pub fn new(output: impl Send + Write + 'static, limit: usize) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(limit).lossy(true);
        let (lines, worker) = builder.finish(output);
        let (drop_counter, reported_drops) = (lines.error_counter(), Arc::new(AtomicUsize::new(0)));
        let format = LogFormat::default();
        (Self { drop_counter, format, lines, reported_drops }, worker)
    }

    /// Sets the format of the lines that report dropped ones.
    pub fn with_format(self, format: LogFormat) -> Self {
        Self { format, ..self }
    }

    /// Queues a line with the number of lines dropped since the last such line. If that line is
    /// dropped as well, a later call reports the number.
    fn report_dropped(&mut self) -> IoResult<()> {
        let dropped = self.drop_counter.dropped_lines();
        let reported = self.reported_drops.swap(dropped, Ordering::Relaxed);
        if dropped <= reported {
            return Ok(());
        }
        let (event, lines) = (Event::LogLinesDropped, dropped - reported);
        let code = event.code();
        let line = match self.format {
            LogFormat::Json => {
                format!(
                    "{{\"level\":\"WARN\",\"code\":{code},\"event\":\"{event}\",\"lines\":{lines}}}\n"
                )
            }
            LogFormat::Plain => format!("code={code} event=\"{event}\" lines={lines}\n"),
        };
        self.lines.write_all(line.as_bytes())?;
        if self.drop_counter.dropped_lines() > dropped {
            self.reported_drops.store(reported, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> IoResult<usize> {
        self.report_dropped()?;
        self.lines.write(line)
    }

    fn flush(&mut self) -> IoResult<()> {
        self.lines.flush()
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
