//! What the programs share when they start: listeners, metrics, incarnations and the reasons for
//! which a program cannot start.

mod error;
mod start;

pub use error::StartError;
pub use start::{bind, new_incarnation, open_metrics};
