//! Agent of one upstream or worker.
//!
//! The agent is the only process that grants the slots of its upstream or the accelerators of its
//! worker. It also stores the idempotency-key records of the key ranges that are assigned to it.

mod agent;
mod announce_server;
mod attempts;
mod entry_session;
mod gang_convert;
mod gangs_task;
mod key_convert;
mod keys_task;
mod runner;
mod service;
mod sessions;
mod settings;
mod state_task;
mod upstream;
mod upstream_client;
mod worker_client;

pub use agent::Agent;
pub use gangs_task::Gangs;
pub use settings::Settings;
pub use skylarkpulley_process::StartError;
pub use upstream::{AnnouncedState, Announcement, Upstream};
