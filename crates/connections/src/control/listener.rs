use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::Stream;
use skylarkpulley_telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};

use super::stream::{ControlPeer, ControlStream};
use crate::{ClientConnections, RequestLimits, memory_share};

/// Maximum number of connections that have not sent a complete message. Further ones wait in the queue
/// of the kernel, so that no process of the system is turned away when many connect at once.
const MAX_NEWCOMERS: usize = 64;

/// Time after which a connection without a complete message makes room for one that waits. Processes of
/// the system send their first message with the connection.
const NEWCOMER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of messages that are not complete.
const MAX_MESSAGES: usize = 10_000;

/// Part of the memory of a VM that messages may hold that are not complete, as a divisor.
const MESSAGE_SHARE: f64 = 8.0;

/// Memory for messages that are not complete when the memory of the VM is not known.
const DEFAULT_MESSAGE_BYTES: usize = 16 << 20;

/// Pause after a connection could not be accepted, for example because descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Newcomer {
    /// `None` when the connection has been told to close.
    close: Option<oneshot::Sender<()>>,
    since: Instant,
}

/// Connections whose peer has not sent a complete message, in the order of their arrival.
#[derive(Debug, Default)]
pub struct Newcomers {
    /// Notified when one of them is no longer a newcomer.
    changed: Notify,
    open: Mutex<BTreeMap<u64, Newcomer>>,
}

impl Newcomers {
    /// Removes a connection that was confirmed or closed.
    pub fn remove(&self, id: u64) {
        if self.lock().remove(&id).is_some() {
            self.changed.notify_one();
        }
    }

    fn add(&self, id: u64) -> oneshot::Receiver<()> {
        let (close, closed) = oneshot::channel();
        self.lock().insert(id, Newcomer { close: Some(close), since: Instant::now() });
        closed
    }

    /// Waits until there is a place for one more. The oldest one is closed when its time is over.
    async fn wait_for_place(&self) {
        loop {
            let wait = {
                let mut open = self.lock();
                if open.len() < MAX_NEWCOMERS {
                    return;
                }
                let oldest = open.values_mut().find(|newcomer| newcomer.close.is_some());
                let left = oldest.map(|newcomer| {
                    let left = NEWCOMER_TIME.saturating_sub(newcomer.since.elapsed());
                    if left.is_zero()
                        && let Some(close) = newcomer.close.take()
                    {
                        let _ = close.send(());
                    }
                    left
                });
                left.filter(|left| !left.is_zero()).unwrap_or(NEWCOMER_TIME)
            };
            let _ = tokio::time::timeout(wait, self.changed.notified()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Newcomer>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts the connections of other processes of the system.
pub struct ControlListener {
    listener: TcpListener,
    messages: Arc<ClientConnections>,
    newcomers: Arc<Newcomers>,
    next: u64,
}

impl From<TcpListener> for ControlListener {
    fn from(listener: TcpListener) -> Self {
        Self::new(listener, None)
    }
}

impl ControlListener {
    /// Returns the control listener at a socket of a VM with the given memory in MB. Unfinished messages
    /// may hold an eighth of it together, 16 MB if it is not known.
    pub fn new(listener: TcpListener, memory_mb: Option<f64>) -> Self {
        let budget = memory_share(memory_mb, MESSAGE_SHARE, DEFAULT_MESSAGE_BYTES);
        let limits = Arc::new(RequestLimits::default());
        let messages =
            ClientConnections::start_limited(budget, MAX_MESSAGES, limits, Metrics::new());
        Self { listener, messages, newcomers: Arc::default(), next: 0 }
    }

    /// Returns the accepted connections.
    pub fn connections(self) -> impl Stream<Item = io::Result<ControlStream>> {
        futures::stream::unfold(self, |mut listener| async move {
            Some((Ok(listener.accept().await), listener))
        })
    }

    async fn accept(&mut self) -> ControlStream {
        loop {
            self.newcomers.wait_for_place().await;
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    // Without TCP_NODELAY, replies on a new connection wait for a delayed
                    // acknowledgement of 40 ms.
                    let _ = stream.set_nodelay(true);
                    let id = self.next;
                    self.next += 1;
                    let close = self.newcomers.add(id);
                    let (messages, newcomers) = (self.messages.clone(), self.newcomers.clone());
                    let peer = ControlPeer { address: address.ip(), id, messages, newcomers };
                    return ControlStream::new(stream, peer, close);
                }
                Err(error) => {
                    tracing::debug!(%error, "cannot accept a control connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
