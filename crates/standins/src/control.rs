use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::Serialize;

use crate::StandinError;

/// Handles the calls that control a stand-in which runs as a process of its own: `GET
/// /standin/counts` returns `counts` as JSON, `PUT /standin/fault` sets the fault named by its
/// body, and `none` clears it. Returns the request when it is no such call.
pub(crate) async fn control<F, C: Serialize>(
    mut request: Request,
    parse: impl Fn(&str) -> Result<F, StandinError>,
    set: impl Fn(Option<F>),
    counts: impl Fn() -> C,
) -> Result<Response, Request> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/standin/counts") => {
            let body = serde_json::to_vec(&counts()).unwrap_or_default();
            Ok(Response::builder().content_type("application/json").body(body))
        }
        (&Method::PUT, "/standin/fault") => {
            let text = request.take_body().into_string().await.unwrap_or_default();
            let fault = match text.trim() {
                "none" => Ok(None),
                text => parse(text).map(Some),
            };
            Ok(match fault {
                Ok(fault) => {
                    set(fault);
                    Response::builder().status(StatusCode::NO_CONTENT).finish()
                }
                Err(error) => {
                    Response::builder().status(StatusCode::BAD_REQUEST).body(error.to_string())
                }
            })
        }
        _ => Err(request),
    }
}
