use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use skylarkpulley_types::{Clock, Outcome};

use skylarkpulley_proto::AgentClients;

/// Added to the remaining time as the time limit of the call, so that normally the agent's own
/// time-out ends the attempt first.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Delay before an attempt is sent again over a new connection.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// End of one attempt, as far as this entry can prove it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Proved outcome.
    pub outcome: Outcome,
    /// Reason, for the log and the caller.
    pub reason: String,
    /// Why the attempt did not run, for the outcome `NotRun`.
    pub refusal: v1::Refusal,
    /// Complete answer; present exactly when the outcome is `Answered`.
    pub response: Option<v1::Response>,
}

impl AttemptEnd {
    fn new(outcome: Outcome, reason: &str) -> Self {
        let refusal = match outcome {
            Outcome::NotRun => v1::Refusal::Unreachable,
            Outcome::Answered | Outcome::Unknown => v1::Refusal::Unspecified,
        };
        Self { outcome, reason: reason.to_owned(), refusal, response: None }
    }
}

/// Sends one attempt to one incarnation of an agent and waits until `deadline` for its end.
///
/// When a connection breaks or its reply is overdue, the connection is replaced and the attempt is
/// sent again to the same incarnation, which deduplicates it. The attempt is never sent to another
/// incarnation.
pub async fn run_attempt(
    clients: &AgentClients,
    clock: &dyn Clock,
    control: &str,
    request: v1::RunRequest,
    deadline: Instant,
) -> AttemptEnd {
    let mut sent = false;
    let mut last_error = String::new();
    loop {
        let remaining = deadline.saturating_duration_since(clock.now());
        if remaining.is_zero() {
            let outcome = if sent { Outcome::Unknown } else { Outcome::NotRun };
            return AttemptEnd::new(
                outcome,
                &format!("no answer before the deadline; last error: {last_error}"),
            );
        }
        let Some(mut client) = clients.client(control) else {
            return AttemptEnd::new(
                Outcome::NotRun,
                "the control address of the agent is not valid",
            );
        };
        let budget_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let call = client.run(v1::RunRequest { budget_ms, ..request.clone() });
        match tokio::time::timeout(remaining + REPLY_MARGIN, call).await {
            Ok(Ok(reply)) => return classify_reply(&request, reply.into_inner(), sent),
            Ok(Err(status)) => {
                let may_have_arrived = may_have_arrived(&status);
                sent |= may_have_arrived;
                last_error = status.message().to_owned();
                // An agent that refuses connections is down. Waiting for it would use up the time
                // for an attempt at another upstream.
                if !may_have_arrived && !sent {
                    clients.remove(control);
                    return AttemptEnd::new(Outcome::NotRun, &last_error);
                }
                if !may_have_arrived && request.idempotent {
                    clients.remove(control);
                    return AttemptEnd::new(Outcome::Unknown, &last_error);
                }
            }
            Err(_) => {
                sent = true;
                last_error = "the agent did not answer the run call in time".to_owned();
            }
        }
        clients.remove(control);
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

/// Returns whether the agent may have received the request. A call that failed while connecting was
/// never sent; after any other error the agent may have received it.
fn may_have_arrived(status: &tonic::Status) -> bool {
    use std::error::Error;
    let mut source = status.source();
    while let Some(error) = source {
        if error.downcast_ref::<tonic::ConnectError>().is_some() {
            return false;
        }
        source = error.source();
    }
    true
}

fn classify_reply(request: &v1::RunRequest, reply: v1::RunReply, sent_earlier: bool) -> AttemptEnd {
    if reply.attempt != request.attempt {
        return AttemptEnd::new(Outcome::Unknown, "the agent replied about another attempt");
    }
    let outcome = Outcome::from(reply.outcome());
    let refusal = reply.refusal();
    match (outcome, reply.response) {
        (Outcome::Answered, Some(response)) => {
            AttemptEnd { outcome, reason: String::new(), refusal, response: Some(response) }
        }
        (Outcome::Answered, None) => AttemptEnd::new(
            Outcome::Unknown,
            "the agent reported an answer but its reply contains none",
        ),
        // The refusal comes from a new incarnation. The previous one may have received the attempt
        // and run it.
        (Outcome::NotRun, _) if sent_earlier && refusal == v1::Refusal::Incarnation => {
            AttemptEnd::new(Outcome::Unknown, "the agent restarted after the attempt was sent")
        }
        (outcome, _) => AttemptEnd { outcome, reason: reply.reason, refusal, response: None },
    }
}
