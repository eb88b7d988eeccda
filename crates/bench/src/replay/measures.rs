/// Results of one replay or the sum of several. Times are in seconds unless stated otherwise.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Class and completion time of each finished job.
    pub completion_times: Vec<(u8, f64)>,
    /// Completion time of each finished job divided by its run time, of which at least 10 s count.
    pub slowdowns: Vec<f64>,
    /// Time from arrival to first start of jobs with 24 or more accelerators.
    pub large_waits: Vec<f64>,
    /// Time from arrival to first start of claims that arrived while an instance was unclaimed.
    pub claim_waits: Vec<f64>,
    /// Integral of the fragmentation over time, in milliseconds.
    pub fragmentation_integral: f64,
    /// Integral of the share of accelerators in use over time, in milliseconds.
    pub busy_integral: f64,
    /// Measured time in milliseconds.
    pub measured_time: f64,
    /// Accelerator seconds of interrupted runs that were repeated or discarded.
    pub lost_work: f64,
    /// Number of jobs that never ended.
    pub unfinished: usize,
}

impl Measures {
    pub(super) fn sort(&mut self) {
        self.completion_times.sort_by(|a, b| a.1.total_cmp(&b.1));
        for list in [&mut self.slowdowns, &mut self.large_waits, &mut self.claim_waits] {
            list.sort_by(f64::total_cmp);
        }
    }

    /// Adds the results of another replay.
    pub fn add(&mut self, other: &Self) {
        self.completion_times.extend(&other.completion_times);
        self.slowdowns.extend(&other.slowdowns);
        self.large_waits.extend(&other.large_waits);
        self.claim_waits.extend(&other.claim_waits);
        self.fragmentation_integral += other.fragmentation_integral;
        self.busy_integral += other.busy_integral;
        self.measured_time += other.measured_time;
        self.lost_work += other.lost_work;
        self.unfinished += other.unfinished;
        self.sort();
    }

    /// Returns the mean completion time.
    pub fn mean_time(&self) -> f64 {
        mean(self.completion_times.iter().map(|(_, time)| *time))
    }

    /// Returns the mean completion time of the jobs of one class.
    pub fn class_mean_time(&self, class: u8) -> f64 {
        mean(
            self.completion_times
                .iter()
                .filter(|(job_class, _)| *job_class == class)
                .map(|(_, time)| *time),
        )
    }

    /// Returns the quantile of the completion time at `fraction`.
    pub fn time_quantile(&self, fraction: f64) -> f64 {
        let index = (self.completion_times.len() as f64 * fraction) as usize;
        self.completion_times
            .get(index.min(self.completion_times.len().saturating_sub(1)))
            .map_or(0.0, |(_, time)| *time)
    }

    /// Returns the mean slowdown.
    pub fn mean_slowdown(&self) -> f64 {
        mean(self.slowdowns.iter().copied())
    }

    /// Returns the mean wait of jobs with 24 or more accelerators.
    pub fn mean_large_wait(&self) -> f64 {
        mean(self.large_waits.iter().copied())
    }

    /// Returns the fragmentation averaged over time.
    pub fn mean_fragmentation(&self) -> f64 {
        self.fragmentation_integral / self.measured_time.max(1.0)
    }

    /// Returns the share of accelerators in use, averaged over time.
    pub fn utilisation(&self) -> f64 {
        self.busy_integral / self.measured_time.max(1.0)
    }

    /// Returns the number of claims that started within 6.9 s, and the number of all claims that
    /// found an unclaimed instance.
    pub fn claims_met(&self) -> (usize, usize) {
        let met = self.claim_waits.iter().filter(|wait| **wait <= 6.9).count();
        (met, self.claim_waits.len())
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}
