use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use skylarkpulley_types::{Clock, Outcome};

use skylarkpulley_proto::AgentClients;

/// Added to the time left for a run, so that the agent's own time-out normally comes first.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Pause before an attempt is sent again over a new connection.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// How one attempt ended, as far as this entry can prove it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// What is proved.
    pub outcome: Outcome,
    /// Why, for the log and the caller.
    pub reason: String,
    /// Why the attempt was not run, if it was not.
    pub refusal: v1::Refusal,
    /// The whole answer; present exactly when the outcome is `Answered`.
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

/// Sends one attempt to one run of an agent and waits for its end until `deadline`.
///
/// A connection that breaks or goes silent is replaced and the same attempt is sent again to the
/// same incarnation, which deduplicates it; nothing is ever sent to another one.
pub async fn run_attempt(
    clients: &AgentClients,
    clock: &dyn Clock,
    control: &str,
    request: v1::RunRequest,
    deadline: Instant,
) -> AttemptEnd {
    let mut sent = false;
    let mut last = String::new();
    loop {
        let left = deadline.saturating_duration_since(clock.now());
        if left.is_zero() {
            let outcome = if sent { Outcome::Unknown } else { Outcome::NotRun };
            return AttemptEnd::new(outcome, &format!("no answer in time; {last}"));
        }
        let Some(mut client) = clients.client(control) else {
            return AttemptEnd::new(Outcome::NotRun, "the agent's address is not valid");
        };
        let budget_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let call = client.run(v1::RunRequest { budget_ms, ..request.clone() });
        match tokio::time::timeout(left + REPLY_MARGIN, call).await {
            Ok(Ok(reply)) => return judge(&request, reply.into_inner(), sent),
            Ok(Err(status)) => {
                let arrived = may_have_arrived(&status);
                sent |= arrived;
                last = status.message().to_owned();
                // An agent that refuses connections is down; waiting for it would use up the time
                // that another upstream needs.
                if !arrived && !sent {
                    clients.remove(control);
                    return AttemptEnd::new(Outcome::NotRun, &last);
                }
                if !arrived && request.idempotent {
                    clients.remove(control);
                    return AttemptEnd::new(Outcome::Unknown, &last);
                }
            }
            Err(_) => {
                sent = true;
                last = "the agent did not answer".to_owned();
            }
        }
        clients.remove(control);
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

/// A call that failed while connecting never left this process; anything else may have arrived.
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

fn judge(request: &v1::RunRequest, reply: v1::RunReply, sent_before: bool) -> AttemptEnd {
    if reply.attempt != request.attempt {
        return AttemptEnd::new(Outcome::Unknown, "the reply belongs to another attempt");
    }
    let outcome = Outcome::from(reply.outcome());
    let refusal = reply.refusal();
    match (outcome, reply.response) {
        (Outcome::Answered, Some(response)) => {
            AttemptEnd { outcome, reason: String::new(), refusal, response: Some(response) }
        }
        (Outcome::Answered, None) => AttemptEnd::new(Outcome::Unknown, "the reply has no answer"),
        // Another incarnation cannot vouch for the one that may have received the attempt earlier.
        (Outcome::NotRun, _) if sent_before && refusal == v1::Refusal::Incarnation => {
            AttemptEnd::new(Outcome::Unknown, "the agent restarted during the run")
        }
        (outcome, _) => AttemptEnd { outcome, reason: reply.reason, refusal, response: None },
    }
}
