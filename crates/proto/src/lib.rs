//! Protocol between the processes of skylarkpulley: the generated code, which is committed,
//! conversions to the project's own types, clients for agents, and the check of the shared secret.

mod agent_clients;
mod convert;
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "generated/skylarkpulley.v1.rs"]
pub mod v1;
mod secret;

pub use agent_clients::{AgentClients, AgentHandle};
pub use secret::{Secret, SecretError};

/// Version of the protocol that this build sends. Receivers accept every version that is not lower
/// than their [`MIN_PROTOCOL_VERSION`].
pub const PROTOCOL_VERSION: u32 = 1;

/// Lowest protocol version that this build accepts from another process.
pub const MIN_PROTOCOL_VERSION: u32 = 1;

/// Maximum size in bytes of a message that is sent or accepted.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
