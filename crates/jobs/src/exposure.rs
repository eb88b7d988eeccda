use std::time::Duration;

/// Losses of a task before which it is never blamed: two may be a coincidence.
const MIN_LOSSES: u32 = 3;

/// Probability below which the losses of a task are no coincidence. A sound task is blamed with about
/// this probability at each loss, if workers crash independently of their tasks.
const MAX_COINCIDENCE: f64 = 1e-5;

/// Shortest time that counts for a lost run. A run starts before it is listed, and that its worker has
/// crashed is noticed later; without it, runs that a wave of crashes met at their start counted as if
/// they had hardly been exposed to it.
const MIN_EXPOSURE: Duration = Duration::from_secs(2);

/// Crashes that are added to those seen of other workers, so that a pool without any has a rate.
const PRIOR_CRASHES: f64 = 0.5;

/// How often workers crashed under a task, and how often without it in the same time.
///
/// Load pattern: a task crashes each worker some seconds after its start, when its runs count as
/// having survived it, alone or among waves of crashes that have nothing to do with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Exposure {
    /// Time for which its runs were listed, until their ends or losses, in milliseconds.
    pub exposed_ms: u64,
    /// Workers that crashed under its runs.
    pub losses: u32,
    /// Crashes of workers without it, since shortly before its first loss.
    pub others: u32,
    /// Time for which the workers of its pool were observed meanwhile, summed over the workers, in
    /// milliseconds.
    pub worker_ms: u64,
}

impl Exposure {
    /// Records the time of a run that has ended without a crash of its worker.
    pub fn record_end(&mut self, listed: Duration) {
        self.exposed_ms += milliseconds(listed);
    }

    /// Records the crash of a worker under a run, and what was seen of `workers` workers in the
    /// `window` since the last one.
    pub fn record_loss(
        &mut self,
        listed: Duration,
        window: Duration,
        workers: usize,
        others: usize,
    ) {
        self.record_end(listed.max(MIN_EXPOSURE));
        self.losses += 1;
        self.others += u32::try_from(others).unwrap_or(u32::MAX);
        self.worker_ms += milliseconds(window) * workers as u64;
    }

    /// Reports whether the task has crashed its workers: so many losses in so little time would be a
    /// coincidence at the rate at which workers crash without it.
    pub fn is_conclusive(&self) -> bool {
        self.losses >= MIN_LOSSES && self.coincidence() < MAX_COINCIDENCE
    }

    /// Returns the probability of as many losses or more at the rate of the other crashes.
    pub fn coincidence(&self) -> f64 {
        let without_task = self.worker_ms.saturating_sub(self.exposed_ms).max(1);
        let rate = (f64::from(self.others) + PRIOR_CRASHES) / without_task as f64;
        let expected = rate * self.exposed_ms as f64;
        let mut term = (-expected).exp();
        let mut fewer = 0.0;
        for count in 0..self.losses {
            fewer += term;
            term *= expected / f64::from(count + 1);
        }
        (1.0 - fewer).max(0.0)
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
