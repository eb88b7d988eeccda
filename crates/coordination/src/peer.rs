use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use skylarkpulley_proto::MAX_MESSAGE_BYTES;
use skylarkpulley_proto::v1::coordination_client::CoordinationClient;
use tonic::transport::{Channel, Endpoint};

/// Time limit for opening a connection between two entries: a few round trips with one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Client of one entry.
pub type PeerClient = CoordinationClient<Channel>;

/// Shared connections to other entries, by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<String, PeerClient>>,
}

impl PeerClients {
    /// Returns an empty set of connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the client for the entry at `address`; connects on first use. `None` when the
    /// address is not valid.
    pub fn client(&self, address: &str) -> Option<PeerClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let client = connect(address)?;
        clients.insert(address.to_owned(), client.clone());
        Some(client)
    }

    /// Drops the connection to `address`, so that the next call opens a new one. A connection can
    /// stop carrying data while new ones work.
    pub fn drop_connection(&self, address: &str) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }
}

/// Returns a client that connects to `address` on its first call.
pub fn connect(address: &str) -> Option<PeerClient> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .ok()?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let client = CoordinationClient::new(endpoint.connect_lazy())
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    Some(client)
}
