use std::time::Duration;

use derive_more::{Display, Error};

use crate::WriteClass;

/// Why a call to the store failed. Only [`StoreError::LostAnswer`] and [`StoreError::Indeterminate`]
/// leave open whether a write took effect.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The row does not have the expected version; nothing was written. Version 0 means that the
    /// row is absent.
    #[display("row {key:?} has version {found} instead of {expected}; nothing was written")]
    Conflict {
        /// Key of the row.
        key: String,
        /// Version that the caller expected.
        expected: u64,
        /// Version of the stored row.
        found: u64,
    },
    /// The write was sent, but no complete answer was received. It may have taken effect, or may
    /// still take effect.
    #[display(
        "row {key:?}: no complete answer to the write at version {expected}, which may have taken \
         effect: {detail}"
    )]
    LostAnswer {
        /// Key of the row.
        key: String,
        /// Version that the caller expected.
        expected: u64,
        /// Why the answer is missing.
        detail: String,
    },
    /// The answer to a write was lost and other clients have written the row since. Whether the
    /// write took effect before those writes can no longer be determined.
    #[display(
        "row {key:?}: the outcome of the write at version {expected} is unknown, because the row has \
         version {found} after later writes"
    )]
    Indeterminate {
        /// Key of the row.
        key: String,
        /// Version that the caller expected.
        expected: u64,
        /// Version of the stored row.
        found: u64,
    },
    /// The service could not be reached or refused the call; nothing was written.
    #[display("row {key:?}: the store is unavailable: {detail}")]
    Unavailable {
        /// Key of the row or prefix of the list.
        key: String,
        /// Cause of the failure.
        detail: String,
    },
    /// A read was not answered in time.
    #[display("row {key:?}: the store did not answer the read within {limit:?}")]
    TimedOut {
        /// Key of the row or prefix of the list.
        key: String,
        /// The time-out.
        limit: Duration,
    },
    /// The circuit breaker is open; the call was not sent.
    #[display(
        "row {key:?}: call not sent because the store is down or slow; retry in {retry_in:?}"
    )]
    CircuitOpen {
        /// Key of the row or prefix of the list.
        key: String,
        /// Time until the circuit breaker may admit a call again.
        retry_in: Duration,
    },
    /// The write was not sent, because too many writes of its class were queued or because it
    /// was queued for too long.
    #[display("row {key:?}: the write limiter did not send a write of class {class}: {detail}")]
    Throttled {
        /// Key of the row.
        key: String,
        /// Class of the write.
        class: WriteClass,
        /// The limit that was exceeded.
        detail: String,
    },
    /// The address of the service is not an `http` URL.
    #[display("store address {address:?} is invalid: {detail}")]
    InvalidAddress {
        /// The address.
        address: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The key contains characters other than ASCII letters, digits and `-._/`, or has a part that
    /// is empty, `.` or `..`.
    #[display(
        "row key {key:?} is invalid: allowed are non-empty parts of ASCII letters, digits, -, . and _, \
         separated by /; the parts . and .. are not allowed"
    )]
    InvalidKey {
        /// The key.
        key: String,
    },
    /// The answer of the service violates the protocol.
    #[display("row {key:?}: the store sent a malformed answer: {detail}")]
    Malformed {
        /// Key of the row or prefix of the list.
        key: String,
        /// What is malformed.
        detail: String,
    },
}

impl StoreError {
    /// Reports whether a write that ended with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::LostAnswer { .. } | Self::Indeterminate { .. })
    }

    /// Reports whether the error counts as a failure of the service in the circuit breaker.
    pub fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::LostAnswer { .. }
                | Self::Unavailable { .. }
                | Self::TimedOut { .. }
                | Self::Malformed { .. }
        )
    }
}
