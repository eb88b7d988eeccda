use derive_more::{Display, Error};

/// Why a stored or edited document could not be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A text is not TOML, or the store row lacks a field.
    #[display("{name}: {detail}")]
    Malformed {
        /// `routes`, `pools`, `tables` or `rows`.
        name: &'static str,
        /// Cause, with its position.
        detail: String,
    },
    /// An element of a table has no name, or one with a slash.
    #[display("{kind} {position} has no name without a slash")]
    NoName {
        /// `route`, `pool`, or the list within a pool.
        kind: String,
        /// Position in the file, from 1.
        position: usize,
    },
    /// Two elements of a table have the same name.
    #[display("{kind} {name:?} occurs twice")]
    Duplicate {
        /// `route`, `pool`, or the list within a pool.
        kind: String,
        /// The name.
        name: String,
    },
}
