use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Requests of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassScore {
    /// Name of the kind.
    pub name: &'static str,
    /// Submitted requests.
    pub offered: u64,
    /// Answered within the deadline.
    pub on_time: u64,
    /// Answered after it.
    pub late: u64,
    /// Refused when they were submitted.
    pub refused: u64,
    /// Refused after they had waited.
    pub expired: u64,
    /// Total wait of the latter.
    pub expired_wait: Duration,
    /// Attempts that an agent refused as full, over the whole replay.
    pub full: u64,
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Score {
    /// One per kind.
    pub classes: Vec<ClassScore>,
    /// On-time slot time over the slots of all upstreams, 0 to 1.
    pub useful: f64,
    /// On-time requests a second.
    pub rate: f64,
    /// Attempts that agents refused as full, over all attempts.
    pub full: f64,
    /// Attempts beyond the first, without those refused as full, over first attempts.
    pub retries: f64,
    /// Share of on-time requests by team, over what the team offered.
    pub teams: Vec<f64>,
    /// Largest number of attempts that ran on one upstream at once.
    pub peak_slots: u32,
}

impl ClassScore {
    /// Returns the share of requests that were answered on time.
    pub fn share(&self) -> f64 {
        self.on_time as f64 / self.offered.max(1) as f64
    }
}

impl Display for Score {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for class in &self.classes {
            write!(f, "{} {:6.2} %  ", class.name, class.share() * 100.0)?;
        }
        write!(f, "goodput {:5.1} % of slots, {:6.0} /s  ", self.useful * 100.0, self.rate)?;
        write!(f, "full {:4.1} %  retries {:4.1} %", self.full * 100.0, self.retries * 100.0)
    }
}
