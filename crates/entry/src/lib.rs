//! The entry process: accepts callers' requests and jobs, queues and routes them, proposes
//! placements, and distributes the configuration.

mod admin_server;
mod attempt;
mod caller_reply;
mod caller_request;
mod callers;
mod config_state;
mod config_task;
mod control_service;
mod dispatch;
mod entry;
mod gang_calls;
mod hub;
mod job_command;
mod job_record;
mod job_registry;
mod job_row;
mod jobs;
mod key_client;
mod peers;
mod placement_task;
mod pool_placer;
mod range_view;
mod ranges_task;
mod recorded_changes;
mod registration;
mod request_task;
mod router_task;
mod session_service;
mod settings;
mod status;
mod worker_report;

pub use entry::Entry;
pub use settings::Settings;
pub use skylarkpulley_process::StartError;
