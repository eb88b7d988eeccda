use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tonic::transport::server::Connected;

use super::listener::Newcomers;
use crate::{ClientConnections, ListenerKind, Ticket};

/// The other end of a control connection.
#[derive(Clone)]
pub struct ControlPeer {
    pub address: IpAddr,
    pub id: u64,
    pub messages: Arc<ClientConnections>,
    pub newcomers: Arc<Newcomers>,
}

impl ControlPeer {
    /// Records that the peer has sent a complete message.
    pub fn confirm(&self) {
        self.newcomers.remove(self.id);
    }

    /// Returns a ticket for a message that is not complete, if there is a place for it.
    pub fn open_message(&self) -> Option<Ticket> {
        self.messages.open(self.address, ListenerKind::Requests)
    }
}

/// A control connection. Reading fails when it has to make room for another one.
pub struct ControlStream {
    /// `None` when the connection stays open.
    close: Option<oneshot::Receiver<()>>,
    peer: ControlPeer,
    stream: TcpStream,
}

impl ControlStream {
    pub fn new(stream: TcpStream, peer: ControlPeer, close: oneshot::Receiver<()>) -> Self {
        Self { close: Some(close), peer, stream }
    }
}

impl Drop for ControlStream {
    fn drop(&mut self) {
        self.peer.newcomers.remove(self.peer.id);
    }
}

impl Connected for ControlStream {
    type ConnectInfo = ControlPeer;

    fn connect_info(&self) -> ControlPeer {
        self.peer.clone()
    }
}

impl AsyncRead for ControlStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(close) = &mut self.close
            && let Poll::Ready(closed) = close.poll_unpin(context)
        {
            if closed.is_ok() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            self.close = None;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ControlStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
