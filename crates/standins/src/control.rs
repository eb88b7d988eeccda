use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::Serialize;

use crate::StandinError;

/// Handles the calls that control a stand-in which runs as a separate process: `GET
/// /standin/counts` returns `counts` as JSON, `PUT /standin/fault` activates the fault named in the
/// body, and the body `none` clears it. Returns any other request as the error.
pub(crate) async fn handle_control_call<F, C: Serialize>(
    mut request: Request,
    parse_fault: impl Fn(&str) -> Result<F, StandinError>,
    set_fault: impl Fn(Option<F>),
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
                text => parse_fault(text).map(Some),
            };
            Ok(match fault {
                Ok(fault) => {
                    set_fault(fault);
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
