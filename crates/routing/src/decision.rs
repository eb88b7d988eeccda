use std::time::Duration;

use derive_more::Display;
use skylarkpulley_types::{AgentId, Outcome};

/// An action that the entry must carry out or an event that it must log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send an attempt of a request to an agent, and report its result with the same attempt
    /// number.
    Dispatch {
        /// Id of the request.
        id: u64,
        /// Agent of the selected upstream.
        agent: AgentId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time since the request was submitted.
        waited: Duration,
        /// Time left until the request's deadline.
        budget: Duration,
        /// Reason for the selection of this upstream.
        reason: Reason,
    },
    /// Reply to the caller; the request has ended.
    End {
        /// Id of the request.
        id: u64,
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Reason of the end.
        reason: Reason,
    },
    /// The agent opened a session, or a silent session became active again.
    Joined {
        /// Id of the agent.
        agent: AgentId,
    },
    /// The agent's session sent no report within the time-out and has to be closed. As long as it
    /// is not closed, a report with a recent sending time makes the agent a member again.
    Silent {
        /// Id of the agent.
        agent: AgentId,
        /// Number of the session to close.
        session: u64,
    },
    /// The agent's upstream receives no new requests.
    Leaving {
        /// Id of the agent.
        agent: AgentId,
    },
    /// The upstream receives no requests until the ejection ends.
    Ejected {
        /// Agent of the upstream.
        agent: AgentId,
        /// Duration of the ejection.
        length: Duration,
        /// Reason of the ejection.
        reason: Reason,
    },
    /// The upstream is back in service.
    Returned {
        /// Agent of the upstream.
        agent: AgentId,
        /// Reason of the return.
        reason: Reason,
    },
}

/// Reason of a decision, as a short text for log lines and replies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// Another open request has the same id.
    #[display("the request id is in use")]
    DuplicateId,
    /// The route is not in the tables.
    #[display("no such route")]
    UnknownRoute,
    /// The pool's table does not list the team.
    #[display("the team may not use the pool")]
    UnknownTeam,
    /// No upstream of the pool is in service.
    #[display("no upstream is in service")]
    NoUpstream,
    /// The queue of the team and route is full.
    #[display("the team's queue for the route is full")]
    QueueFull,
    /// The expected wait and service time exceed the deadline.
    #[display("the expected wait and service exceed the deadline")]
    WaitTooLong,
    /// The request can no longer be answered before its deadline.
    #[display("the deadline can no longer be met")]
    DeadlineUnmeetable,
    /// A change of the tables removed the route.
    #[display("the route was removed")]
    RouteRemoved,
    /// The upstream is the less loaded of two that were sampled at random.
    #[display("less loaded of two sampled upstreams")]
    LeastLoaded,
    /// The upstream is the only one that can run the request.
    #[display("only upstream with a free slot")]
    OnlyCandidate,
    /// The upstream was ejected and returns to service only after successful probes.
    #[display("probe of an ejected upstream")]
    Probe,
    /// The upstream returned an answer.
    #[display("answered")]
    Answered,
    /// The upstream answered with a server error.
    #[display("the upstream answered with an error")]
    ServerError,
    /// The agent had no free slot or connection.
    #[display("the agent is full")]
    Full,
    /// The agent or its upstream is leaving.
    #[display("the upstream is leaving")]
    UpstreamLeaving,
    /// The agent or its upstream could not be reached.
    #[display("the upstream could not be reached")]
    Unreachable,
    /// It is not known whether the request was run.
    #[display("it is not known whether the request ran")]
    OutcomeUnknown,
    /// The retry budget of the route is exhausted.
    #[display("the retry budget of the route is exhausted")]
    RetryBudgetExhausted,
    /// The request has used the maximum number of attempts.
    #[display("the maximum number of attempts is reached")]
    AttemptsExhausted,
    /// The entry dropped the attempt before sending it.
    #[display("withdrawn by the entry")]
    Withdrawn,
    /// The caller cancelled the request.
    #[display("cancelled by the caller")]
    Cancelled,
    /// The upstream returned too many consecutive errors.
    #[display("consecutive errors")]
    ConsecutiveErrors,
    /// The error rate of the upstream exceeds the limit.
    #[display("high error rate")]
    ErrorRate,
    /// The latency of the upstream exceeds that of its pool by too much.
    #[display("slower than the pool")]
    HighLatency,
    /// A probe of an ejected upstream failed.
    #[display("failed probe")]
    FailedProbe,
    /// The probes of an ejected upstream succeeded.
    #[display("passed probes")]
    PassedProbes,
    /// At most half of a pool may be ejected, and either members left or a worse upstream was
    /// ejected.
    #[display("at most half of the pool may be ejected")]
    EjectionLimit,
}
