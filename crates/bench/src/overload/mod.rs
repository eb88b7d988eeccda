//! Replay of request routing under load, in simulated time. Entries dispatch requests to agents,
//! which arbitrate the slots of their upstreams. The router is compared with FIFO and round-robin
//! baselines.

mod attempts;
mod fifo;
mod policy;
mod replay;
mod round_robin;
mod routed;
mod scenario;
mod score;

pub use fifo::Fifo;
pub use policy::{Action, Policy};
pub use replay::replay;
pub use round_robin::RoundRobin;
pub use routed::Routed;
pub use scenario::{RequestKind, Scenario};
pub use score::{KindScore, Score};
