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

/// Counts the connections of a server and breaks them on request. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    inner: Arc<Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    most: usize,
    open: BTreeMap<SocketAddr, Peer>,
}

#[derive(Debug)]
struct Peer {
    /// Dropped when the peer closes the connection.
    gone: watch::Sender<()>,
    socket: std::net::TcpStream,
}

impl Connections {
    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.with(|counts| counts.accepted)
    }

    /// Returns the highest number of connections that were open at once.
    pub fn most_open(&self) -> usize {
        self.with(|counts| counts.most)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.with(|counts| counts.open.len())
    }

    /// Closes the connection from `remote` without an answer.
    pub(crate) fn cut(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return };
        self.with(|counts| counts.open.get(&peer).map(|peer| peer.socket.shutdown(Shutdown::Both)));
    }

    /// Closes all connections.
    pub(crate) fn cut_all(&self) {
        self.with(|counts| {
            for peer in counts.open.values() {
                peer.socket.shutdown(Shutdown::Both).ok();
            }
        });
    }

    /// Waits until the peer has closed the connection from `remote`. The HTTP server does not drop
    /// the handler of a request whose caller is gone.
    pub(crate) async fn gone(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return };
        let watched = self.with(|counts| counts.open.get(&peer).map(|peer| peer.gone.subscribe()));
        let Some(mut watched) = watched else { return };
        while watched.changed().await.is_ok() {}
    }

    fn opened(&self, peer: SocketAddr, socket: std::net::TcpStream) {
        self.with(|counts| {
            counts.accepted += 1;
            counts.open.insert(peer, Peer { gone: watch::Sender::new(()), socket });
            counts.most = counts.most.max(counts.open.len());
        });
    }

    fn closed(&self, peer: SocketAddr) {
        self.with(|counts| counts.open.remove(&peer));
    }

    fn with<T>(&self, change: impl FnOnce(&mut Counts) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
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
        // A second handle to the socket lets the server close it from outside.
        let socket = stream.into_std()?;
        self.connections.opened(peer, socket.try_clone()?);
        let stream = TcpStream::from_std(socket)?;
        let connections = self.connections.clone();
        let io = CountedStream { connections, open: true, peer, stream };
        Ok((io, LocalAddr(self.address.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// A connection that is counted until the peer closes it or it is dropped.
pub(crate) struct CountedStream {
    connections: Connections,
    open: bool,
    peer: SocketAddr,
    stream: TcpStream,
}

impl CountedStream {
    fn close(&mut self) {
        if std::mem::replace(&mut self.open, false) {
            self.connections.closed(self.peer);
        }
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.close();
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (room, filled) = (buf.remaining(), buf.filled().len());
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if read.is_err() || (room > 0 && buf.filled().len() == filled) {
            self.close();
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
