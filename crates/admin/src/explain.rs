use serde::{Deserialize, Serialize};

/// The decisions that the processes recorded about one request, job or member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Id of the request or job, or name of the member.
    pub id: String,
    /// The recorded decisions, oldest first.
    pub lines: Vec<ExplainLine>,
}

/// One recorded decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainLine {
    /// Time since the decision, in milliseconds.
    pub age_ms: u64,
    /// Name of the event, such as `request-routed`.
    pub event: String,
    /// Number of the event in `docs/events.md`.
    pub code: u16,
    /// Name of the process that made the decision.
    pub process: String,
    /// Reason for the decision, as text.
    pub detail: String,
}

impl ExplainLine {
    /// Returns the line for an event that `process` recorded `age_ms` milliseconds ago. A `code`
    /// above 65,535 is recorded as 0.
    pub fn new(process: &str, age_ms: u64, code: u32, event: &str, detail: &str) -> Self {
        Self {
            age_ms,
            event: event.to_owned(),
            code: u16::try_from(code).unwrap_or(0),
            process: process.to_owned(),
            detail: detail.to_owned(),
        }
    }
}
