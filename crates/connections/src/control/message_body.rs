use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body::{Body as HttpBody, Frame};
use tonic::Status;
use tonic::body::Body;

use super::message_framing::MessageFraming;
use super::stream::ControlPeer;
use crate::{CloseCause, Phase, Ticket};

/// A frame of a body, its error or its end.
type PolledFrame = Option<Result<Frame<Bytes>, Status>>;

/// A message that is not complete.
struct UnfinishedMessage {
    /// Completes when the message has to make room for others.
    closed: BoxFuture<'static, CloseCause>,
    ticket: Arc<Ticket>,
}

/// The body of a call. It passes on whole messages only, because tonic reserves the declared length of a
/// message when it sees the prefix. What it holds of messages that are not complete is taken from the
/// memory for them; the first complete message shows that the peer is a process of the system.
pub struct MessageBody {
    body: Body,
    /// The start of a message that is not complete.
    buffer: BytesMut,
    framing: MessageFraming,
    /// Follows the content of the buffer.
    next: Option<PolledFrame>,
    peer: ControlPeer,
    unfinished: Option<UnfinishedMessage>,
}

impl MessageBody {
    pub fn new(body: Body, peer: ControlPeer) -> Self {
        let framing = MessageFraming::default();
        Self { body, buffer: BytesMut::new(), framing, next: None, peer, unfinished: None }
    }

    /// Records the next bytes. Reports whether a message has become complete.
    fn receive(&mut self, bytes: &[u8]) -> Result<bool, Status> {
        let before = self.framing.partial();
        let completed = self.framing.receive(bytes);
        if completed {
            self.peer.confirm();
            self.unfinished = None;
        }
        let partial = self.framing.partial();
        if partial == 0 {
            return Ok(completed);
        }
        let ticket = match &self.unfinished {
            Some(unfinished) => unfinished.ticket.clone(),
            None => self.start_message()?,
        };
        let added = if completed { partial } else { partial - before };
        let messages = &ticket.connections;
        messages.receive(ticket.id, added).map_err(|_| refusal())?;
        messages.hold(ticket.id, added).map_err(|_| refusal())?;
        Ok(completed)
    }

    fn start_message(&mut self) -> Result<Arc<Ticket>, Status> {
        let ticket = Arc::new(self.peer.open_message().ok_or_else(refusal)?);
        ticket.connections.enter(ticket.id, Phase::Body);
        let waiting = ticket.clone();
        let closed = async move { waiting.closed().await }.boxed();
        self.unfinished = Some(UnfinishedMessage { closed, ticket: ticket.clone() });
        Ok(ticket)
    }

    /// Returns the content of the buffer, or `frame` if there is none.
    fn flush(&mut self, frame: PolledFrame) -> PolledFrame {
        if self.buffer.is_empty() {
            return frame;
        }
        self.next = Some(frame);
        Some(Ok(Frame::data(self.buffer.split().freeze())))
    }
}

impl HttpBody for MessageBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        if let Some(next) = self.next.take() {
            return Poll::Ready(next);
        }
        loop {
            if let Some(unfinished) = &mut self.unfinished
                && unfinished.closed.poll_unpin(context).is_ready()
            {
                self.unfinished = None;
                return Poll::Ready(Some(Err(refusal())));
            }
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(self.flush(end)),
            };
            let bytes = match frame.into_data() {
                Ok(bytes) => bytes,
                Err(trailers) => return Poll::Ready(self.flush(Some(Ok(trailers)))),
            };
            let completed = match self.receive(&bytes) {
                Ok(completed) => completed,
                Err(status) => return Poll::Ready(Some(Err(status))),
            };
            if completed && self.buffer.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            self.buffer.extend_from_slice(&bytes);
            if completed {
                return Poll::Ready(Some(Ok(Frame::data(self.buffer.split().freeze()))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffer.is_empty() && self.next.is_none() && self.body.is_end_stream()
    }
}

fn refusal() -> Status {
    Status::resource_exhausted(
        "unfinished messages hold all memory that they may use, or this one arrives too slowly",
    )
}
