//! Request routing of one entry: membership of upstreams, admission queues, choice of an upstream,
//! outlier ejection and retry budgets.
//!
//! The crate has no sockets, no clock and no thread. Events and the current time go into a
//! [`Router`]; decisions come out of it. Random choices come from the seed that it is built with.

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
