//! Deterministic replays of jobs and requests against the schedulers and simple baselines.

pub mod jobs_replay;
pub mod overload;
pub mod replay;
