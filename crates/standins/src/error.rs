use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Why a stand-in could not be started.
#[derive(Debug, Display, Error)]
pub enum StandinError {
    /// The address could not be bound.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A setting has a value that is not allowed.
    #[display("invalid {name} {value:?}: {detail}")]
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// Rejected value.
        value: String,
        /// Why the value is rejected or what is allowed.
        detail: String,
    },
}
