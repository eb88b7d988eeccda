//! Fault soak: plays days with the real platform programs as separate processes on loopback.
//!
//! Stand-ins of the platform's store and of the workers, a proxy between the processes, and callers
//! run in this process. What they observe on their sockets is judged by [`judge`].

mod callers;
mod day;
mod hold_rule;
mod judge;
mod links;
mod observation;
mod party;
mod play;
mod processes;
mod rows;
mod scenario;
mod server;
mod soak_error;
mod socket_owner;
mod store;
mod worker;
mod worker_server;

pub use day::{Day, DayFault};
pub use hold_rule::HoldRule;
pub use judge::{Violation, judge};
pub use observation::{CallOutcome, EndKind, JobSpec, Observation, Observations, StepSpec};
pub use party::Party;
pub use play::{CutReport, PlayReport, PlaySettings, play, program_folder};
pub use rows::{Rows, RowsError, TransactionAnswer};
pub use scenario::{Connections, Cut, CutTarget, Direction, Kind, PlannedStep, Scenario, Step};
pub use soak_error::SoakError;
pub use store::LostAnswers;
pub use worker::{StartAnswer, StartOrder, Worker, WorkerLimits};
