use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use skylarkpulley_telemetry::Metrics;
use tokio::net::TcpListener;

use crate::StartError;

/// Opens a listener on `address`. For port 0 the kernel chooses a free port.
///
/// # Errors
/// [`StartError::Listen`] names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

/// Returns the metrics of a program of `role`. Without an address they are discarded.
///
/// # Errors
/// [`StartError::Metrics`] names the address.
pub fn open_metrics(role: &str, address: Option<SocketAddr>) -> Result<Metrics, StartError> {
    let Some(address) = address else { return Ok(Metrics::new()) };
    Metrics::with_address(role, address).map_err(|source| StartError::Metrics { address, source })
}

/// Returns the incarnation number of a process that starts now: the microseconds since 1970. It is
/// higher than at every earlier start on the same VM, unless the VM's clock is set back by more
/// than the time between two starts.
pub fn new_incarnation() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX)
}
