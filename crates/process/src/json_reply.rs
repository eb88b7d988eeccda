use poem::Response;
use poem::http::StatusCode;
use serde::Serialize;

/// Returns an HTTP response with `body` as JSON, or one with status 500 and no body if `body` cannot
/// be encoded.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => Response::builder().status(status).content_type("application/json").body(body),
        Err(cause) => {
            tracing::error!(error = %cause, "reply cannot be encoded; answering with status 500");
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish()
        }
    }
}
