use std::str::FromStr;
use std::time::Duration;

use skylarkpulley_store::Fault;

use crate::{StandinError, UpstreamFault, WorkerFault};

const UPSTREAM_FAULTS: &str =
    "must be one of error, slow:<time>, truncated, close, freeze, flap:<time>";
const WORKER_FAULTS: &str = "must be one of fail-tasks, silent, slow-checkpoint:<time>";
const STORE_FAULTS: &str =
    "must be one of outage, slow:<time>, hang, lost-request, lost-answer, stale-read";

impl FromStr for UpstreamFault {
    type Err = StandinError;

    /// Parses a fault such as `close` or `slow:250ms`.
    fn from_str(text: &str) -> Result<Self, StandinError> {
        match split_duration(text) {
            ("error", None) => Ok(Self::Error),
            ("slow", Some(time)) => Ok(Self::Slow(time)),
            ("truncated", None) => Ok(Self::Truncated),
            ("close", None) => Ok(Self::Close),
            ("freeze", None) => Ok(Self::Freeze),
            ("flap", Some(time)) => Ok(Self::Flap(time)),
            _ => Err(unknown_fault(text, UPSTREAM_FAULTS)),
        }
    }
}

impl FromStr for WorkerFault {
    type Err = StandinError;

    /// Parses a fault such as `silent` or `slow-checkpoint:5s`.
    fn from_str(text: &str) -> Result<Self, StandinError> {
        match split_duration(text) {
            ("fail-tasks", None) => Ok(Self::FailTasks),
            ("silent", None) => Ok(Self::Silent),
            ("slow-checkpoint", Some(time)) => Ok(Self::SlowCheckpoint(time)),
            _ => Err(unknown_fault(text, WORKER_FAULTS)),
        }
    }
}

/// Parses a fault of the table service such as `outage` or `slow:10s`.
pub fn parse_store_fault(text: &str) -> Result<Fault, StandinError> {
    match split_duration(text) {
        ("outage", None) => Ok(Fault::Outage),
        ("slow", Some(time)) => Ok(Fault::Slow(time)),
        ("hang", None) => Ok(Fault::Hang),
        ("lost-request", None) => Ok(Fault::LostRequest),
        ("lost-answer", None) => Ok(Fault::LostAnswer),
        ("stale-read", None) => Ok(Fault::StaleRead),
        _ => Err(unknown_fault(text, STORE_FAULTS)),
    }
}

/// Splits `name:time` into the name and the duration. When the time is malformed, the whole text is
/// returned as the name, which no fault matches, so that the caller reports an unknown fault.
fn split_duration(text: &str) -> (&str, Option<Duration>) {
    let Some((name, time)) = text.split_once(':') else { return (text, None) };
    match humantime::parse_duration(time) {
        Ok(time) => (name, Some(time)),
        Err(_) => (text, None),
    }
}

fn unknown_fault(text: &str, allowed: &str) -> StandinError {
    StandinError::Setting { name: "fault", value: text.to_owned(), detail: allowed.to_owned() }
}
