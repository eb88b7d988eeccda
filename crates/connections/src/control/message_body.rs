use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body::{Body as HttpBody, Frame, SizeHint};
use tonic::Status;
use tonic::body::Body;

use super::message_framing::MessageFraming;
use super::stream::ControlPeer;
use crate::{CloseCause, Phase, Ticket};

/// A message that is not complete.
struct UnfinishedMessage {
    /// Completes when the message has to make room for others.
    closed: BoxFuture<'static, CloseCause>,
    ticket: Arc<Ticket>,
}

/// The body of a call. What it holds of messages that are not complete is taken from the memory for
/// them; the first complete message shows that the peer is a process of the system.
pub struct MessageBody {
    body: Body,
    framing: MessageFraming,
    peer: ControlPeer,
    unfinished: Option<UnfinishedMessage>,
}

impl MessageBody {
    pub fn new(body: Body, peer: ControlPeer) -> Self {
        Self { body, framing: MessageFraming::default(), peer, unfinished: None }
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<(), Status> {
        let before = self.framing.partial();
        let completed = self.framing.receive(bytes);
        if completed {
            self.peer.confirm();
            self.unfinished = None;
        }
        let partial = self.framing.partial();
        if partial == 0 {
            return Ok(());
        }
        let ticket = match &self.unfinished {
            Some(unfinished) => unfinished.ticket.clone(),
            None => self.start_message()?,
        };
        let added = if completed { partial } else { partial - before };
        let messages = &ticket.connections;
        messages.receive(ticket.id, added).map_err(|_| refusal())?;
        messages.hold(ticket.id, added).map_err(|_| refusal())
    }

    fn start_message(&mut self) -> Result<Arc<Ticket>, Status> {
        let ticket = Arc::new(self.peer.open_message().ok_or_else(refusal)?);
        ticket.connections.enter(ticket.id, Phase::Body);
        let waiting = ticket.clone();
        let closed = async move { waiting.closed().await }.boxed();
        self.unfinished = Some(UnfinishedMessage { closed, ticket: ticket.clone() });
        Ok(ticket)
    }
}

impl HttpBody for MessageBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        if let Some(unfinished) = &mut self.unfinished
            && unfinished.closed.poll_unpin(context).is_ready()
        {
            self.unfinished = None;
            return Poll::Ready(Some(Err(refusal())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(bytes) = frame.data_ref()
            && let Err(status) = self.receive(bytes)
        {
            return Poll::Ready(Some(Err(status)));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn refusal() -> Status {
    Status::resource_exhausted(
        "unfinished messages hold all memory that they may use, or this one arrives too slowly",
    )
}
