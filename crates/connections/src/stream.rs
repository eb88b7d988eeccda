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
    /// Whether a part of an answer has to wait until the client reads.
    waiting: bool,
}

impl CountedStream {
    pub fn new(stream: TcpStream, ticket: Arc<Ticket>) -> Self {
        Self { stream, ticket, waiting: false }
    }

    /// Records the result of a write. The connection counts as writing from the first part of an answer
    /// that has to wait until all of it has been written.
    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        if self.waiting && result.is_pending() {
            return;
        }
        if self.waiting || result.is_pending() {
            self.waiting = true;
            let Ticket { connections, id, .. } = &*self.ticket;
            connections.send(*id, true);
        }
    }
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
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Hyper flushes when all parts of an answer have been written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.waiting) {
            let Ticket { connections, id, .. } = &*self.ticket;
            connections.send(*id, false);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
