use derive_more::{Display, Error};

/// Why a deployment cannot run.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DemoError {
    /// An entry did not accept an edit of the tables.
    #[display("the entry did not accept the edit of the tables: {detail}")]
    Apply {
        /// The reply of the entry, or the error of the call.
        detail: String,
    },
    /// A program did not start.
    #[display("failed to start a program: {detail}")]
    Start {
        /// The cause.
        detail: String,
    },
    /// A condition did not become true within the time limit.
    #[display("timed out waiting for {condition}")]
    TimedOut {
        /// The condition that was waited for.
        condition: String,
    },
}
