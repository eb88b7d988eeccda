use derive_more::{Display, Error};

/// Why a stored or edited document is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A text is not TOML, or the store row lacks a field.
    #[display("{name}: {detail}")]
    Malformed {
        /// `routes`, `pools`, `tables` or `rows`.
        name: &'static str,
        /// Cause of the failure, with its position in the text.
        detail: String,
    },
    /// An element of a table has no name, or a name that contains a slash.
    #[display(
        "{kind} {position} has no name or a name with a slash, which separates the parts of keys"
    )]
    NoName {
        /// `route`, `pool`, or the list within a pool.
        kind: String,
        /// Position in the file, from 1.
        position: usize,
    },
    /// Two elements of a table have the same name.
    #[display("{kind} {name:?} occurs more than once; names must be unique")]
    Duplicate {
        /// `route`, `pool`, or the list within a pool.
        kind: String,
        /// Name of both elements.
        name: String,
    },
}
