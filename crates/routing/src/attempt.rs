use std::time::Instant;

use skylarkpulley_types::Outcome;

use crate::Reason;

/// Result of one attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The complete answer was received and is not a server error.
    Answered,
    /// The complete answer was received and is a server error (status 500 to 599).
    Errored,
    /// The agent had no free slot or connection. The request was not run.
    Full,
    /// The agent or its upstream is leaving or not serving. The request was not run. The upstream
    /// receives no requests until a report says that it is serving.
    Leaving,
    /// The agent or upstream could not be reached. The request was not run.
    Unreachable,
    /// It is not known whether the request was run.
    Unknown,
    /// The entry dropped the attempt before sending it, for example because the idempotency key had
    /// been used before. The request ends without a further attempt.
    Withdrawn,
}

/// What happens to a request after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// The request has ended. With the outcome `Answered` the entry returns the last answer that it
    /// received.
    Ended {
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Reason why no further attempt follows.
        reason: Reason,
    },
    /// The request waits until `at` and then returns to its previous position in the queue.
    Retry {
        /// End of the back-off.
        at: Instant,
        /// Reason for another attempt.
        reason: Reason,
    },
    /// The request returned to its previous position in the queue.
    Requeued {
        /// Reason why the attempt was not run.
        reason: Reason,
    },
    /// The result matches no running attempt, for example because it was reported twice.
    Ignored,
}
