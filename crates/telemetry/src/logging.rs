use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

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

/// Starts logging to standard error. `filter` uses the syntax of `RUST_LOG`; an invalid filter falls
/// back to `info`. A second call has no effect.
pub fn init_logging(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // Fails only when a logger is already installed, which keeps working.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Plain => builder.try_init(),
    };
}
