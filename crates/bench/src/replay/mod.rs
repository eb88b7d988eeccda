//! Bounded, deterministic replay of generated event lists against the placer and simple baselines.
//! It measures decisions and not a cluster: tasks are timers.

mod baseline;
mod core;
mod events;
mod measures;
mod physical;

pub use baseline::{Baseline, Rule};
pub use core::Core;
pub use events::{EventList, Job, Scenario, pool};
pub use measures::Measures;
pub use physical::{Order, Scheduler, replay};

/// Milliseconds since the start of the replay.
pub type Millis = u64;
