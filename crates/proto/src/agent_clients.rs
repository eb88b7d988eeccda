use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::v1::agent_client::AgentClient;
use crate::{MAX_MESSAGE_BYTES, Secret};
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

/// Client of one agent's control interface; it authenticates with the shared secret.
pub type AgentHandle = AgentClient<InterceptedService<Channel, Secret>>;

/// Interval between HTTP/2 pings on a connection to an agent.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a connection with an unanswered ping is closed. This time, [`PING_INTERVAL`]
/// and the delay before an attempt is sent again add up to less than 2.5 s, the longest time for
/// which a connection that no longer responds may delay an answer. With a time-out of 1.5 s the
/// delay was 2.56 s.
const PING_TIMEOUT: Duration = Duration::from_millis(1400);

/// Shared connections to agents, one for each control address.
#[derive(Debug)]
pub struct AgentClients {
    clients: Mutex<HashMap<String, AgentHandle>>,
    secret: Secret,
}

impl AgentClients {
    /// Returns an empty set of connections that authenticate with `secret`.
    pub fn new(secret: Secret) -> Self {
        Self { clients: Mutex::new(HashMap::new()), secret }
    }

    /// Returns the client for the agent at the address `control` ("ip:port"), or `None` if the
    /// address is not valid. The connection is opened on first use.
    pub fn client(&self, control: &str) -> Option<AgentHandle> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(control) {
            return Some(client.clone());
        }
        let client = self.connect(control)?;
        clients.insert(control.to_owned(), client.clone());
        Some(client)
    }

    /// Removes the client for `control`, so that the next use opens a new connection.
    pub fn remove(&self, control: &str) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(control);
    }

    fn connect(&self, control: &str) -> Option<AgentHandle> {
        let endpoint = Endpoint::from_shared(format!("http://{control}"))
            .ok()?
            .connect_timeout(Duration::from_secs(1))
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let client = AgentClient::with_interceptor(endpoint.connect_lazy(), self.secret.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Some(client)
    }
}
