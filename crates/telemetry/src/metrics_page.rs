use std::collections::HashMap;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, PoisonError};

use cadence::MetricSink;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Opts, Registry, TextEncoder};

/// Upper bounds of the timer buckets in seconds. They range from the duration of a typical store
/// call to the longest time that a caller waits.
const TIMER_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Maximum number of metric names on one page. Further names are rejected, so that code that
/// generates names by mistake cannot exhaust the memory.
const MAX_SERIES: usize = 200;

#[derive(Debug)]
enum Series {
    Counter(IntCounter),
    Gauge(IntGauge),
    Timer(Histogram),
}

/// The metrics of one process, for collectors that fetch them over HTTP.
#[derive(Debug, Default)]
pub struct MetricsPage {
    registry: Registry,
    series: Mutex<HashMap<String, Series>>,
}

impl MetricsPage {
    /// Returns an empty page.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the page in the Prometheus text format, or an empty string if it cannot be encoded.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            tracing::warn!(%error, "metrics cannot be encoded; returning an empty page");
            String::new()
        })
    }

    /// Updates a series from one metric in the statsd format. Returns `None` if the metric is not
    /// valid, or if its name is new and the page already has [`MAX_SERIES`] names.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, value_and_kind) = metric.split_once(':')?;
        let (value, kind) = value_and_kind.split_once('|')?;
        let kind = kind.split('|').next()?;
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        if !series.contains_key(name) {
            if series.len() >= MAX_SERIES {
                return None;
            }
            series.insert(name.to_owned(), self.register(name, kind)?);
        }
        match series.get(name)? {
            Series::Counter(counter) => counter.inc_by(value.parse().ok()?),
            Series::Gauge(gauge) => gauge.set(value.parse().ok()?),
            Series::Timer(timer) => timer.observe(value.parse::<f64>().ok()? / 1000.0),
        }
        Some(())
    }

    fn register(&self, name: &str, kind: &str) -> Option<Series> {
        let name = name.replace(['.', '-'], "_");
        let help = "see docs/metrics.md";
        match kind {
            "c" => {
                let counter = IntCounter::with_opts(Opts::new(name + "_total", help)).ok()?;
                self.registry.register(Box::new(counter.clone())).ok()?;
                Some(Series::Counter(counter))
            }
            "g" => {
                let gauge = IntGauge::with_opts(Opts::new(name, help)).ok()?;
                self.registry.register(Box::new(gauge.clone())).ok()?;
                Some(Series::Gauge(gauge))
            }
            "ms" => {
                let opts =
                    HistogramOpts::new(name + "_seconds", help).buckets(TIMER_BUCKETS_S.to_vec());
                let timer = Histogram::with_opts(opts).ok()?;
                self.registry.register(Box::new(timer.clone())).ok()?;
                Some(Series::Timer(timer))
            }
            _ => None,
        }
    }
}

/// Records metrics on a page.
#[derive(Debug)]
pub(crate) struct PageSink {
    /// Unwind safety is asserted because a panic during an update loses at most that one update.
    page: AssertUnwindSafe<Arc<MetricsPage>>,
}

impl PageSink {
    pub(crate) fn new(page: Arc<MetricsPage>) -> Self {
        Self { page: AssertUnwindSafe(page) }
    }
}

impl MetricSink for PageSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.page.record(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(io::ErrorKind::InvalidData, metric.to_owned())),
        }
    }
}
