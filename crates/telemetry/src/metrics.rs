use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};

use crate::metrics_page::{MetricsPage, PageSink};

/// Metrics of one process, sent in the statsd format over UDP, or kept on a page.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Returns metrics that are sent nowhere.
    pub fn new() -> Self {
        Self { client: Arc::new(StatsdClient::from_sink("skylarkpulley", NopMetricSink)) }
    }

    /// Returns metrics that are sent to `address`, each name prefixed by `role`.
    ///
    /// # Errors
    /// When no UDP socket can be opened.
    pub fn with_address(role: &str, address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(if address.is_ipv6() { "[::]:0" } else { "0.0.0.0:0" })?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let prefix = format!("skylarkpulley.{role}");
        // A bounded queue: a slow or absent collector must not hold up the process.
        let client = StatsdClient::from_sink(&prefix, QueuingMetricSink::with_capacity(sink, 4096));
        Ok(Self { client: Arc::new(client) })
    }

    /// Returns metrics that are kept on a page, each name prefixed by `role`, and the page.
    pub fn with_page(role: &str) -> (Self, Arc<MetricsPage>) {
        let page = Arc::new(MetricsPage::new());
        let prefix = format!("skylarkpulley.{role}");
        let client = StatsdClient::from_sink(&prefix, PageSink::new(page.clone()));
        (Self { client: Arc::new(client) }, page)
    }

    /// Counts one occurrence of `name`.
    pub fn count(&self, name: &str) {
        // Metrics are best effort; a full queue must not disturb the caller.
        let _ = self.client.incr(name);
    }

    /// Adds `n` to `name`.
    pub fn add(&self, name: &str, n: i64) {
        let _ = self.client.count(name, n);
    }

    /// Sets the gauge `name`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration under `name`.
    pub fn time(&self, name: &str, value: Duration) {
        let _ = self.client.time(name, value);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
