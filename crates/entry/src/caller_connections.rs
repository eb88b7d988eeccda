use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use poem::Addr;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};

/// Response to a caller that did not send complete headers within the time limit. The HTTP server
/// has not received the request yet, so the response is written directly to the connection.
const HEADER_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\nskylarkpulley-outcome: not-run\r\n\r\n";

#[derive(Debug)]
struct Connection {
    /// Whether a handler is processing a request of the connection.
    busy: bool,
    /// Dropped when the caller closes the connection.
    closed: watch::Sender<()>,
}

/// Open connections of callers. When a caller closes its connection, the HTTP server does not drop
/// the handler of its request, and it does not limit the time for headers. This type detects both
/// cases. Clones share their state.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    header_timeout: Duration,
    open: Arc<Mutex<BTreeMap<SocketAddr, Connection>>>,
}

impl CallerConnections {
    /// Returns an empty set of connections. The headers of a request must be complete within
    /// `header_timeout` of their first byte.
    pub fn new(header_timeout: Duration) -> Self {
        Self { header_timeout, open: Arc::default() }
    }

    /// Marks the connection of `remote` as busy until the guard is dropped.
    pub fn mark_busy(&self, remote: &RemoteAddr) -> BusyGuard {
        let Addr::SocketAddr(peer) = remote.0 else {
            return BusyGuard { connections: self.clone(), peer: None };
        };
        self.set_busy(peer, true);
        BusyGuard { connections: self.clone(), peer: Some(peer) }
    }

    /// Waits until the connection of the caller at `remote` is closed.
    pub async fn closed(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return std::future::pending().await };
        let receiver =
            self.with_open(|open| open.get(&peer).map(|connection| connection.closed.subscribe()));
        let Some(mut receiver) = receiver else { return };
        while receiver.changed().await.is_ok() {}
    }

    fn is_busy(&self, peer: SocketAddr) -> bool {
        self.with_open(|open| open.get(&peer).is_some_and(|connection| connection.busy))
    }

    fn set_busy(&self, peer: SocketAddr, busy: bool) {
        self.with_open(|open| {
            if let Some(connection) = open.get_mut(&peer) {
                connection.busy = busy;
            }
        });
    }

    fn with_open<T>(&self, change: impl FnOnce(&mut BTreeMap<SocketAddr, Connection>) -> T) -> T {
        change(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Keeps a connection marked as busy until it is dropped.
#[derive(Debug)]
pub struct BusyGuard {
    connections: CallerConnections,
    peer: Option<SocketAddr>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if let Some(peer) = self.peer {
            self.connections.set_busy(peer, false);
        }
    }
}

/// Accepts callers' connections and adds them to [`CallerConnections`].
pub struct CallerAcceptor {
    connections: CallerConnections,
    listener: TcpListener,
}

impl CallerAcceptor {
    /// Returns the acceptor of `listener`.
    pub fn new(listener: TcpListener, connections: CallerConnections) -> Self {
        Self { connections, listener }
    }
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr().map(|address| LocalAddr(address.into())).into_iter().collect()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let local = stream.local_addr()?;
        let connection = Connection { busy: false, closed: watch::Sender::new(()) };
        self.connections.with_open(|open| open.insert(peer, connection));
        let stream = CallerStream {
            connections: self.connections.clone(),
            header_deadline: None,
            open: true,
            peer,
            stream,
        };
        Ok((stream, LocalAddr(local.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// One caller's connection.
pub struct CallerStream {
    connections: CallerConnections,
    /// Completes at the deadline for the headers of the request that is being received.
    header_deadline: Option<Pin<Box<Sleep>>>,
    open: bool,
    peer: SocketAddr,
    stream: TcpStream,
}

impl CallerStream {
    fn close(&mut self) {
        if std::mem::replace(&mut self.open, false) {
            self.connections.with_open(|open| open.remove(&self.peer));
        }
    }

    /// Returns whether the deadline for the headers has passed.
    fn poll_header_timeout(&mut self, cx: &mut Context<'_>) -> bool {
        if self.connections.is_busy(self.peer) {
            self.header_deadline = None;
        }
        self.header_deadline
            .as_mut()
            .is_some_and(|header_deadline| header_deadline.as_mut().poll(cx).is_ready())
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.close();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (capacity, filled_before) = (buf.remaining(), buf.filled().len());
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) else {
            if !self.poll_header_timeout(cx) {
                return Poll::Pending;
            }
            // If the caller does not read, it sees the connection close without this response.
            let _ = self.stream.try_write(HEADER_TIMEOUT_RESPONSE);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        };
        if read.is_err() || (capacity > 0 && buf.filled().len() == filled_before) {
            self.close();
        } else if self.header_deadline.is_none() && !self.connections.is_busy(self.peer) {
            let deadline = Instant::now() + self.connections.header_timeout;
            self.header_deadline = Some(Box::pin(tokio::time::sleep_until(deadline)));
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
