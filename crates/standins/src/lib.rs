//! Stand-ins for services of the platform, for tests and the `demo` command only: the table
//! service, an upstream and a worker, each with fault injection and counters, and a load
//! generator.
//!
//! Each server also answers `GET /standin/counts` and `PUT /standin/fault`, so that tests can
//! control it when it runs as a separate process.

mod connections;
mod control;
mod error;
mod fault_text;
mod load;
mod running;
mod slow_link;
mod table_service;
mod upstream;
mod worker;

pub use connections::Connections;
pub use error::StandinError;
pub use fault_text::parse_store_fault;
pub use load::{LoadReport, LoadSettings, run_load};
pub use running::RunningServer;
pub use slow_link::SlowLink;
pub use table_service::TableService;
pub use upstream::{Upstream, UpstreamFault, UpstreamSettings};
pub use worker::{TaskState, TaskView, Usage, Worker, WorkerFault, WorkerSettings};
