use std::sync::Arc;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Server};
use skylarkpulley_admin::ErrorReply;
use skylarkpulley_process::json_reply;
use skylarkpulley_telemetry::MetricsPage;
use tokio::net::TcpListener;

use crate::entry::Entry;

/// HTTP endpoint for operators, which serves probes, metrics, status and explanations.
struct OperatorsServer {
    entry: Arc<Entry>,
    page: Arc<MetricsPage>,
}

/// Serves operators on `listener`: `GET /livez`, `/readyz`, `/metrics`, `/v1/status` and
/// `/v1/explain/ID`.
///
/// # Errors
/// When the listener fails.
pub async fn serve_operators(
    listener: TcpListener,
    entry: Arc<Entry>,
    page: Arc<MetricsPage>,
) -> std::io::Result<()> {
    let server = operators_endpoint(entry, page);
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(server).await
}

/// Returns the endpoint that [`serve_operators`] serves, for a server with limits of its own.
pub fn operators_endpoint(
    entry: Arc<Entry>,
    page: Arc<MetricsPage>,
) -> impl Endpoint<Output = Response> + 'static {
    OperatorsServer { entry, page }
}

impl Endpoint for OperatorsServer {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let operators = self.entry.operators();
        let path = request.uri().path();
        if let Some(id) = path.strip_prefix("/v1/explain/") {
            let explanation = operators.explain(id).await;
            if explanation.lines.is_empty() {
                return Ok(error(StatusCode::NOT_FOUND, &format!("no record of {id:?}")));
            }
            return Ok(json_reply(StatusCode::OK, &explanation));
        }
        Ok(match path {
            "/livez" => Response::builder().body("live"),
            "/readyz" if self.entry.is_ready() => Response::builder().body("ready"),
            "/readyz" => error(StatusCode::SERVICE_UNAVAILABLE, "no leader or no tables"),
            "/metrics" => Response::builder().content_type("text/plain").body(self.page.render()),
            "/v1/status" => match operators.status().await {
                Some(status) => json_reply(StatusCode::OK, &status),
                None => error(StatusCode::SERVICE_UNAVAILABLE, "no leader answers"),
            },
            _ => error(StatusCode::NOT_FOUND, &format!("no page {path:?}")),
        })
    }
}

fn error(status: StatusCode, text: &str) -> Response {
    json_reply(status, &ErrorReply { error: text.to_owned() })
}
