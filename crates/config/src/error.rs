use derive_more::{Display, Error};

/// Why a stored or edited document could not be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A text is not TOML, or the store row lacks a field.
    #[display("{name}: {detail}")]
    Malformed {
        /// `routes`, `pools` or `tables`.
        name: &'static str,
        /// Cause, with its position.
        detail: String,
    },
    /// An element of a table has no name.
    #[display("{kind} {position} has no name")]
    NoName {
        /// `route` or `pool`.
        kind: &'static str,
        /// Position in the file, from 1.
        position: usize,
    },
    /// Two elements of a table have the same name.
    #[display("{kind} {name:?} occurs twice")]
    Duplicate {
        /// `route` or `pool`.
        kind: &'static str,
        /// The name.
        name: String,
    },
}
