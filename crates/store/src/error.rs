use std::time::Duration;

use derive_more::{Display, Error};

use crate::WriteClass;

/// Why a call to the store failed. Only [`StoreError::LostAnswer`] and [`StoreError::Indeterminate`]
/// leave it open whether a write took effect.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The row does not have the expected version; nothing was written. 0 stands for "absent".
    #[display("row {key:?}: expected version {expected}, found {found}")]
    Conflict {
        /// Key of the row.
        key: String,
        /// Version the caller expected.
        expected: u64,
        /// Version the service holds.
        found: u64,
    },
    /// The write was sent and no complete answer came back; it may have taken effect, or may still.
    #[display("row {key:?}: answer to a write at version {expected} was lost: {detail}")]
    LostAnswer {
        /// Key of the row.
        key: String,
        /// Version the caller expected.
        expected: u64,
        /// What happened to the answer.
        detail: String,
    },
    /// The answer to a write was lost and the row has since been written by others, so that it can
    /// no longer be told whether the write took effect in between.
    #[display("row {key:?}: a write at version {expected} was overtaken by version {found}")]
    Indeterminate {
        /// Key of the row.
        key: String,
        /// Version the caller expected.
        expected: u64,
        /// Version the service holds.
        found: u64,
    },
    /// The service could not be reached or refused the call; nothing was written.
    #[display("row {key:?}: store unavailable: {detail}")]
    Unavailable {
        /// Key of the row or prefix of the list.
        key: String,
        /// Cause.
        detail: String,
    },
    /// A read was not answered in time.
    #[display("row {key:?}: no answer within {limit:?}")]
    TimedOut {
        /// Key of the row or prefix of the list.
        key: String,
        /// The time-out.
        limit: Duration,
    },
    /// The circuit is open: the call was not sent.
    #[display("row {key:?}: store is down, next probe in {retry_in:?}")]
    CircuitOpen {
        /// Key of the row or prefix of the list.
        key: String,
        /// Time until the next call is let through.
        retry_in: Duration,
    },
    /// Too many writes wait in this class, or the write waited too long; it was not sent.
    #[display("row {key:?}: write limiter refused class {class}: {detail}")]
    Throttled {
        /// Key of the row.
        key: String,
        /// Class of the write.
        class: WriteClass,
        /// Queue length or wait.
        detail: String,
    },
    /// The address of the service is not an `http` URL.
    #[display("invalid store address {address:?}: {detail}")]
    InvalidAddress {
        /// The address.
        address: String,
        /// Cause.
        detail: String,
    },
    /// The key contains characters other than ASCII letters, digits and `-._/`, or is empty.
    #[display("invalid row key {key:?}")]
    InvalidKey {
        /// The key.
        key: String,
    },
    /// The service answered something that the protocol does not allow.
    #[display("row {key:?}: malformed answer: {detail}")]
    Malformed {
        /// Key of the row or prefix of the list.
        key: String,
        /// What was wrong.
        detail: String,
    },
}

impl StoreError {
    /// Reports whether a write that ended with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::LostAnswer { .. } | Self::Indeterminate { .. })
    }

    /// Reports whether the error says something about the health of the service.
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
