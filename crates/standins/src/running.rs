use std::net::SocketAddr;
use std::time::Duration;

use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connections::CountingAcceptor;
use crate::{Connections, StandinError};

/// Time that open requests get to finish when a stand-in is stopped.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// A server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    connections: Connections,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `endpoint` on `address`; port 0 lets the kernel choose one.
    pub(crate) async fn start<E>(
        address: SocketAddr,
        connections: Connections,
        endpoint: E,
    ) -> Result<Self, StandinError>
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let failed = |source| StandinError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let acceptor = CountingAcceptor::new(listener, address, connections.clone());
        let (stop, mut stopped) = watch::channel(false);
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(async move {
            // An error means that the sender is gone, which stops the server as well.
            let signal = async move { stopped.wait_for(|stop| *stop).await.map_or((), |_| ()) };
            let server = Server::new_with_acceptor(acceptor);
            let ended = server.run_with_graceful_shutdown(endpoint, signal, Some(DRAIN_LIMIT));
            if let Err(error) = ended.await {
                tracing::warn!(%address, %error, "stand-in stopped");
            }
        });
        Ok(Self { address, connections, stop, task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the counters of the server's connections.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Stops accepting connections and waits for open requests, at most 10 s.
    pub async fn stop(&mut self) {
        self.stop.send_replace(true);
        (&mut self.task).await.ok();
    }

    /// Closes everything at once, as the death of the process would.
    pub fn kill(&self) {
        self.task.abort();
        self.connections.cut_all();
    }
}
