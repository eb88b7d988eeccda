//! State machine that alone allocates the accelerators of one worker.
//!
//! [`Ledger`] grants holds, keeps reservations, and implements both roles in a gang: member and
//! lead. It does no I/O and reads no clock: callers pass requests, worker events and the current
//! time, and receive replies and [`Action`]s. See docs/gangs.md for the rules and their rationale.

mod action;
mod grant;
mod hold;
mod lead;
mod ledger;
mod lending;
mod member;
mod membership;
mod message;
mod rank;
mod refusal;
mod report;
mod reservation;
mod resize;
mod worker_event;

use std::time::Duration;

pub use action::{Action, End};
pub use hold::{Hold, HoldReply};
pub use ledger::Ledger;
pub use member::Member;
pub use message::{Commit, MemberState, Ready, Renew, RenewReply, Stop};
pub use rank::Rank;
pub use refusal::Refusal;
pub use report::{GrantReport, Report};
pub use reservation::Reservation;
pub use worker_event::WorkerEvent;

/// Time after which a hold that is neither committed nor requested again is dropped.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(1);
/// Duration of a gang lease: a gang may run for this long after the moment at which its lead last
/// knew every member to be running.
pub const GANG_LEASE: Duration = Duration::from_secs(2);
/// Interval between renewals of a gang lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time that an evicted task gets to write its checkpoint.
pub const CHECKPOINT_GRACE: Duration = Duration::from_secs(2);
/// Time for which commands of an ended gang are refused. It is longer than every deadline of a
/// request between processes, so that a late commit cannot arrive after the fence was deleted.
pub const FENCE_RETENTION: Duration = Duration::from_secs(60);
