//! Protocol between the processes of skylarkpulley: committed generated code, conversions to the
//! project's own types, and the check of the shared secret.

mod agent_clients;
mod convert;
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
#[path = "generated/skylarkpulley.v1.rs"]
pub mod v1;
mod secret;

pub use agent_clients::{AgentClients, AgentHandle};
pub use secret::{Secret, SecretError};

/// Version of the protocol that this build speaks. Peers accept any version from
/// [`MIN_PROTOCOL_VERSION`] on.
pub const PROTOCOL_VERSION: u32 = 1;

/// Lowest protocol version of a peer that this build works with.
pub const MIN_PROTOCOL_VERSION: u32 = 1;

/// Largest message that is sent or accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
