use std::time::Duration;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, Server, handler, post};
use tokio::net::TcpListener;

use crate::runner::Runner;
use crate::upstream::Announcement;

/// Serves `POST /announce`, by which the upstream of this agent announces itself, until the
/// returned future is dropped.
///
/// # Errors
/// Returns the I/O error of the listener when it fails.
pub async fn serve_announcements(listener: TcpListener, runner: Runner) -> std::io::Result<()> {
    let app = Route::new().at("/announce", post(announce)).data(runner);
    Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?)
        .idle_timeout(Duration::from_secs(30))
        .run(app)
        .await
}

#[handler]
async fn announce(
    Json(announcement): Json<Announcement>,
    Data(runner): Data<&Runner>,
) -> StatusCode {
    if runner.announce(announcement).await { StatusCode::OK } else { StatusCode::CONFLICT }
}
