/// Results of one replay, or of several added up. Times in seconds.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Class and completion time of each finished job.
    pub times: Vec<(u8, f64)>,
    /// Completion time divided by run time.
    pub slowdowns: Vec<f64>,
    /// Time until the first start of jobs of 24 or more accelerators.
    pub large_waits: Vec<f64>,
    /// Time until the first start of claims that arrived while an instance was unclaimed.
    pub claim_waits: Vec<f64>,
    /// Integral over time of the fragmentation, in milliseconds.
    pub fragmentation: f64,
    /// Integral over time of the share of accelerators in use, in milliseconds.
    pub busy: f64,
    /// Measured time, in milliseconds.
    pub span: f64,
    /// Accelerator seconds that were run again or thrown away.
    pub lost: f64,
    /// Jobs that never finished.
    pub unfinished: usize,
}

impl Measures {
    pub(super) fn finish(&mut self) {
        self.times.sort_by(|a, b| a.1.total_cmp(&b.1));
        for list in [&mut self.slowdowns, &mut self.large_waits, &mut self.claim_waits] {
            list.sort_by(f64::total_cmp);
        }
    }

    /// Adds another replay.
    pub fn add(&mut self, other: &Self) {
        self.times.extend(&other.times);
        self.slowdowns.extend(&other.slowdowns);
        self.large_waits.extend(&other.large_waits);
        self.claim_waits.extend(&other.claim_waits);
        self.fragmentation += other.fragmentation;
        self.busy += other.busy;
        self.span += other.span;
        self.lost += other.lost;
        self.unfinished += other.unfinished;
        self.finish();
    }

    /// Mean completion time.
    pub fn mean(&self) -> f64 {
        mean(self.times.iter().map(|(_, time)| *time))
    }

    /// Mean completion time of one class.
    pub fn class_mean(&self, class: u8) -> f64 {
        mean(self.times.iter().filter(|(one, _)| *one == class).map(|(_, time)| *time))
    }

    /// Quantile of the completion time.
    pub fn quantile(&self, part: f64) -> f64 {
        let ix = (self.times.len() as f64 * part) as usize;
        self.times.get(ix.min(self.times.len().saturating_sub(1))).map_or(0.0, |(_, time)| *time)
    }

    /// Mean slowdown.
    pub fn slowdown(&self) -> f64 {
        mean(self.slowdowns.iter().copied())
    }

    /// Mean wait of the largest jobs.
    pub fn large_wait(&self) -> f64 {
        mean(self.large_waits.iter().copied())
    }

    /// Fragmentation averaged over time.
    pub fn mean_fragmentation(&self) -> f64 {
        self.fragmentation / self.span.max(1.0)
    }

    /// Share of accelerators in use, averaged over time.
    pub fn utilisation(&self) -> f64 {
        self.busy / self.span.max(1.0)
    }

    /// Claims that started within 6.9 s, and all claims.
    pub fn claims_met(&self) -> (usize, usize) {
        let met = self.claim_waits.iter().filter(|wait| **wait <= 6.9).count();
        (met, self.claim_waits.len())
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}
