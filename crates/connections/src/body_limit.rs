use poem::http::StatusCode;
use poem::{Endpoint, Request, Response};

use crate::{BodyError, read_body};

/// An endpoint whose requests are read completely, within the memory for unfinished requests, before it
/// is called.
pub struct BodyLimit<E> {
    endpoint: E,
    limit: usize,
}

impl<E> BodyLimit<E> {
    /// Returns `endpoint` for bodies of at most `limit` bytes.
    pub fn new(endpoint: E, limit: usize) -> Self {
        Self { endpoint, limit }
    }
}

impl<E: Endpoint> Endpoint for BodyLimit<E> {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let status = match read_body(&mut request, self.limit).await {
            Ok(body) => {
                request.set_body(body);
                return Ok(self.endpoint.get_response(request).await);
            }
            Err(BodyError::Busy) => StatusCode::SERVICE_UNAVAILABLE,
            Err(BodyError::Incomplete) => StatusCode::BAD_REQUEST,
            Err(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        };
        let response = Response::builder().status(status);
        Ok(match status {
            StatusCode::SERVICE_UNAVAILABLE => response.header("retry-after", "1").finish(),
            _ => response.finish(),
        })
    }
}
