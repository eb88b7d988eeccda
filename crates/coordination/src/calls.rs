use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{Job, JobState};
use skylarkpulley_proto::v1;
use tokio::sync::{mpsc, oneshot, watch};

use crate::leader::LeaderMessage;
use crate::leadership::Leadership;
use crate::peer::PeerClients;
use crate::tables_task::TablesAge;

/// Pause before a call that found no leader is tried again, unless the leadership changes first.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after which a call is sent again over a new connection. A write to a slow store takes up to
/// about a second; calls are idempotent.
const ATTEMPT: Duration = Duration::from_millis(1200);

/// When callers should come back after a change of the leader: the time that a takeover takes.
const TAKEOVER_RETRY: Duration = Duration::from_millis(1500);

/// A caller's request about a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobCall {
    /// Hands a job in; idempotent by its id.
    Submit(Box<Job>),
    /// Asks for the state of the job with this id.
    State(String),
    /// Cancels the job with this id.
    Cancel(String),
    /// Asks for the number of jobs of the route with this name that have not started.
    Pending(String),
}

impl JobCall {
    fn changes_state(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::Cancel(_))
    }
}

/// Answer to a [`JobCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum JobAnswer {
    /// The call took effect and is stored.
    Done,
    /// State of the job.
    State(JobState),
    /// Number of jobs that have not started.
    Pending(u64),
    /// There is no such job.
    Absent,
    /// Nothing was done; a job that was handed in never runs.
    Refused {
        /// What binds.
        reason: String,
        /// When to come back.
        retry: Duration,
    },
    /// The receiver does not lead; nothing was done.
    NotLeading,
    /// It cannot be told whether the call took effect.
    Unknown,
}

/// Interface of an entry to the leader, wherever it runs.
#[derive(Clone)]
pub struct JobService {
    age: watch::Receiver<TablesAge>,
    inbox: watch::Receiver<Option<mpsc::Sender<LeaderMessage>>>,
    leadership: watch::Receiver<Leadership>,
    peers: Arc<PeerClients>,
}

impl JobService {
    /// Returns the interface of an entry.
    pub(crate) fn new(
        age: watch::Receiver<TablesAge>,
        inbox: watch::Receiver<Option<mpsc::Sender<LeaderMessage>>>,
        leadership: watch::Receiver<Leadership>,
        peers: Arc<PeerClients>,
    ) -> Self {
        Self { age, inbox, leadership, peers }
    }

    /// Returns what the entry knows of the leadership.
    pub fn leadership(&self) -> Leadership {
        self.leadership.borrow().clone()
    }

    /// Carries out `call` at the leader by `deadline`.
    pub async fn call(&self, call: &JobCall, deadline: Instant) -> JobAnswer {
        let mut leadership = self.leadership.clone();
        let mut uncertain = false;
        loop {
            let known = leadership.borrow_and_update().clone();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return give_up(uncertain);
            }
            let attempt = self.attempt(call, &known, left.min(ATTEMPT));
            let answer = tokio::select! {
                answer = attempt => answer,
                Ok(()) = leadership.changed() => JobAnswer::Unknown,
            };
            match answer {
                // Cut off from the leader and from the store, this entry can only refuse.
                JobAnswer::NotLeading if !uncertain && self.is_isolated() => {
                    return give_up(false);
                }
                JobAnswer::NotLeading => {}
                JobAnswer::Unknown => uncertain |= call.changes_state(),
                answer => return answer,
            }
            let _ = tokio::time::timeout(PAUSE.min(left), leadership.changed()).await;
        }
    }

    fn is_isolated(&self) -> bool {
        !self.leadership.borrow().reachable && !self.age.borrow().answers
    }

    async fn attempt(&self, call: &JobCall, known: &Leadership, limit: Duration) -> JobAnswer {
        let inbox = self.inbox.borrow().clone();
        if let Some(inbox) = inbox {
            return ask(&inbox, call.clone(), limit).await;
        }
        if known.address.is_empty() || known.is_local || (!known.reachable && self.is_isolated()) {
            return JobAnswer::NotLeading;
        }
        let Some(mut client) = self.peers.client(&known.address) else {
            return JobAnswer::NotLeading;
        };
        match tokio::time::timeout(limit, client.job_call(encode(call))).await {
            Ok(Ok(reply)) => decode(reply.into_inner()),
            Ok(Err(status)) => {
                tracing::debug!(address = known.address, status = status.message(), "call failed");
                self.peers.replace(&known.address);
                JobAnswer::Unknown
            }
            Err(_) => {
                self.peers.replace(&known.address);
                JobAnswer::Unknown
            }
        }
    }
}

/// Passes a call to the leader of this process.
pub async fn ask(inbox: &mpsc::Sender<LeaderMessage>, call: JobCall, limit: Duration) -> JobAnswer {
    let (reply, answer) = oneshot::channel();
    if inbox.send(LeaderMessage::Call { call, reply }).await.is_err() {
        return JobAnswer::NotLeading;
    }
    match tokio::time::timeout(limit, answer).await {
        Ok(Ok(answer)) => answer,
        _ => JobAnswer::Unknown,
    }
}

fn give_up(uncertain: bool) -> JobAnswer {
    if uncertain {
        return JobAnswer::Unknown;
    }
    JobAnswer::Refused { reason: "no leader can be reached".to_owned(), retry: TAKEOVER_RETRY }
}

fn encode(call: &JobCall) -> v1::JobCallRequest {
    let (kind, id, job) = match call {
        // A job has string keys only, so that encoding cannot fail.
        JobCall::Submit(job) => {
            (v1::JobCallKind::Submit, job.id.clone(), serde_json::to_vec(job).unwrap_or_default())
        }
        JobCall::State(id) => (v1::JobCallKind::State, id.clone(), Vec::new()),
        JobCall::Cancel(id) => (v1::JobCallKind::Cancel, id.clone(), Vec::new()),
        JobCall::Pending(route) => (v1::JobCallKind::Pending, route.clone(), Vec::new()),
    };
    v1::JobCallRequest { kind: kind.into(), id, job }
}

/// Decodes a call; `None` when it is not one.
pub fn decode_call(request: v1::JobCallRequest) -> Option<JobCall> {
    match request.kind() {
        v1::JobCallKind::Submit => {
            serde_json::from_slice(&request.job).ok().map(|job| JobCall::Submit(Box::new(job)))
        }
        v1::JobCallKind::State => Some(JobCall::State(request.id)),
        v1::JobCallKind::Cancel => Some(JobCall::Cancel(request.id)),
        v1::JobCallKind::Pending => Some(JobCall::Pending(request.id)),
        v1::JobCallKind::Unspecified => None,
    }
}

/// Encodes an answer.
pub fn encode_answer(answer: &JobAnswer) -> v1::JobCallReply {
    let mut reply = v1::JobCallReply::default();
    let outcome = match answer {
        JobAnswer::Done => v1::JobOutcome::Done,
        JobAnswer::State(state) => {
            reply.state = state.name().to_owned();
            v1::JobOutcome::Done
        }
        JobAnswer::Pending(count) => {
            reply.pending = *count;
            reply.detail = "pending".to_owned();
            v1::JobOutcome::Done
        }
        JobAnswer::Absent => v1::JobOutcome::Absent,
        JobAnswer::Refused { reason, retry } => {
            reply.detail.clone_from(reason);
            reply.retry_ms = crate::convert::millis(*retry);
            v1::JobOutcome::Refused
        }
        JobAnswer::NotLeading => v1::JobOutcome::NotLeading,
        JobAnswer::Unknown => v1::JobOutcome::Unknown,
    };
    reply.outcome = outcome.into();
    reply
}

fn decode(reply: v1::JobCallReply) -> JobAnswer {
    match reply.outcome() {
        v1::JobOutcome::Done => match JobState::named(&reply.state) {
            Some(state) => JobAnswer::State(state),
            None if reply.detail == "pending" => JobAnswer::Pending(reply.pending),
            None => JobAnswer::Done,
        },
        v1::JobOutcome::Absent => JobAnswer::Absent,
        v1::JobOutcome::Refused => JobAnswer::Refused {
            reason: reply.detail,
            retry: Duration::from_millis(reply.retry_ms),
        },
        v1::JobOutcome::NotLeading => JobAnswer::NotLeading,
        v1::JobOutcome::Unknown | v1::JobOutcome::Unspecified => JobAnswer::Unknown,
    }
}
