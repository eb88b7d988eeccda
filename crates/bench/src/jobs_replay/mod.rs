//! Deterministic replay of generated job lists against the coordinator of `skylarkpulley-jobs` and
//! simple policies. It measures decisions and not a cluster: tasks are timers, and writes take no
//! time.

mod baseline;
mod coordinated;
mod load;
mod pool;
mod score;
mod setup;

pub use baseline::{Baseline, Rule};
pub use coordinated::Coordinated;
pub use load::{JobPlan, Load, generate, generate_second_customer, generate_wide};
pub use pool::{EndedRun, Order, Policy, Pool, Run, replay};
pub use score::Score;
pub use setup::Setup;

/// Milliseconds since the start of the replay.
pub type Millis = u64;
