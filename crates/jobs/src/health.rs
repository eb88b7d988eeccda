use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Failures of this many different jobs without a success in between mark a worker as faulty; one
/// job alone may be faulty itself.
const FAULTY_JOBS: usize = 2;

/// First quarantine of a faulty worker; it doubles with each further one. Twice the run time of a
/// short task, so that a probe can have ended.
const FIRST_QUARANTINE: Duration = Duration::from_secs(5);

/// Longest quarantine, so that a repaired worker returns within the length of a long task.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(20);

/// Evidence against a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// A run failed.
    Failed,
    /// A run made no progress.
    Stalled,
    /// The worker refused a start as unhealthy.
    Unhealthy,
}

/// Health of one worker, told from what its runs did and not from what it says.
///
/// Load pattern: a few workers fail or hang all that they start, and since they end work at once
/// they attract the most.
#[derive(Clone, Debug, Default)]
pub struct Health {
    jobs: BTreeSet<String>,
    strikes: u32,
    until: Option<Instant>,
}

impl Health {
    /// Returns the health of a worker without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in evidence from a run of `job`; reports whether a quarantine starts.
    pub fn suspect(&mut self, now: Instant, job: &str, suspicion: Suspicion) -> bool {
        self.jobs.insert(job.to_owned());
        if suspicion == Suspicion::Failed && self.jobs.len() < FAULTY_JOBS {
            return false;
        }
        let factor = 1_u32 << self.strikes.min(4);
        self.until = Some(now + (FIRST_QUARANTINE * factor).min(LONGEST_QUARANTINE));
        self.strikes += 1;
        true
    }

    /// Takes in a run that was done.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Reports whether the worker gets new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns how much the worker is avoided among others with room.
    pub fn penalty(&self) -> u32 {
        u32::try_from(self.jobs.len()).unwrap_or(u32::MAX) + 2 * self.strikes
    }
}
