use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::StreamExt;
use poem::Request;

use crate::{Phase, ShortOfMemory, Ticket};

/// Least and largest memory by which a body of unknown length grows. A small body takes no more than its
/// declared length would.
const STEP_BYTES: (usize, usize) = (8192, 32_768);

/// Reason for which a body is not read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// There is no memory for it.
    #[display("unfinished requests hold all memory that they may use")]
    Busy,
    /// It is longer than the limit.
    #[display("the body is longer than the limit")]
    TooLarge,
    /// The connection ended or its framing is not valid.
    #[display("the body is not complete")]
    Incomplete,
}

impl From<ShortOfMemory> for BodyError {
    fn from(_: ShortOfMemory) -> Self {
        Self::Busy
    }
}

/// Reads the body of a request of at most `limit` bytes. Its declared length is taken from the memory
/// for unfinished requests before it is read, and returned when the request has been answered.
///
/// # Errors
/// Returns [`BodyError`] when the body is too long, does not arrive or there is no memory for it.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let ticket = request.extensions().get::<Arc<Ticket>>().cloned();
    let hold = |bytes: usize| match &ticket {
        Some(ticket) => ticket.connections.hold(ticket.id, bytes),
        None => Ok(()),
    };
    let enter = |phase| {
        if let Some(ticket) = &ticket {
            ticket.connections.enter(ticket.id, phase);
        }
    };
    let declared = request.header("content-length").and_then(|text| text.parse().ok());
    if declared.is_some_and(|length: usize| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let mut reserved = declared.unwrap_or(0);
    hold(reserved)?;
    let mut body = Vec::with_capacity(reserved);
    let mut parts = request.take_body().into_bytes_stream();
    enter(Phase::Body);
    while let Some(part) = parts.next().await {
        let part = part.map_err(|_| BodyError::Incomplete)?;
        let length = body.len() + part.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if length > reserved {
            let step = reserved.clamp(STEP_BYTES.0, STEP_BYTES.1);
            let step = (length - reserved).next_multiple_of(step);
            hold(step)?;
            reserved += step;
            body.reserve_exact(reserved - body.len());
        }
        body.extend_from_slice(&part);
    }
    enter(Phase::Serving);
    if let Some(ticket) = &ticket {
        ticket.set_body_unread(false);
    }
    Ok(body.into())
}
