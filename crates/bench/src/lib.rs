//! Replays of event lists and baselines for the benches.

pub mod jobs_replay;
pub mod overload;
pub mod replay;
