//! Replays of event lists and baselines for the benches.

pub mod overload;
pub mod replay;
