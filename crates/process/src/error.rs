use std::net::SocketAddr;

use derive_more::{Display, Error};
use skylarkpulley_proto::SecretError;

/// Reason for which a program cannot start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A listener cannot be opened.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No socket for sending metrics can be opened.
    #[display("cannot send metrics to {address}: {source}")]
    Metrics {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The shared secret is not valid.
    #[display("invalid shared secret: {source}")]
    Secret {
        /// The cause.
        source: SecretError,
    },
    /// The store's address is not valid.
    #[display("cannot use the store at {url}: {detail}")]
    Store {
        /// The address from the settings.
        url: String,
        /// The cause.
        detail: String,
    },
}
