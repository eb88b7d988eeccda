use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Failed runs of this many different jobs, without a success in between, mark a worker as faulty.
/// A single job may itself be the cause of its failures.
const MIN_FAILED_JOBS: usize = 2;

/// First quarantine of a faulty worker, doubled with each further one. Twice the run time of a
/// short task, so that a probe run can have ended.
const FIRST_QUARANTINE: Duration = Duration::from_secs(5);

/// Longest quarantine. A repaired worker returns within the run time of a long task.
const MAX_QUARANTINE: Duration = Duration::from_secs(20);

/// Fault of a run that counts as evidence against its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A run failed.
    Failed,
    /// A run made no progress.
    Stalled,
    /// The worker refused a start as unhealthy.
    Unhealthy,
}

/// Health of one worker, derived from the outcome of its runs and not from its own reports.
///
/// Load pattern: on a few workers all runs fail or hang. Since failed runs free the worker at once,
/// such workers attract the most work.
#[derive(Clone, Debug, Default)]
pub struct Health {
    faulted_jobs: BTreeSet<String>,
    quarantined_until: Option<Instant>,
    quarantines: u32,
}

impl Health {
    /// Returns the health of a worker without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records evidence from a run of `job`; returns whether a quarantine starts.
    pub fn record_fault(&mut self, now: Instant, job: &str, fault: Fault) -> bool {
        self.faulted_jobs.insert(job.to_owned());
        if fault == Fault::Failed && self.faulted_jobs.len() < MIN_FAILED_JOBS {
            return false;
        }
        let factor = 1_u32 << self.quarantines.min(4);
        self.quarantined_until = Some(now + (FIRST_QUARANTINE * factor).min(MAX_QUARANTINE));
        self.quarantines += 1;
        true
    }

    /// Records a run that ended as done, which clears all evidence.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Reports whether the worker may get new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.quarantined_until.is_none_or(|quarantined_until| now >= quarantined_until)
    }

    /// Returns the penalty by which the worker is avoided where others have free resources.
    pub fn penalty(&self) -> u32 {
        u32::try_from(self.faulted_jobs.len()).unwrap_or(u32::MAX) + 2 * self.quarantines
    }
}
