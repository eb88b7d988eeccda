use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Number of observations of one promise, and of violations among them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Promise {
    /// Observations.
    pub cases: u64,
    /// Observations that violate the promise.
    pub violations: u64,
    /// Description of the first violation.
    pub example: Option<String>,
}

impl Promise {
    /// Counts one observation; `violation` describes how it violates the promise.
    pub fn observe(&mut self, violation: Option<String>) {
        self.cases += 1;
        if violation.is_some() {
            self.violations += 1;
        }
        if self.example.is_none() {
            self.example = violation;
        }
    }
}

/// Result of one deployment.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    /// Name of the deployment.
    pub name: String,
    /// Promises in the order of the design page.
    pub promises: BTreeMap<&'static str, Promise>,
    /// Number of requests by final outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of requests without an answer by the reason of their last refusal.
    pub refusals: BTreeMap<String, u64>,
    /// Latencies of answered requests.
    pub latencies: Vec<Duration>,
    /// Times from submission to the end of jobs.
    pub completion_times: Vec<Duration>,
    /// Times from the submission of a claim to its start.
    pub claim_waits: Vec<Duration>,
    /// Samples of fragmentation, from 0 to 1.
    pub fragmentation: Vec<f64>,
    /// Times from the submission of an edit until every entry and agent used it.
    pub edit_times: Vec<Duration>,
    /// Highest number of requests that one upstream ran at once.
    pub most_active: usize,
}

impl DemoReport {
    /// Returns the report of the deployment called `name`, with no observation of any promise yet.
    pub fn new(name: &str, promises: &[&'static str]) -> Self {
        let promises = promises.iter().map(|promise| (*promise, Promise::default())).collect();
        Self { name: name.to_owned(), promises, ..Self::default() }
    }

    /// Counts one observation of a promise.
    pub fn observe(&mut self, promise: &'static str, violation: Option<String>) {
        self.promises.entry(promise).or_default().observe(violation);
    }

    /// Returns the number of violations.
    pub fn violations(&self) -> u64 {
        self.promises.values().map(|promise| promise.violations).sum()
    }

    /// Reports whether every promise was observed at least once and never violated.
    pub fn is_kept(&self) -> bool {
        self.promises.values().all(|promise| promise.cases > 0 && promise.violations == 0)
    }
}

fn percentile(times: &[Duration], fraction: f64) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    times.get((last as f64 * fraction).round() as usize).copied().unwrap_or_default()
}

fn mean(times: &[Duration]) -> Duration {
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX).max(1);
    times.iter().sum::<Duration>() / count
}

impl Display for DemoReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.name)?;
        writeln!(f, "  {:<62} {:>8} {:>10}", "promise", "cases", "violations")?;
        for (name, promise) in &self.promises {
            writeln!(f, "  {name:<62} {:>8} {:>10}", promise.cases, promise.violations)?;
            if let Some(example) = &promise.example {
                writeln!(f, "      for example: {example}")?;
            }
        }
        let samples = self.fragmentation.len().max(1) as f64;
        let fragmentation = self.fragmentation.iter().sum::<f64>() / samples;
        writeln!(f, "  requests by outcome: {:?}", self.outcomes)?;
        writeln!(f, "  refusals: {:?}", self.refusals)?;
        writeln!(
            f,
            "  request time: p50 {:.1?}, p99 {:.1?}",
            percentile(&self.latencies, 0.5),
            percentile(&self.latencies, 0.99)
        )?;
        writeln!(
            f,
            "  job completion time: mean {:.1?}, p99 {:.1?} over {} jobs",
            mean(&self.completion_times),
            percentile(&self.completion_times, 0.99),
            self.completion_times.len()
        )?;
        writeln!(f, "  claims started after: {:.1?}", self.claim_waits)?;
        writeln!(f, "  fragmentation, mean over time: {:.1} %", fragmentation * 100.0)?;
        writeln!(f, "  edits in force everywhere after: {:.1?}", self.edit_times)?;
        write!(f, "  most requests at once on one upstream: {}", self.most_active)
    }
}
