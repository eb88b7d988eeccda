use std::time::Duration;

use derive_more::Display;
use skylarkpulley_types::{AgentId, Outcome};

/// Something the entry has to do or log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send an attempt of a request to an agent and report its result with the same number.
    Dispatch {
        /// The request.
        id: u64,
        /// The agent of the chosen upstream.
        agent: AgentId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time since the request was submitted.
        waited: Duration,
        /// Time left until the request's deadline.
        budget: Duration,
        /// Why this upstream.
        reason: Reason,
    },
    /// Answer the caller; the request has ended.
    End {
        /// The request.
        id: u64,
        /// What the caller is told.
        outcome: Outcome,
        /// Why it ended.
        reason: Reason,
    },
    /// The agent joined with a session.
    Joined {
        /// The agent.
        agent: AgentId,
    },
    /// The agent's session is silent and has to be closed. If it is not, a report with a recent
    /// sending time brings it back.
    Silent {
        /// The agent.
        agent: AgentId,
        /// The session to close.
        session: u64,
    },
    /// The agent's upstream gets no new work.
    Leaving {
        /// The agent.
        agent: AgentId,
    },
    /// The upstream gets no work until the ejection ends.
    Ejected {
        /// The agent of the upstream.
        agent: AgentId,
        /// Length of the ejection.
        length: Duration,
        /// What made it an outlier.
        reason: Reason,
    },
    /// The upstream is in use again.
    Returned {
        /// The agent of the upstream.
        agent: AgentId,
        /// Why.
        reason: Reason,
    },
}

/// Short reason of a decision, for its log line.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// Another request with the id is open.
    #[display("the request id is in use")]
    DuplicateId,
    /// The route is not in the tables.
    #[display("no such route")]
    UnknownRoute,
    /// The team is not in the pool's table.
    #[display("the team may not use the pool")]
    UnknownTeam,
    /// No upstream of the pool is in use.
    #[display("no upstream is in service")]
    NoUpstream,
    /// The queue of the team and route is full.
    #[display("the team's queue for the route is full")]
    QueueFull,
    /// The expected wait and service exceed the deadline.
    #[display("the expected wait and service exceed the deadline")]
    WaitTooLong,
    /// The request waited and can no longer be answered in time.
    #[display("the deadline can no longer be met")]
    DeadlineUnmeetable,
    /// An edit of the tables removed the route.
    #[display("the route was removed")]
    RouteRemoved,
    /// The less loaded of two sampled upstreams.
    #[display("less loaded of two sampled upstreams")]
    LeastLoaded,
    /// The only upstream that can take the request.
    #[display("only upstream with a free slot")]
    OnlyCandidate,
    /// The upstream is ejected and needs successful probes.
    #[display("probe of an ejected upstream")]
    Probe,
    /// The upstream answered.
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
    /// It is not known whether the request ran.
    #[display("it is not known whether the request ran")]
    OutcomeUnknown,
    /// The route's retry budget is spent.
    #[display("the retry budget of the route is spent")]
    RetryBudgetExhausted,
    /// The request has used all its attempts.
    #[display("all attempts are used")]
    AttemptsExhausted,
    /// The entry withdrew the attempt.
    #[display("withdrawn by the entry")]
    Withdrawn,
    /// The caller went away.
    #[display("cancelled by the caller")]
    Cancelled,
    /// Too many errors in a row.
    #[display("consecutive errors")]
    ConsecutiveErrors,
    /// The error rate exceeds the limit.
    #[display("high error rate")]
    ErrorRate,
    /// The latency exceeds that of the pool.
    #[display("slower than the pool")]
    HighLatency,
    /// A probe of an ejected upstream failed.
    #[display("failed probe")]
    FailedProbe,
    /// The probes of an ejected upstream succeeded.
    #[display("passed probes")]
    PassedProbes,
    /// At most half of a pool may be ejected, and a worse upstream was.
    #[display("needed to keep half of the pool in use")]
    EjectionLimit,
}
