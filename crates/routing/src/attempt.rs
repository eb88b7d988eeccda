use std::time::Instant;

use skylarkpulley_types::Outcome;

use crate::Reason;

/// How one attempt of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The whole answer arrived and is no server error.
    Answered,
    /// The whole answer arrived and is a server error (status 500 to 599).
    Errored,
    /// The agent had no free slot or connection. The request was not run.
    Full,
    /// The agent or its upstream is leaving or not serving. The request was not run, and the
    /// upstream gets no work until a report says that it serves.
    Leaving,
    /// The agent or upstream could not be reached. The request was not run.
    Unreachable,
    /// The attempt ended without proof of whether the request ran.
    Unknown,
    /// The entry gave the attempt up before sending it, for example because its idempotency key was
    /// a repeat. The request ends without a further attempt.
    Withdrawn,
}

/// What becomes of a request after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAction {
    /// The request has ended. `Answered` passes on the last answer that the entry received.
    Ended {
        /// What the caller is told.
        outcome: Outcome,
        /// Why no further attempt follows.
        reason: Reason,
    },
    /// The request waits for `at` and then queues again at its old place.
    Retry {
        /// End of the back-off.
        at: Instant,
        /// Why another attempt follows.
        reason: Reason,
    },
    /// The request is back in its old place in the queue.
    Requeued {
        /// Why the attempt was not run.
        reason: Reason,
    },
    /// The result belongs to no running attempt, for example because it was reported twice.
    Ignored,
}
