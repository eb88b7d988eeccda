//! Entries and agents, which run the sans-IO core of `skylarkpulley-jobs`. One of the entries is
//! the leader and makes the decisions. An agent runs on each VM that has workers.
//!
//! One record in the store names the leader. Every write of the leader expects that record at a
//! known version and replaces it, so that a write of an earlier leader, or a late write of its own,
//! is never applied.

mod boot_time;
mod calls;
mod convert;
mod entry;
mod entry_settings;
mod followers;
mod held_calls;
mod journal;
mod leader;
mod leader_context;
mod leader_message;
mod leader_record;
mod leadership;
mod metered_store;
mod operators;
mod operators_server;
mod peer;
mod placement_policy;
mod plan_pause;
mod records;
mod role;
mod service;
mod session;
mod standby;
mod store_health;
mod tables_codec;
mod tables_lag;
mod tables_task;
mod timestamp;
mod waiting_callers;
mod worker_control;
mod worker_task;

pub use boot_time::BootClock;
pub use calls::{JobAnswer, JobCall, JobService};
pub use entry::Entry;
pub use entry_settings::EntrySettings;
pub use journal::{CommitOutcome, Journal};
pub use leader_record::{LeaderRecord, Predecessor};
pub use leadership::Leadership;
pub use metered_store::MeteredStore;
pub use operators::Operators;
pub use operators_server::{operators_endpoint, serve_operators};
pub use placement_policy::{PlacementPolicy, PolicyError};
pub use records::Records;
pub use standby::{Standby, ping_interval, standby_rank, takeover_delay};
pub use store_health::StoreHealth;
pub use tables_lag::TablesLag;
pub use tables_task::{TablesAnswer, TablesSource, TablesSourceError};
pub use worker_control::{WorkerAddress, WorkerControl, WorkerError};
pub use worker_task::{Announcement, WorkerAgent, WorkerAgentSettings};
