//! Connections of clients that are not trusted: limits on memory, descriptors and time, which all HTTP
//! listeners of a process share, and limits for its control listener.

mod body;
mod body_limit;
mod client_connections;
mod control;
mod memory_budget;
mod request_limits;
mod server;
mod stream;

pub use body::{BodyError, read_body};
pub use body_limit::BodyLimit;
use client_connections::Ticket;
pub use client_connections::{ClientConnections, ConnectionSettings, memory_share};
pub use control::{ControlListener, MessageFraming, control_server};
pub use memory_budget::{
    CloseCause, ConnectionId, ListenerKind, MemoryBudget, Phase, ShortOfMemory,
};
pub use request_limits::{RequestLimitSource, RequestLimits};
pub use server::{ServerSettings, serve};
