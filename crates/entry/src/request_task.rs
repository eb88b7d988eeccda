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

/// Time limit of the check whether the idempotency key of a refused request was used before.
const KEY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Processing of one caller's request from admission to its end. After an attempt was dispatched it
/// continues even if the caller closes its connection, so that the end of a request with an
/// idempotency key is always recorded.
pub struct RequestTask {
    /// Shared state of the entry.
    pub hub: Arc<Hub>,
    /// Request queues and selection of upstreams.
    pub router: Router,
    /// Id of the request.
    pub id: String,
    /// Number of the request, unique within this incarnation of the entry.
    pub number: u64,
    /// Time at which the request was accepted.
    pub start: Instant,
    /// Content of the request.
    pub request: CallerRequest,
}

/// End of one dispatch.
enum DispatchEnd {
    /// The attempt was sent or its agent could not be reached.
    Attempt(AttemptEnd),
    /// No attempt was sent because the key could not be reserved; the caller gets this reply.
    Reply(CallerReply),
}

impl RequestTask {
    /// Processes the request until it ends and returns the reply to the caller.
    pub async fn run(self) -> CallerReply {
        let reply = self.serve().await;
        let reply = self.verify_not_run(reply).await;
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
            let end = match self.execute_dispatch(&dispatch).await {
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
                    self.record_event(Event::RequestRetried, &detail);
                    verdict = next;
                }
                Some(NextStep::Done { outcome, reason }) => {
                    let reason = if detail.is_empty() { reason } else { detail };
                    return end_reply(outcome, &reason, false, answer);
                }
                // The router stops with the process. The outcome that this attempt proved is still
                // valid.
                None => return end_reply(end.outcome, &detail, false, answer),
            }
        }
    }

    /// Checks that no earlier attempt with the key of a refused request may have run, because the
    /// caller would read "not run" as a statement about the key. If the key has a recorded answer,
    /// that answer is returned.
    async fn verify_not_run(&self, reply: CallerReply) -> CallerReply {
        // The owner of the key reported a mismatch itself, so no check is needed.
        if reply.outcome != Outcome::NotRun || reply.status == StatusCode::UNPROCESSABLE_ENTITY {
            return reply;
        }
        let Some(key) = self.reservation(&format!("{}.refused", self.id)) else { return reply };
        let deadline = self.hub.clock.now() + KEY_CHECK_TIMEOUT;
        match key.reserve(&self.hub, None, deadline).await {
            ReserveResult::Granted => {
                key.release(&self.hub).await;
                reply
            }
            other => self.repeat_reply(other),
        }
    }

    async fn execute_dispatch(&self, dispatch: &Dispatch) -> DispatchEnd {
        let attempt = format!("{}.{}", self.id, dispatch.attempt);
        let deadline = self.start + self.request.deadline;
        let detail = format!(
            "route {} team {} to {}: {}",
            self.request.route.name, self.request.team, dispatch.agent, dispatch.reason
        );
        self.record_event(Event::RequestRouted, &detail);
        let reservation = self.reservation(&attempt);
        if let Some(reservation) = &reservation {
            match reservation.reserve(&self.hub, Some(dispatch), deadline).await {
                ReserveResult::Granted => self.record_event(Event::KeyReserved, &reservation.key),
                other => return DispatchEnd::Reply(self.repeat_reply(other)),
            }
        }
        let run = self.run_message(&attempt, dispatch);
        let hub = &self.hub;
        let control = &dispatch.control;
        let end = run_attempt(&hub.clients, hub.clock.as_ref(), control, run, deadline).await;
        if let Some(reservation) = reservation {
            self.end_reservation(reservation, &end).await;
        }
        DispatchEnd::Attempt(end)
    }

    /// Ends the reservation of the key. A release is awaited because the key must be free before
    /// the next attempt. An answer is recorded in the background, so that the caller does not wait
    /// for it.
    async fn end_reservation(&self, reservation: KeyReservation, end: &AttemptEnd) {
        if end.outcome == Outcome::NotRun {
            reservation.release(&self.hub).await;
            return;
        }
        let hub = Arc::clone(&self.hub);
        let response = end.response.clone();
        tokio::spawn(async move { reservation.complete(&hub, response).await });
    }

    /// Records that the key was used before and returns the reply that follows from `reserved`.
    fn repeat_reply(&self, reserved: ReserveResult) -> CallerReply {
        let (detail, reply) = match reserved {
            ReserveResult::Answered(response) => {
                ("recorded answer", CallerReply::answered(response))
            }
            ReserveResult::Full => (
                "full",
                CallerReply::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the key was not reserved: its range has reached the limit of records",
                ),
            ),
            ReserveResult::InProgress => (
                "in progress",
                CallerReply::unknown(
                    StatusCode::CONFLICT,
                    "another attempt with this idempotency key is in progress",
                ),
            ),
            ReserveResult::Mismatch => (
                "mismatch",
                CallerReply::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the idempotency key was already used for a request with different content",
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
                    "an earlier attempt with this idempotency key may or may not have run",
                ),
            ),
        };
        self.record_event(Event::KeyRepeated, detail);
        reply
    }

    fn submission(&self) -> Request {
        let elapsed = self.hub.clock.now().saturating_duration_since(self.start);
        Request::new(self.number, &self.request.route.name, &self.request.team)
            .with_deadline(self.request.deadline.saturating_sub(elapsed))
    }

    fn reservation(&self, attempt: &str) -> Option<KeyReservation> {
        if self.request.route.idempotent {
            return None;
        }
        let key = self.request.key.as_ref()?;
        // The route is part of the key, because callers choose keys per route.
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
        let elapsed = self.hub.clock.now().saturating_duration_since(self.start);
        self.hub.metrics.count(event.name());
        self.hub.metrics.time("request", elapsed);
        let detail =
            format!("status {} after {elapsed:?}; {}", reply.status.as_u16(), reply.reason);
        self.record_event(event, &detail);
    }

    fn record_event(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, &self.id, detail);
    }
}

/// Returns the reply at the end of a request. `answer` is the last complete answer of an upstream,
/// if there is one.
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
