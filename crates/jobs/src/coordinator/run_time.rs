use super::{Coordinator, step_kind};
use crate::{Job, MAX_LATENESS, Quantile, Step};

/// Factor between an expected run time and its bounds. Callers' estimates are off by a factor of two
/// and more, which puts the 0.2 and 0.8 quantiles of a log-normal run time at 0.56 and 1.8 times the
/// expected one.
const BOUND_FACTOR: f64 = 2.0;

/// Which run time of a step is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunTimeBound {
    /// The expected one.
    Expected,
    /// One that few runs fall below.
    Lower,
    /// One that few runs exceed.
    Upper,
}

impl Coordinator {
    /// Returns the run time of a task of a step in milliseconds.
    pub(super) fn run_time_ms(&self, job: &Job, step: &Step, which: RunTimeBound) -> u64 {
        let kind = step_kind(job, step);
        let median = self.run_times.median_ms(&kind);
        let distribution = self.run_times.expect(&kind).filter(|_| self.run_times.is_used());
        let quantile = |quantile| distribution.map(|time| time.quantile(quantile));
        // Run times are far below 2^53 ms.
        match which {
            RunTimeBound::Expected => median,
            RunTimeBound::Lower => {
                let lower = median as f64 / BOUND_FACTOR;
                quantile(Quantile::Low).map_or(lower, |low| low.min(lower)) as u64
            }
            RunTimeBound::Upper => {
                let upper = median as f64 * BOUND_FACTOR;
                quantile(Quantile::High).map_or(upper, |high| high.max(upper)) as u64
            }
        }
    }

    /// Returns the expected time of the critical path of a job, in milliseconds.
    pub(super) fn expected_critical_path(&self, job: &Job) -> u64 {
        job.critical_path_of(|step| self.run_time_ms(job, step, RunTimeBound::Expected))
    }

    /// Returns an upper bound for the time after its acceptance at which the end of a job is worth
    /// nothing any more, in milliseconds. The objective follows from the real run times, which may be
    /// longer than expected.
    pub(super) fn gain_limit_ms(&self, job: &Job) -> u64 {
        let path = job.critical_path_of(|step| self.run_time_ms(job, step, RunTimeBound::Upper));
        job.objective_ms(path).saturating_mul(MAX_LATENESS)
    }

    /// Returns a lower bound for the time from the start of a step to the end of its job, in
    /// milliseconds.
    pub(super) fn shortest_path_ms(&self, job: &Job, first: u32) -> u64 {
        let mut ends: Vec<Option<u64>> = vec![None; job.steps.len()];
        for (number, step) in job.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|previous| *ends.get(*previous)?).max();
            let start = if number == first as usize { Some(0) } else { before };
            ends[number] =
                start.map(|start| start + self.run_time_ms(job, step, RunTimeBound::Lower));
        }
        ends.into_iter().flatten().max().unwrap_or(0)
    }

    /// Reports whether the objective of a job says how late its end may be. Tables without a slack, and
    /// steps about whose run time nothing is known, give a limit that no end could meet.
    pub(super) fn has_objective(&self, job: &Job) -> bool {
        let upper = |step: &Step| self.run_time_ms(job, step, RunTimeBound::Upper);
        let path = job.critical_path_of(|step| self.run_time_ms(job, step, RunTimeBound::Lower));
        job.steps.iter().all(|step| upper(step) > 0) && self.gain_limit_ms(job) > path
    }

    /// Returns the time in milliseconds within which a step of a job must start so that the job can
    /// still gain anything, or `None` if that time has passed. `waited_ms` is the time since the
    /// acceptance.
    pub(super) fn gain_time_ms(&self, job: &Job, step: u32, waited_ms: u64) -> Option<u64> {
        let latest_start = self.gain_limit_ms(job).checked_sub(self.shortest_path_ms(job, step));
        latest_start?.checked_sub(waited_ms)
    }
}
