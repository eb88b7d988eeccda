//! Request routing of one entry: membership of upstreams, admission queues, selection of an
//! upstream, outlier ejection and retry budgets.
//!
//! The crate performs no I/O, reads no clock and starts no threads (sans-IO). The caller passes
//! events and the current time to a [`Router`], which returns decisions. Random choices are derived
//! from the seed that the router is constructed with.

mod attempt;
mod class_queue;
mod decision;
mod estimate;
mod health;
mod member;
mod members;
mod pool;
mod request;
mod retry_budget;
mod router;
mod settings;
mod snapshot;

pub use attempt::{AttemptResult, NextAction};
pub use decision::{Decision, Reason};
pub use member::{Hello, Report};
pub use request::{Admission, CancelResult, Request};
pub use router::Router;
pub use settings::RoutingSettings;
pub use snapshot::{ClassView, MemberState, MemberView, PoolView, RouteView, RouterView};
