use super::{JobPlan, Millis};

/// Worth of a job that meets its objective, by class; from the users' sheet of requests.
const WORTH: [f64; 3] = [4.0, 3.0, 1.0];

/// The same for one that is done within three times its objective.
const LATE_WORTH: [f64; 3] = [0.8, 0.9, 0.3];

/// Times the objective after which a job earns nothing.
const LATEST: f64 = 3.0;

/// What a policy earned with a list of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Sum of what was earned.
    pub earned: f64,
    /// Sum of what all jobs would have earned in time.
    pub owed: f64,
    /// Jobs of class 0 that missed their objective.
    pub urgent_late: usize,
    /// Core-seconds that were stopped and done again; an accelerator counts as 8 cores.
    pub waste: f64,
}

impl Score {
    /// Counts a job that was done at `end`, `None` when it never was.
    pub fn count(&mut self, job: &JobPlan, end: Option<Millis>) {
        let class = usize::from(job.class).min(WORTH.len() - 1);
        let longest = job.lengths.iter().max().copied().unwrap_or(0);
        let objective = longest as f64 * job.slack + job.target as f64;
        let took = end.map_or(f64::INFINITY, |end| (end - job.arrival) as f64);
        self.owed += WORTH[class];
        if took <= objective {
            self.earned += WORTH[class];
            return;
        }
        self.urgent_late += usize::from(job.class == 0);
        if took <= objective * LATEST {
            self.earned += LATE_WORTH[class];
        }
    }

    /// Adds another list.
    pub fn add(&mut self, other: &Self) {
        self.earned += other.earned;
        self.owed += other.owed;
        self.urgent_late += other.urgent_late;
        self.waste += other.waste;
    }

    /// Returns what was earned as a share of what could be.
    pub fn share(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }
}
