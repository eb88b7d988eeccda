use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// One promise with what was observed of it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Promise {
    /// Observations.
    pub cases: u64,
    /// Observations against the promise.
    pub violations: u64,
    /// The first violation, in words.
    pub example: Option<String>,
}

impl Promise {
    /// Counts one observation; `violation` tells what was wrong with it.
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
    /// Requests by their final outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Reasons of refusals.
    pub refusals: BTreeMap<String, u64>,
    /// Times of answered requests.
    pub latencies: Vec<Duration>,
    /// Times from submission to the end of jobs.
    pub completions: Vec<Duration>,
    /// Times from the submission of claims to their start.
    pub claims: Vec<Duration>,
    /// Samples of fragmentation, 0 to 1.
    pub fragmentation: Vec<f64>,
    /// Times from acceptance of an edit until it was in force everywhere.
    pub edits: Vec<Duration>,
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

    /// Reports whether every promise was observed at least once and never broken.
    pub fn is_kept(&self) -> bool {
        self.promises.values().all(|promise| promise.cases > 0 && promise.violations == 0)
    }
}

fn percentile(times: &[Duration], share: f64) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    times.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
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
            mean(&self.completions),
            percentile(&self.completions, 0.99),
            self.completions.len()
        )?;
        writeln!(f, "  claims started after: {:.1?}", self.claims)?;
        writeln!(f, "  fragmentation, mean over time: {:.1} %", fragmentation * 100.0)?;
        writeln!(f, "  edits in force everywhere after: {:.1?}", self.edits)?;
        write!(f, "  most requests at once on one upstream: {}", self.most_active)
    }
}
