//! Numbered log events, the set-up of logging, metrics, settings files, and the record of decisions
//! that `explain` reads.

mod decisions;
mod event;
mod line_limit;
mod logging;
mod metrics;
mod metrics_page;
mod settings_file;
mod signals;

pub use decisions::{Decision, Decisions};
pub use event::Event;
pub use line_limit::LineLimit;
pub use logging::{LogFormat, LogGuard, LogOutput, LogWriter, init_logging};
pub use metrics::Metrics;
pub use metrics_page::MetricsPage;
pub use settings_file::{SettingsError, load_settings};
pub use signals::wait_for_signal;
