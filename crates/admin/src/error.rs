use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why a request to the admin API has no usable answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AdminError {
    /// The address is not an HTTP URL.
    #[display("address {address:?} is not an HTTP URL such as http://10.0.0.1:7400")]
    InvalidAddress {
        /// The address.
        address: String,
    },
    /// The connection failed, or a read was not answered. Nothing changed.
    #[display("entry {address} cannot be reached: {detail}")]
    Unreachable {
        /// The entry's address.
        address: String,
        /// What failed.
        detail: String,
    },
    /// A write was sent, but not answered; it may or may not have taken effect.
    #[display("entry {address} did not answer {request}, which may have taken effect: {detail}")]
    LostAnswer {
        /// The entry's address.
        address: String,
        /// Method and path.
        request: String,
        /// What failed.
        detail: String,
    },
    /// The entry has no job, member or record with the id.
    #[display("not found: {detail}")]
    NotFound {
        /// The entry's reason, which names the id.
        detail: String,
    },
    /// The entry refused the request, for example because it has no tables yet.
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
    /// What is wrong, and what is allowed instead.
    pub error: String,
}
