use super::{JobPlan, Millis};

/// Value of a job that meets its objective, by class; from the request sheet of the users.
const ON_TIME_VALUE: [f64; 3] = [4.0, 3.0, 1.0];

/// Value of a job that misses its objective but completes within three times the objective, by
/// class.
const LATE_VALUE: [f64; 3] = [0.8, 0.9, 0.3];

/// Multiple of the objective after which a job has no value.
const LATE_LIMIT: f64 = 3.0;

/// Value that a policy earned with a list of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Sum of the values of the completed jobs.
    pub earned: f64,
    /// Sum of the values that all jobs would have earned by meeting their objectives.
    pub potential: f64,
    /// Number of jobs of class 0.
    pub urgent: usize,
    /// Number of jobs of class 0 that missed their objective.
    pub urgent_late: usize,
    /// Core-seconds of lost work, which stopped tasks must repeat; an accelerator counts as 8
    /// cores.
    pub waste: f64,
}

impl Score {
    /// Counts a job that completed at `end`, or never if `end` is `None`.
    pub fn count(&mut self, job: &JobPlan, end: Option<Millis>) {
        let class = usize::from(job.class).min(ON_TIME_VALUE.len() - 1);
        let longest = job.lengths.iter().max().copied().unwrap_or(0);
        let objective = longest as f64 * job.slack + job.target as f64;
        let completion_time = end.map_or(f64::INFINITY, |end| (end - job.arrival) as f64);
        self.potential += ON_TIME_VALUE[class];
        self.urgent += usize::from(job.class == 0);
        if completion_time <= objective {
            self.earned += ON_TIME_VALUE[class];
            return;
        }
        self.urgent_late += usize::from(job.class == 0);
        if completion_time <= objective * LATE_LIMIT {
            self.earned += LATE_VALUE[class];
        }
    }

    /// Adds the score of another list of jobs.
    pub fn add(&mut self, other: &Self) {
        self.earned += other.earned;
        self.potential += other.potential;
        self.urgent += other.urgent;
        self.urgent_late += other.urgent_late;
        self.waste += other.waste;
    }

    /// Returns the earned value as a share of the potential value.
    pub fn earned_share(&self) -> f64 {
        self.earned / self.potential.max(f64::MIN_POSITIVE)
    }
}
