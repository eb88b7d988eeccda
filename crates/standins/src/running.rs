use std::net::SocketAddr;
use std::time::Duration;

use poem::{IntoEndpoint, Server};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::connections::CountingAcceptor;
use crate::{Connections, StandinError};

/// Time within which open requests can complete after a stand-in has been told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A server that runs until it is stopped, killed or dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    connections: Connections,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `endpoint` on `address`; for port 0 the kernel chooses a free port.
    pub(crate) async fn start<E>(
        address: SocketAddr,
        connections: Connections,
        endpoint: E,
    ) -> Result<Self, StandinError>
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listen_error = |source| StandinError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let acceptor = CountingAcceptor::new(listener, address, connections.clone());
        let (stop, mut stop_requested) = watch::channel(false);
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(async move {
            // An error means that the sender has been dropped; the server stops then, too.
            let signal =
                async move { stop_requested.wait_for(|stop| *stop).await.map_or((), |_| ()) };
            let server = Server::new_with_acceptor(acceptor);
            let serving = server.run_with_graceful_shutdown(endpoint, signal, Some(STOP_TIMEOUT));
            if let Err(error) = serving.await {
                tracing::warn!(%address, %error, "stand-in server stopped by an error");
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

    /// Stops accepting connections and waits up to 10 s for open requests to complete.
    pub async fn stop(&mut self) {
        self.stop.send_replace(true);
        (&mut self.task).await.ok();
    }

    /// Closes the listener and all connections at once, as a crash of the process would.
    pub fn kill(&self) {
        self.task.abort();
        self.connections.close_all();
    }
}
