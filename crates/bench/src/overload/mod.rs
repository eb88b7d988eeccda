//! Replay of request routing under load, in replayed time: entries in front of agents that arbitrate
//! the slots of their upstreams, against FIFO and round-robin baselines.

mod fifo;
mod policy;
mod replay;
mod round_robin;
mod routed;
mod scenario;
mod score;

pub use fifo::Fifo;
pub use policy::{Act, Policy};
pub use replay::replay;
pub use round_robin::RoundRobin;
pub use routed::Routed;
pub use scenario::{Kind, Scenario};
pub use score::{ClassScore, Score};
