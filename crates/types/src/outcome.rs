use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The outcome of a request, as far as the system can prove it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's whole answer was passed to the caller.
    #[display("answered")]
    Answered,
    /// The request is proved not to have run.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Parses the value of an outcome header; `None` if it is not one of the outcomes.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "answered" => Some(Self::Answered),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}
