use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::Ticket;

/// Maximum number of bytes of one read. Hyper doubles its buffer after reads of 8192 bytes.
const READ_BYTES: usize = 8191;

/// A socket whose received bytes count.
pub struct CountedStream {
    pub stream: TcpStream,
    pub ticket: Arc<Ticket>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        if received > 0 {
            let Ticket { connections, id, .. } = &*self.ticket;
            connections.receive(*id, received).map_err(io::Error::other)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
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
