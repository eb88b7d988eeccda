//! Code that the programs share: listeners, metrics, incarnation numbers, the errors for which a
//! program cannot start, and JSON replies over HTTP.

mod error;
mod json_reply;
mod start;

pub use error::StartError;
pub use json_reply::json_reply;
pub use start::{bind, new_incarnation, open_metrics};
