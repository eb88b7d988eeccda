use poem::http::{HeaderName, HeaderValue, StatusCode};
use poem::{Request, Response};
use serde::Serialize;
use skylarkpulley_process::json_reply;
use skylarkpulley_proto::v1;
use skylarkpulley_types::Outcome;

use crate::caller_request::KEY_HEADER;

/// Header with the outcome of a request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("skylarkpulley-outcome");

/// Header with the id of a request, by which `explain` finds its records.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("skylarkpulley-request");

/// Reply to a caller; see docs/wire.md.
#[derive(Clone, Debug)]
pub struct CallerReply {
    /// Status code.
    pub status: StatusCode,
    /// Proved outcome of the request.
    pub outcome: Outcome,
    /// Reason of an outcome other than `Answered`.
    pub reason: String,
    /// Complete answer of the upstream, for the outcome `Answered`.
    pub response: Option<v1::Response>,
}

#[derive(Serialize)]
struct Body<'a> {
    outcome: Outcome,
    reason: &'a str,
    request: &'a str,
}

impl CallerReply {
    /// Returns the reply that forwards an upstream's answer. An answer without a valid HTTP status
    /// is reported as `Unknown`.
    pub fn answered(response: v1::Response) -> Self {
        let status = u16::try_from(response.status).ok();
        let status = status.and_then(|code| StatusCode::from_u16(code).ok());
        match status {
            Some(status) => Self {
                status,
                outcome: Outcome::Answered,
                reason: String::new(),
                response: Some(response),
            },
            None => Self::unknown(
                StatusCode::BAD_GATEWAY,
                "the upstream answered with an invalid HTTP status; the request has run",
            ),
        }
    }

    /// Returns the reply to a request that was proved not to have run.
    pub fn not_run(status: StatusCode, reason: &str) -> Self {
        Self { status, outcome: Outcome::NotRun, reason: reason.to_owned(), response: None }
    }

    /// Returns the refusal of a request that was not read. This attempt did not run, but the entry
    /// does not know whether an earlier attempt with the same idempotency key did.
    pub fn unread(request: &Request, reason: &str) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        if request.header(KEY_HEADER).is_none() {
            return Self::not_run(status, reason);
        }
        let text = format!(
            "{reason}; this attempt was not run, earlier attempts with this key cannot be ruled out"
        );
        Self::unknown(status, &text)
    }

    /// Returns the reply to a request that may or may not have run.
    pub fn unknown(status: StatusCode, reason: &str) -> Self {
        Self { status, outcome: Outcome::Unknown, reason: reason.to_owned(), response: None }
    }

    /// Converts the reply to the HTTP response to request `id`.
    pub fn into_response(self, id: &str) -> Response {
        let mut response = match self.response {
            Some(answer) => render_answer(self.status, answer),
            None => render_refusal(self.status, self.outcome, &self.reason, id),
        };
        let headers = response.headers_mut();
        // An upstream that is itself served through skylarkpulley may have set these headers;
        // `insert` replaces them.
        if let Ok(value) = HeaderValue::from_str(&self.outcome.to_string()) {
            headers.insert(OUTCOME_HEADER, value);
        }
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(REQUEST_HEADER, value);
        }
        response
    }
}

fn render_answer(status: StatusCode, answer: v1::Response) -> Response {
    let mut response = Response::builder().status(status).body(answer.body);
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&header.value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn render_refusal(status: StatusCode, outcome: Outcome, reason: &str, id: &str) -> Response {
    json_reply(status, &Body { outcome, reason, request: id })
}
