//! The sole arbiter of one worker's accelerators.
//!
//! [`Ledger`] grants holds, keeps reservations, and plays both parts of a gang: member and lead. It
//! has no sockets and no clock: requests, worker events and the current time go in, replies and
//! [`Action`]s come out. See docs/gangs.md for the rules and the argument behind them.

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

/// Time after which a hold that is neither committed nor asked for again is dropped.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a gang runs on after its lead last knew every member to be running.
pub const GANG_LEASE: Duration = Duration::from_secs(2);
/// Interval between renewals of a gang lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time that evicted work gets for its checkpoint.
pub const CHECKPOINT_GRACE: Duration = Duration::from_secs(2);
/// Time for which the commands of an ended gang are refused. It outlasts every deadline of a
/// request between processes, so that no late commit finds the gang forgotten.
pub const FENCE_RETENTION: Duration = Duration::from_secs(60);
