//! Replays of event lists and baselines for the benches.

pub mod replay;
