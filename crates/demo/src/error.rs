use derive_more::{Display, Error};

/// Why a deployment cannot run.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DemoError {
    /// An edit of the tables was not accepted.
    #[display("the tables were not accepted: {detail}")]
    Apply {
        /// The entry's answer.
        detail: String,
    },
    /// A program did not start.
    #[display("a program did not start: {detail}")]
    Start {
        /// The cause.
        detail: String,
    },
    /// Something did not happen in time.
    #[display("{what} did not happen within the time limit")]
    TimedOut {
        /// What was waited for.
        what: String,
    },
}
