//! Deterministic replay of generated job lists against the coordinator of `skylarkpulley-jobs` and
//! simple policies. It measures decisions and not a cluster: tasks are timers, and writes take no
//! time.

mod baseline;
mod coordinated;
mod load;
mod pool;
mod score;

pub use baseline::{Baseline, Rule};
pub use coordinated::Coordinated;
pub use load::{JobPlan, Load, generate};
pub use pool::{EndedRun, Order, Policy, Pool, Run, replay};
pub use score::Score;

/// Milliseconds since the start of the replay.
pub type Millis = u64;
