use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, handler, post};
use skylarkpulley_connections::{BodyLimit, ClientConnections, ServerSettings, serve};
use tokio::net::TcpListener;

use crate::runner::Runner;
use crate::upstream::Announcement;

/// Maximum size of an announcement in bytes. Those of upstreams have about 100.
const MAX_ANNOUNCEMENT_BYTES: usize = 65_536;

/// Serves `POST /announce`, by which the upstream of this agent announces itself, until the
/// returned future is dropped.
///
/// # Errors
/// Returns the I/O error of the listener when it fails.
pub async fn serve_announcements(
    listener: TcpListener,
    runner: Runner,
    connections: Arc<ClientConnections>,
) -> std::io::Result<()> {
    let app = Route::new().at("/announce", post(announce)).data(runner);
    let app = BodyLimit::new(app, MAX_ANNOUNCEMENT_BYTES);
    serve(listener, app, connections, ServerSettings::new(), std::future::pending()).await
}

#[handler]
async fn announce(
    Json(announcement): Json<Announcement>,
    Data(runner): Data<&Runner>,
) -> StatusCode {
    if runner.announce(announcement).await { StatusCode::OK } else { StatusCode::CONFLICT }
}
