use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use skylarkpulley_telemetry::Metrics;
use tokio::net::TcpListener;

use crate::StartError;

/// Opens a listener on `address`; port 0 lets the kernel choose one.
///
/// # Errors
/// [`StartError::Listen`] names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

/// Returns the metrics of a program of `role`, which are sent nowhere without an address.
///
/// # Errors
/// [`StartError::Metrics`] names the address.
pub fn open_metrics(role: &str, address: Option<SocketAddr>) -> Result<Metrics, StartError> {
    let Some(address) = address else { return Ok(Metrics::new()) };
    Metrics::with_address(role, address).map_err(|source| StartError::Metrics { address, source })
}

/// Returns the microseconds since 1970: higher than at any earlier start on the same VM, as long as
/// the VM's clock is not set back by more than the time between two starts.
pub fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
