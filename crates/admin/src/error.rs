use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why an admin request has no usable answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AdminError {
    /// The address is not an HTTP URL.
    #[display("address {address:?} is not a URL such as http://10.0.0.1:7400")]
    InvalidAddress {
        /// The address.
        address: String,
    },
    /// No connection was made, or a read had no answer. Nothing changed.
    #[display("entry {address} cannot be reached: {detail}")]
    Unreachable {
        /// The entry's address.
        address: String,
        /// What failed.
        detail: String,
    },
    /// A write was sent, but its answer did not arrive; it may or may not have taken effect.
    #[display("entry {address} did not answer {request}, which may have taken effect: {detail}")]
    LostAnswer {
        /// The entry's address.
        address: String,
        /// Method and path.
        request: String,
        /// What failed.
        detail: String,
    },
    /// The entry does not know the id.
    #[display("not found: {detail}")]
    NotFound {
        /// What was asked for.
        detail: String,
    },
    /// The entry refused to answer, for example because it has no tables yet.
    #[display("entry {address} answered {request} with status {status}: {detail}")]
    ErrorStatus {
        /// The entry's address.
        address: String,
        /// Method and path.
        request: String,
        /// HTTP status.
        status: u16,
        /// The entry's reason.
        detail: String,
    },
}

/// Body of an answer with an error status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorReply {
    /// What is wrong and what is allowed.
    pub error: String,
}
