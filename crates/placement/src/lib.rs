//! Decides where jobs of many accelerators run on one pool of workers. Sans-IO: events go in,
//! actions come out, time and the seed are passed in.

mod action;
mod estimates;
mod event;
mod free_index;
mod instance;
mod job;
mod pack;
mod placer;
mod status;
mod worker;

pub use action::{Action, GangMember, PreemptMode};
pub use event::{Event, GangEnd, HoldResult, ReportedGrant, ReportedReservation, WorkerReport};
pub use job::{JobSpec, Preemption};
pub use placer::Placer;
pub use status::{InstanceStatus, JobStatus, Status, WorkerStatus, usable_accelerators};
