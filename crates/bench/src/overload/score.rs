use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Results of the requests of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindScore {
    /// Name of the kind.
    pub name: &'static str,
    /// Number of submitted requests.
    pub offered: u64,
    /// Number of requests answered within the deadline.
    pub on_time: u64,
    /// Number of requests answered after the deadline.
    pub late: u64,
    /// Number of requests refused at submission.
    pub refused: u64,
    /// Number of requests refused after a wait in the queue.
    pub expired: u64,
    /// Total wait of the requests in `expired`.
    pub expired_wait: Duration,
    /// Number of attempts that an agent refused as full, in the whole replay including the warm-up.
    pub full_attempts: u64,
}

/// Results of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Score {
    /// Results by kind of request.
    pub kinds: Vec<KindScore>,
    /// Slot time of the requests answered on time, as a share (0 to 1) of the slot time of all
    /// upstreams.
    pub goodput: f64,
    /// Requests answered on time per second.
    pub timely_rate: f64,
    /// Attempts that agents refused as full, divided by all attempts.
    pub full_share: f64,
    /// Repeated attempts, without those refused as full, divided by first attempts.
    pub retry_ratio: f64,
    /// Requests answered on time as a share of the submitted requests, by team.
    pub team_shares: Vec<f64>,
    /// Maximum number of attempts that ran at the same time on one upstream.
    pub peak_slots: u32,
}

impl KindScore {
    /// Returns the share of the submitted requests that were answered on time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.offered.max(1) as f64
    }
}

impl Display for Score {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for kind in &self.kinds {
            write!(f, "{} {:6.2} %  ", kind.name, kind.on_time_share() * 100.0)?;
        }
        write!(
            f,
            "goodput {:5.1} % of slots, {:6.0} /s  ",
            self.goodput * 100.0,
            self.timely_rate
        )?;
        write!(
            f,
            "full {:4.1} %  retries {:4.1} %",
            self.full_share * 100.0,
            self.retry_ratio * 100.0
        )
    }
}
