//! The process beside one upstream or worker. It alone grants the upstream's slots or the worker's
//! accelerators, and holds idempotency-key records for the ranges that are assigned to it.

mod announce_server;
mod attempts;
mod entry_session;
mod http_run;
mod runner;
mod sessions;
mod settings;
mod upstream;

pub use announce_server::serve_announcements;
pub use entry_session::{SessionContext, hello};
pub use runner::{Limits, Runner};
pub use sessions::run_sessions;
pub use settings::Settings;
pub use upstream::{AnnouncedState, Announcement, Upstream};
