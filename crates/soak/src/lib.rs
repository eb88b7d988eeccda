//! Fault soak: plays days with the real platform programs as separate processes on loopback.
//!
//! The stand-ins of the platform and a proxy between the processes run in this process. What they
//! observe on their sockets is judged by [`judge`].

mod hold_rule;
mod idle;
mod judge;
mod links;
mod open_task;
mod party;
mod play;
mod processes;
mod scenario;
mod soak_error;
mod socket_owner;

pub use hold_rule::HoldRule;
pub use judge::{JudgeLimits, Violation, judge};
pub use open_task::OpenTask;
pub use party::Party;
pub use play::{CutReport, PlayReport, PlaySettings, play, program_folder};
pub use scenario::{Connections, Cut, CutTarget, Direction, Kind, PlannedStep, Scenario, Step};
pub use soak_error::SoakError;
