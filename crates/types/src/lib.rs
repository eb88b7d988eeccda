//! Types that the crates of skylarkpulley share: agent ids, the clock interface, request outcomes,
//! shapes of accelerator groups, digests, and rendezvous hashing.

mod agent_id;
mod clock;
mod digest;
mod locality;
mod outcome;
mod rendezvous;
mod shape;

pub use agent_id::AgentId;
pub use clock::{Clock, ManualClock, SystemClock};
pub use digest::Digest;
pub use locality::Locality;
pub use outcome::Outcome;
pub use rendezvous::rank_nodes;
pub use shape::Shape;
