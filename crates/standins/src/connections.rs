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

/// Counts the connections of a server and breaks them on request. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    inner: Arc<Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    accepted: u64,
    most: usize,
    open: BTreeMap<SocketAddr, std::net::TcpStream>,
}

impl Connections {
    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.with(|counts| counts.accepted)
    }

    /// Returns the highest number of connections that were open at once.
    pub fn most(&self) -> usize {
        self.with(|counts| counts.most)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.with(|counts| counts.open.len())
    }

    /// Closes the connection from `remote` without an answer.
    pub(crate) fn cut(&self, remote: &RemoteAddr) {
        let Addr::SocketAddr(peer) = remote.0 else { return };
        self.with(|counts| counts.open.get(&peer).map(|socket| socket.shutdown(Shutdown::Both)));
    }

    /// Closes all connections.
    pub(crate) fn cut_all(&self) {
        self.with(|counts| {
            for socket in counts.open.values() {
                socket.shutdown(Shutdown::Both).ok();
            }
        });
    }

    fn opened(&self, peer: SocketAddr, socket: std::net::TcpStream) {
        self.with(|counts| {
            counts.accepted += 1;
            counts.open.insert(peer, socket);
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
        let io = CountedStream { connections: self.connections.clone(), peer, stream };
        Ok((io, LocalAddr(self.address.into()), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// A connection that is counted until it is dropped.
pub(crate) struct CountedStream {
    connections: Connections,
    peer: SocketAddr,
    stream: TcpStream,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.connections.closed(self.peer);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
