use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use poem::Addr;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Counts the connections of a server and closes them on request. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    inner: Arc<Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    most_open: usize,
    open: BTreeMap<SocketAddr, OpenConnection>,
}

#[derive(Debug)]
struct OpenConnection {
    /// Dropped when the connection is unregistered, which ends [`Connections::wait_closed`].
    closed: watch::Sender<()>,
    socket: std::net::TcpStream,
}

impl Connections {
    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.with_counts(|counts| counts.accepted)
    }

    /// Returns the highest number of connections that were open at once.
    pub fn most_open(&self) -> usize {
        self.with_counts(|counts| counts.most_open)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.with_counts(|counts| counts.open.len())
    }

    /// Closes the connection from `remote` without a response.
    pub(crate) fn close(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return };
        self.with_counts(|counts| {
            counts.open.get(&peer).map(|connection| connection.socket.shutdown(Shutdown::Both))
        });
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        self.with_counts(|counts| {
            for connection in counts.open.values() {
                connection.socket.shutdown(Shutdown::Both).ok();
            }
        });
    }

    /// Waits until the peer has closed the connection from `remote`. A handler that never answers
    /// waits for this, because the HTTP server does not drop the handler of a request whose caller has
    /// disconnected.
    pub(crate) async fn wait_closed(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return };
        let closed = self.with_counts(|counts| {
            counts.open.get(&peer).map(|connection| connection.closed.subscribe())
        });
        let Some(mut closed) = closed else { return };
        while closed.changed().await.is_ok() {}
    }

    fn register(&self, peer: SocketAddr, socket: std::net::TcpStream) {
        self.with_counts(|counts| {
            counts.accepted += 1;
            counts.open.insert(peer, OpenConnection { closed: watch::Sender::new(()), socket });
            counts.most_open = counts.most_open.max(counts.open.len());
        });
    }

    fn unregister(&self, peer: SocketAddr) {
        self.with_counts(|counts| counts.open.remove(&peer));
    }

    fn with_counts<T>(&self, call: impl FnOnce(&mut Counts) -> T) -> T {
        call(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Accepts TCP connections and registers them with [`Connections`].
pub(crate) struct CountingAcceptor {
    address: SocketAddr,
    connections: Connections,
    listener: TcpListener,
}

impl CountingAcceptor {
    pub(crate) fn new(
        listener: TcpListener,
        address: SocketAddr,
        connections: Connections,
    ) -> Self {
        Self { address, connections, listener }
    }
}

impl Acceptor for CountingAcceptor {
    type Io = CountedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true).ok();
        // `Connections` keeps a second handle to the socket, through which it closes the connection
        // while the HTTP server owns the stream.
        let socket = stream.into_std()?;
        self.connections.register(peer, socket.try_clone()?);
        let stream = TcpStream::from_std(socket)?;
        let connections = self.connections.clone();
        let io = CountedStream { connections, open: true, peer, stream };
        Ok((io, LocalAddr(self.address.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// A stream that is counted as open until the peer closes it, a read fails or it is dropped.
pub(crate) struct CountedStream {
    connections: Connections,
    open: bool,
    peer: SocketAddr,
    stream: TcpStream,
}

impl CountedStream {
    fn mark_closed(&mut self) {
        if std::mem::replace(&mut self.open, false) {
            self.connections.unregister(self.peer);
        }
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.mark_closed();
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (remaining, filled_before) = (buf.remaining(), buf.filled().len());
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if read.is_err() || (remaining > 0 && buf.filled().len() == filled_before) {
            self.mark_closed();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CountedStream {
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
