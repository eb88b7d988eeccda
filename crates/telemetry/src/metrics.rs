use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};

use crate::metrics_page::{MetricsPage, PageSink};

/// Metrics of one process, which are sent in the statsd format over UDP or kept on a page.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Returns metrics that are discarded.
    pub fn new() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink("skylarkpulley", NopMetricSink)) }
    }

    /// Returns metrics that are sent to `address`, each name prefixed by `role`.
    ///
    /// # Errors
    /// An I/O error if no UDP socket can be opened.
    pub fn with_address(role: &str, address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(if address.is_ipv6() { "[::]:0" } else { "0.0.0.0:0" })?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let prefix = format!("skylarkpulley.{role}");
        // The queue is bounded, so that a slow or absent collector does not block the process.
        let client = StatsdClient::from_sink(&prefix, QueuingMetricSink::with_capacity(sink, 4096));
        Ok(Self { client: Arc::new(client) })
    }

    /// Returns metrics that are kept on a page, each name prefixed by `role`, together with the
    /// page.
    pub fn with_page(role: &str) -> (Self, Arc<MetricsPage>) {
        let page = Arc::new(MetricsPage::new());
        let prefix = format!("skylarkpulley.{role}");
        let client = StatsdClient::from_sink(&prefix, PageSink::new(page.clone()));
        (Self { client: Arc::new(client) }, page)
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        // Metrics are best effort, so the error of a full queue is not passed to the caller.
        let _ = self.client.incr(name);
    }

    /// Adds `amount` to the counter `name`.
    pub fn add(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Adds `amount` to the counter `name` of the given labels.
    pub fn add_labelled(&self, name: &str, labels: &[(&str, &str)], amount: i64) {
        let values: Vec<String> = labels.iter().map(|(_, value)| plain(value)).collect();
        let mut counter = self.client.count_with_tags(name, amount);
        for ((label, _), value) in labels.iter().zip(&values) {
            counter = counter.with_tag(label, value);
        }
        // Best effort, as in `count`.
        let _ = counter.try_send();
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration for the timer `name`.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Replaces the characters that separate the parts of a metric in the statsd format.
fn plain(value: &str) -> String {
    value.replace([':', '|', ',', '#', '@', '\n'], "_")
}
