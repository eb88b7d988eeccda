//! Queues jobs and places gangs on the workers of one pool under guarantees. The crate is sans-IO:
//! the caller passes in events, the time and the random seed, and carries out the returned actions.

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
