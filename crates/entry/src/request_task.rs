use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use skylarkpulley_proto::{PROTOCOL_VERSION, v1};
use skylarkpulley_routing::{AttemptResult, Request};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Outcome;

use crate::attempt::{AttemptEnd, run_attempt};
use crate::caller_reply::CallerReply;
use crate::caller_request::CallerRequest;
use crate::dispatch::Dispatch;
use crate::hub::Hub;
use crate::key_client::{KeyReservation, ReserveResult};
use crate::router_task::{NextStep, Router, Verdict, classify};

/// Time to learn whether the key of a refused request was used before.
const PROOF_LIMIT: Duration = Duration::from_millis(500);

/// One caller's request from admission to its end. It outlives the caller's connection once an
/// attempt was dispatched, so that the end of a keyed request is always recorded.
pub struct RequestTask {
    /// Shared state of the entry.
    pub hub: Arc<Hub>,
    /// Queues and choice of upstreams.
    pub router: Router,
    /// Id of the request.
    pub id: String,
    /// Number of the request at this entry.
    pub number: u64,
    /// When the request was accepted.
    pub start: Instant,
    /// The request itself.
    pub request: CallerRequest,
}

/// What became of one dispatch.
enum DispatchEnd {
    /// The attempt ended by itself.
    Attempt(AttemptEnd),
    /// No attempt was sent; the caller gets this reply.
    Reply(CallerReply),
}

impl RequestTask {
    /// Takes the request to its end.
    pub async fn run(self) -> CallerReply {
        let reply = self.serve().await;
        let reply = self.prove_not_run(reply).await;
        self.record(&reply);
        reply
    }

    async fn serve(&self) -> CallerReply {
        let mut verdict = self.router.submit(self.submission());
        let mut answer = None;
        loop {
            let dispatch = match verdict.wait().await {
                Verdict::Dispatch(dispatch) => dispatch,
                Verdict::Ended { outcome, reason, overloaded } => {
                    return end_reply(outcome, &reason, overloaded, answer);
                }
            };
            let end = match self.run_dispatch(&dispatch).await {
                DispatchEnd::Attempt(end) => end,
                DispatchEnd::Reply(reply) => {
                    let withdrawn = AttemptResult::Withdrawn;
                    self.router.finish(self.number, dispatch.attempt, withdrawn).await;
                    return reply;
                }
            };
            let result = classify(&end);
            let detail = end.reason.clone();
            answer = end.response.or(answer);
            match self.router.finish(self.number, dispatch.attempt, result).await {
                Some(NextStep::Retry(next)) => {
                    self.decide(Event::RequestRetried, &detail);
                    verdict = next;
                }
                Some(NextStep::Done { outcome, reason }) => {
                    let text = if detail.is_empty() { reason } else { detail };
                    return end_reply(outcome, &text, false, answer);
                }
                // The router stops with the process; what this attempt proved still holds.
                None => return end_reply(end.outcome, &detail, false, answer),
            }
        }
    }

    /// Checks that no earlier attempt with the key of a refused request may have run: its caller
    /// would take "not run" for the fate of the key. A key that was answered gets its answer.
    async fn prove_not_run(&self, reply: CallerReply) -> CallerReply {
        // A mismatch was judged by the owner itself.
        if reply.outcome != Outcome::NotRun || reply.status == StatusCode::UNPROCESSABLE_ENTITY {
            return reply;
        }
        let Some(claim) = self.claim(&format!("{}.refused", self.id)) else { return reply };
        let deadline = self.hub.clock.now() + PROOF_LIMIT;
        match claim.reserve(&self.hub, None, deadline).await {
            ReserveResult::Granted => {
                claim.release(&self.hub).await;
                reply
            }
            other => self.repeat(other),
        }
    }

    async fn run_dispatch(&self, dispatch: &Dispatch) -> DispatchEnd {
        let attempt = format!("{}.{}", self.id, dispatch.attempt);
        let deadline = self.start + self.request.deadline;
        let detail = format!(
            "route {} team {} to {}: {}",
            self.request.route.name, self.request.team, dispatch.agent, dispatch.reason
        );
        self.decide(Event::RequestRouted, &detail);
        let claim = self.claim(&attempt);
        if let Some(claim) = &claim {
            match claim.reserve(&self.hub, Some(dispatch), deadline).await {
                ReserveResult::Granted => self.decide(Event::KeyReserved, &claim.key),
                other => return DispatchEnd::Reply(self.repeat(other)),
            }
        }
        let run = self.run_message(&attempt, dispatch);
        let hub = &self.hub;
        let control = &dispatch.control;
        let end = run_attempt(&hub.clients, hub.clock.as_ref(), control, run, deadline).await;
        if let Some(claim) = claim {
            self.end_claim(claim, &end).await;
        }
        DispatchEnd::Attempt(end)
    }

    /// Ends the key's reservation. A released key must be free before the request is tried again;
    /// recording an answer does not hold up the caller.
    async fn end_claim(&self, claim: KeyReservation, end: &AttemptEnd) {
        if end.outcome == Outcome::NotRun {
            claim.release(&self.hub).await;
            return;
        }
        let hub = Arc::clone(&self.hub);
        let response = end.response.clone();
        tokio::spawn(async move { claim.complete(&hub, response).await });
    }

    fn repeat(&self, reserved: ReserveResult) -> CallerReply {
        let (detail, reply) = match reserved {
            ReserveResult::Answered(response) => {
                ("recorded answer", CallerReply::answered(response))
            }
            ReserveResult::Full => (
                "full",
                CallerReply::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no more idempotency keys can be recorded now",
                ),
            ),
            ReserveResult::InProgress => (
                "in progress",
                CallerReply::unknown(
                    StatusCode::CONFLICT,
                    "another attempt with this key is in progress",
                ),
            ),
            ReserveResult::Mismatch => (
                "mismatch",
                CallerReply::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the key was used for a request with other content",
                ),
            ),
            ReserveResult::Unavailable(reason) => {
                let text = format!(
                    "{reason}; this attempt was not run, earlier attempts with this key cannot be \
                     ruled out"
                );
                ("unavailable", CallerReply::unknown(StatusCode::BAD_GATEWAY, &text))
            }
            ReserveResult::Granted | ReserveResult::Unknown => (
                "unknown",
                CallerReply::unknown(
                    StatusCode::BAD_GATEWAY,
                    "an earlier attempt with this key may or may not have run",
                ),
            ),
        };
        self.decide(Event::KeyRepeated, detail);
        reply
    }

    fn submission(&self) -> Request {
        let spent = self.hub.clock.now().saturating_duration_since(self.start);
        Request::new(self.number, &self.request.route.name, &self.request.team)
            .with_deadline(self.request.deadline.saturating_sub(spent))
    }

    fn claim(&self, attempt: &str) -> Option<KeyReservation> {
        if self.request.route.idempotent {
            return None;
        }
        let key = self.request.key.as_ref()?;
        // Keys of different routes never collide; callers choose them per route.
        let key = format!("{}/{key}", self.request.route.name);
        Some(KeyReservation { attempt: attempt.to_owned(), digest: self.request.digest().0, key })
    }

    fn run_message(&self, attempt: &str, dispatch: &Dispatch) -> v1::RunRequest {
        v1::RunRequest {
            protocol: PROTOCOL_VERSION,
            attempt: attempt.to_owned(),
            incarnation: dispatch.agent.incarnation,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            budget_ms: 0,
            pool: self.request.route.pool.clone(),
            idempotent: self.request.route.idempotent,
        }
    }

    fn record(&self, reply: &CallerReply) {
        let event = match reply.outcome {
            Outcome::Answered => Event::RequestAnswered,
            Outcome::NotRun => Event::RequestRefused,
            Outcome::Unknown => Event::RequestUnknown,
        };
        let spent = self.hub.clock.now().saturating_duration_since(self.start);
        self.hub.metrics.count(event.name());
        self.hub.metrics.time("request", spent);
        let detail = format!("status {} after {spent:?}; {}", reply.status.as_u16(), reply.reason);
        self.decide(event, &detail);
    }

    fn decide(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, &self.id, detail);
    }
}

/// Renders the end of a request. `answer` is the last whole answer of an upstream, if there is one.
fn end_reply(
    outcome: Outcome,
    reason: &str,
    overloaded: bool,
    answer: Option<v1::Response>,
) -> CallerReply {
    match (outcome, answer) {
        (Outcome::Answered, Some(response)) => CallerReply::answered(response),
        (Outcome::NotRun, _) if overloaded => {
            CallerReply::not_run(StatusCode::TOO_MANY_REQUESTS, reason)
        }
        (Outcome::NotRun, _) => CallerReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason),
        (Outcome::Answered | Outcome::Unknown, _) => {
            CallerReply::unknown(StatusCode::GATEWAY_TIMEOUT, reason)
        }
    }
}
