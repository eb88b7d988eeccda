//! Start-up code that the programs share: listeners, metrics, incarnation numbers, and the errors
//! for which a program cannot start.

mod error;
mod start;

pub use error::StartError;
pub use start::{bind, new_incarnation, open_metrics};
