use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::socket_owner::SocketOwners;
use crate::{HoldRule, Party, SoakError};

/// Size of the buffer of one direction of a connection in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// Delay before the next connection is accepted after a failure, for example for want of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of times that the owner of a new connection is looked up. It has none once its process has
/// closed it.
const OWNER_ATTEMPTS: u32 = 3;

/// Delay before the owner is looked up again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Proxies between the parties. Each connection is attributed to the process that opened it, and
/// its bytes are held as long as a rule says so. Held bytes are delivered once the rule is gone, also
/// if their sender has closed the connection meanwhile.
#[derive(Clone, Debug)]
pub struct Links {
    owners: Arc<Mutex<BTreeMap<u32, Party>>>,
    rules: Arc<watch::Sender<Vec<HoldRule>>>,
    sockets: SocketOwners,
}

impl Links {
    /// Returns links without rules.
    pub fn new() -> Self {
        let rules = Arc::new(watch::Sender::new(Vec::new()));
        Self { owners: Arc::default(), rules, sockets: SocketOwners::default() }
    }

    /// Records the process of a party.
    pub fn set_owner(&self, pid: u32, party: Party) {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.retain(|_, owner| *owner != party);
        owners.insert(pid, party);
    }

    /// Adds rules.
    pub fn add_rules(&self, rules: Vec<HoldRule>) {
        self.rules.send_modify(|current| current.extend(rules));
    }

    /// Removes the rules of a fault.
    pub fn remove_rules(&self, fault: u64) {
        self.rules.send_modify(|current| current.retain(|rule| rule.fault != fault));
    }

    /// Forwards connections to `listener` to `target` at `address`.
    ///
    /// # Errors
    /// [`SoakError::Io`] when the listener has no address.
    pub fn serve(
        &self,
        listener: TcpListener,
        target: Party,
        address: SocketAddr,
    ) -> Result<SocketAddr, SoakError> {
        let own_address = listener.local_addr().map_err(SoakError::io("address of a proxy"))?;
        let links = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => {
                        let links = links.clone();
                        tokio::spawn(async move {
                            links.forward(stream, peer, target, address).await;
                        });
                    }
                    Err(error) => {
                        eprintln!("proxy before {target} cannot accept a connection: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(own_address)
    }

    async fn forward(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        target: Party,
        address: SocketAddr,
    ) {
        let opened_at = Instant::now();
        let Some(source) = self.owner(&stream, peer, opened_at).await else { return };
        let Ok(upstream) = TcpStream::connect(address).await else { return };
        // Failures show as lost latency only.
        let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
        let (source_read, source_write) = stream.into_split();
        let (target_read, target_write) = upstream.into_split();
        tokio::join!(
            self.pump(source_read, target_write, (source, target), opened_at),
            self.pump(target_read, source_write, (target, source), opened_at),
        );
    }

    async fn owner(
        &self,
        stream: &TcpStream,
        peer: SocketAddr,
        opened_at: Instant,
    ) -> Option<Party> {
        let own = stream.local_addr().ok()?;
        let mut since = opened_at;
        for _ in 0..OWNER_ATTEMPTS {
            let owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let pids = owners.keys().copied().collect();
            if let Some(pid) = self.sockets.find(peer, own, since, pids).await {
                return owners.get(&pid).copied();
            }
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
            since = Instant::now();
        }
        None
    }

    /// Copies bytes in one direction, and closes it when its sender has.
    async fn pump(
        &self,
        mut input: impl AsyncRead + Unpin,
        mut output: impl AsyncWrite + Unpin,
        (from, to): (Party, Party),
        opened_at: Instant,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = input.read(&mut buffer).await.unwrap_or(0);
            self.wait_until_free(from, to, opened_at).await;
            if length == 0 || output.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        // The connection is gone when closing it fails.
        let _ = output.shutdown().await;
    }

    async fn wait_until_free(&self, from: Party, to: Party, opened_at: Instant) {
        let mut rules = self.rules.subscribe();
        let free =
            |rules: &Vec<HoldRule>| !rules.iter().any(|rule| rule.holds(from, to, opened_at));
        // Waiting fails when the play has ended.
        let _ = rules.wait_for(free).await;
    }
}

impl Default for Links {
    fn default() -> Self {
        Self::new()
    }
}
