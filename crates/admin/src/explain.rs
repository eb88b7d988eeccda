use serde::{Deserialize, Serialize};

/// What the processes recorded about one request, job or member, oldest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The id that was asked for.
    pub id: String,
    /// The recorded decisions.
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
    /// Process that decided.
    pub process: String,
    /// Why, in words.
    pub detail: String,
}

impl ExplainLine {
    /// Returns the line for an event of `process` that is `age` old.
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
