//! Numbered log events, logging set-up, metrics and the decision records behind `explain`.

mod decisions;
mod event;

pub use decisions::{Decision, Decisions};
pub use event::Event;
