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

/// Answer to a caller whose headers did not end in time. The HTTP server has not seen the request
/// yet, so the answer is written to the connection directly.
const HEADERS_LATE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\nskylarkpulley-outcome: not-run\r\n\r\n";

#[derive(Debug)]
struct Connection {
    /// True while a request of the connection is with its handler.
    busy: bool,
    /// Dropped when the caller closes the connection.
    gone: watch::Sender<()>,
}

/// Open connections of callers. The HTTP server neither drops the handler of a request whose caller
/// is gone nor limits the time for headers; both are noticed here. Clones share their state.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    head_limit: Duration,
    open: Arc<Mutex<BTreeMap<SocketAddr, Connection>>>,
}

impl CallerConnections {
    /// Returns an empty set of connections whose headers must end within `head_limit`.
    pub fn new(head_limit: Duration) -> Self {
        Self { head_limit, open: Arc::default() }
    }

    /// Notes that a request from `remote` is with its handler until the guard is dropped.
    pub fn begin(&self, remote: &RemoteAddr) -> BusyGuard {
        let Addr::SocketAddr(peer) = remote.0 else {
            return BusyGuard { connections: self.clone(), peer: None };
        };
        self.set_busy(peer, true);
        BusyGuard { connections: self.clone(), peer: Some(peer) }
    }

    /// Waits until the caller at `remote` has closed its connection.
    pub async fn gone(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return std::future::pending().await };
        let watched = self.with(|open| open.get(&peer).map(|known| known.gone.subscribe()));
        let Some(mut watched) = watched else { return };
        while watched.changed().await.is_ok() {}
    }

    fn is_busy(&self, peer: SocketAddr) -> bool {
        self.with(|open| open.get(&peer).is_some_and(|known| known.busy))
    }

    fn set_busy(&self, peer: SocketAddr, busy: bool) {
        self.with(|open| {
            if let Some(known) = open.get_mut(&peer) {
                known.busy = busy;
            }
        });
    }

    fn with<T>(&self, change: impl FnOnce(&mut BTreeMap<SocketAddr, Connection>) -> T) -> T {
        change(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Marks a connection as busy for as long as it lives.
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

/// Accepts callers' connections and registers them.
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
        let connection = Connection { busy: false, gone: watch::Sender::new(()) };
        self.connections.with(|open| open.insert(peer, connection));
        let stream = CallerStream {
            connections: self.connections.clone(),
            limit: None,
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
    /// Ends when the headers of a request that has begun to arrive must be complete.
    limit: Option<Pin<Box<Sleep>>>,
    open: bool,
    peer: SocketAddr,
    stream: TcpStream,
}

impl CallerStream {
    fn close(&mut self) {
        if std::mem::replace(&mut self.open, false) {
            self.connections.with(|open| open.remove(&self.peer));
        }
    }

    /// Reports whether the headers of a request are late.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> bool {
        if self.connections.is_busy(self.peer) {
            self.limit = None;
        }
        self.limit.as_mut().is_some_and(|limit| limit.as_mut().poll(cx).is_ready())
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
        let (room, filled) = (buf.remaining(), buf.filled().len());
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) else {
            if !self.poll_late(cx) {
                return Poll::Pending;
            }
            // A caller that does not read loses only the reason.
            let _ = self.stream.try_write(HEADERS_LATE);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        };
        if read.is_err() || (room > 0 && buf.filled().len() == filled) {
            self.close();
        } else if self.limit.is_none() && !self.connections.is_busy(self.peer) {
            let end = Instant::now() + self.connections.head_limit;
            self.limit = Some(Box::pin(tokio::time::sleep_until(end)));
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
