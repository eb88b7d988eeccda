use std::io::{Result as IoResult, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::Event;

/// Lines that may wait to be written; at about 300 bytes each, 1.2 MB. Further ones are dropped and
/// counted, so that a reader that stands still cannot stop decisions.
const WAITING_LINES: usize = 4096;

/// Format of the log lines on standard error.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Plain,
}

/// Writes the lines that wait when it is dropped.
#[must_use = "lines that wait are lost when this is dropped at once"]
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts logging to standard error, through a queue that never blocks. `filter` uses the syntax of
/// `RUST_LOG`; an invalid filter falls back to `info`. A second call has no effect.
pub fn init_logging(format: LogFormat, filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = LogWriter::new(std::io::stderr(), WAITING_LINES);
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    // Fails only when a logger is already installed, which keeps working.
    let started = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Plain => builder.try_init(),
    };
    LogGuard { _worker: started.is_ok().then_some(worker) }
}

/// Bounded queue of log lines that a thread of its own writes.
#[derive(Clone)]
pub struct LogWriter {
    dropped: ErrorCounter,
    lines: NonBlocking,
    /// Dropped lines that a line has told of.
    told: Arc<AtomicUsize>,
}

impl LogWriter {
    /// Returns a queue of `limit` lines in front of `output`, and a guard that writes what waits when
    /// it is dropped.
    pub fn new(output: impl Send + Write + 'static, limit: usize) -> (Self, WorkerGuard) {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(limit).lossy(true);
        let (lines, worker) = builder.finish(output);
        let (dropped, told) = (lines.error_counter(), Arc::new(AtomicUsize::new(0)));
        (Self { dropped, lines, told }, worker)
    }

    /// Writes a line about dropped ones, unless it would be dropped as well.
    fn tell_dropped(&mut self) -> IoResult<()> {
        let dropped = self.dropped.dropped_lines();
        let told = self.told.swap(dropped, Ordering::Relaxed);
        if dropped <= told {
            return Ok(());
        }
        let event = Event::LogLinesDropped;
        let line = format!("code={} event=\"{event}\" lines={}\n", event.code(), dropped - told);
        self.lines.write_all(line.as_bytes())?;
        if self.dropped.dropped_lines() > dropped {
            self.told.store(told, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> IoResult<usize> {
        self.tell_dropped()?;
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
