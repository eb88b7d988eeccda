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

/// Maximum number of series with labels on one page. Further ones are counted under the value
/// `other` of each label, so that the counts by team leave room for the other metrics.
const MAX_LABELLED: usize = 100;

/// Value of the labels of all series beyond [`MAX_LABELLED`].
const OTHER: &str = "other";

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
        let (kind, tags) = kind.split_once("|#").unwrap_or((kind, ""));
        let kind = kind.split('|').next()?;
        let mut labels: Vec<(&str, &str)> =
            tags.split(',').filter_map(|tag| tag.split_once(':')).collect();
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = series_key(name, &labels);
        if !series.contains_key(&key) && !labels.is_empty() {
            let labelled = series.keys().filter(|key| key.contains('{')).count();
            if labelled >= MAX_LABELLED {
                labels.iter_mut().for_each(|label| label.1 = OTHER);
                key = series_key(name, &labels);
            }
        }
        if !series.contains_key(&key) {
            if series.len() >= MAX_SERIES {
                return None;
            }
            let registered = self.register(name, kind, &labels)?;
            series.insert(key.clone(), registered);
        }
        match series.get(&key)? {
            Series::Counter(counter) => counter.inc_by(value.parse().ok()?),
            Series::Gauge(gauge) => gauge.set(value.parse().ok()?),
            Series::Timer(timer) => timer.observe(value.parse::<f64>().ok()? / 1000.0),
        }
        Some(())
    }

    fn register(&self, name: &str, kind: &str, labels: &[(&str, &str)]) -> Option<Series> {
        let name = name.replace(['.', '-'], "_");
        let help = "see docs/metrics.md";
        match kind {
            "c" => {
                let mut opts = Opts::new(name + "_total", help);
                for (label, value) in labels {
                    opts = opts.const_label(*label, *value);
                }
                let counter = IntCounter::with_opts(opts).ok()?;
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

/// Returns the name under which a page keeps a series.
fn series_key(name: &str, labels: &[(&str, &str)]) -> String {
    if labels.is_empty() {
        name.to_owned()
    } else {
        format!("{name}{labels:?}").replacen('[', "{", 1)
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
