use super::Millis;

/// Speeds of the workers of a mixed pool, in turn.
const MIXED_SPEEDS: [f64; 7] = [1.0, 0.8, 1.25, 1.0, 0.8, 1.25, 1.0];

/// Speeds of the workers of the users' second customer, in turn: by measurement, a run takes 0.6, 1.0
/// or 1.6 times the usual time.
const UNEQUAL_SPEEDS: [f64; 3] = [1.0 / 0.6, 1.0, 1.0 / 1.6];

/// Size and faults of the pool in a replay.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Accelerators that are guaranteed to each team.
    pub guarantee: i64,
    /// Whether the coordinator uses learned run times and speeds of workers.
    pub learns: bool,
    /// Share of the starts that are lost. The worker's agent repeats them.
    pub lost_starts: f64,
    /// Workers that share a rack.
    pub rack: usize,
    /// Interval between two reports of a worker.
    pub report_interval: Millis,
    /// Whether urgent runs that would be late start again elsewhere.
    pub restarts: bool,
    /// Speeds of the workers, in turn.
    pub speeds: Vec<f64>,
    /// Maximum time that a worker takes to stop a run.
    pub stop: Millis,
    /// Times at which the coordinator is replaced by a successor that restores the stored rows.
    pub takeovers: Vec<Millis>,
    /// Number of teams.
    pub teams: usize,
    /// Number of workers.
    pub workers: usize,
}

impl Setup {
    /// Returns the speed of a worker.
    pub fn speed(&self, worker: usize) -> f64 {
        self.speeds[worker % self.speeds.len()]
    }

    /// Returns a pool of 11 workers without faults.
    pub fn small() -> Self {
        Self {
            guarantee: 24,
            learns: true,
            lost_starts: 0.0,
            rack: 3,
            report_interval: 1000,
            restarts: true,
            speeds: vec![1.0],
            stop: 900,
            takeovers: Vec::new(),
            teams: 1,
            workers: 11,
        }
    }

    /// Returns a pool of 240 workers on racks of 12, of which 24 teams hold three fifths.
    pub fn large() -> Self {
        Self { guarantee: 48, rack: 12, stop: 200, teams: 24, workers: 240, ..Self::small() }
    }

    /// Returns the pool of the users' second customer with equal workers.
    pub fn second_customer() -> Self {
        // Racks of eight, so that each has workers of all speeds.
        Self { guarantee: 24, rack: 8, stop: 900, teams: 10, workers: 74, ..Self::small() }
    }

    /// Returns the setup with the speeds of the second customer's workers.
    pub fn with_unequal_speeds(mut self) -> Self {
        self.speeds = UNEQUAL_SPEEDS.to_vec();
        self
    }

    /// Returns the setup without the use of learned run times.
    pub fn without_learning(mut self) -> Self {
        self.learns = false;
        self
    }

    /// Returns the setup with reports as often as agents send them.
    pub fn with_frequent_reports(mut self) -> Self {
        self.report_interval = 200;
        self
    }

    /// Returns the setup without restarts of urgent runs that would be late.
    pub fn without_restarts(mut self) -> Self {
        self.restarts = false;
        self
    }

    /// Returns the setup with this share of lost starts.
    pub fn with_lost_starts(mut self, share: f64) -> Self {
        self.lost_starts = share;
        self
    }

    /// Returns the setup with workers whose speeds differ by a factor of up to 1.6.
    pub fn with_mixed_speeds(mut self) -> Self {
        self.speeds = MIXED_SPEEDS.to_vec();
        self
    }

    /// Returns the setup with takeovers at these times.
    pub fn with_takeovers(mut self, times: &[Millis]) -> Self {
        self.takeovers = times.to_vec();
        self
    }
}
