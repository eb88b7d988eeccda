//! The process beside one upstream or worker. It alone grants the upstream's slots or the worker's
//! accelerators, and holds idempotency-key records for the ranges that are assigned to it.

mod agent;
mod announce_server;
mod attempts;
mod entry_session;
mod gang_convert;
mod gangs_task;
mod http_run;
mod key_convert;
mod keys_task;
mod runner;
mod service;
mod sessions;
mod settings;
mod state_task;
mod upstream;
mod worker_client;

pub use agent::Agent;
pub use gangs_task::Gangs;
pub use settings::Settings;
pub use skylarkpulley_process::StartError;
pub use upstream::{AnnouncedState, Announcement, Upstream};
