use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::client_connections::{ClientConnections, Ticket};
use super::memory_budget::{BASE_BYTES, Phase};
use super::stream::CountedStream;

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Pause after a connection could not be accepted, for example because descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Marks a connection as idle when its request has ended.
struct ServedRequest(Arc<Ticket>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.connections.enter(self.0.id, Phase::Idle);
    }
}

/// Serves `endpoint` on `listener` until `stop` ends. Open requests then have `grace` to finish; idle
/// and stalled connections are closed.
///
/// # Errors
/// When the address of the listener is not known.
pub async fn serve(
    listener: TcpListener,
    endpoint: impl Endpoint<Output = Response> + 'static,
    connections: Arc<ClientConnections>,
    grace: Duration,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let local = listener.local_addr()?;
    let endpoint = Arc::new(endpoint);
    let (stopping, stopped) = watch::channel(false);
    let mut tasks = JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let Some(ticket) = connections.open(peer.ip()) else { continue };
                    let ticket = Arc::new(ticket);
                    let addresses = (local, peer);
                    let (endpoint, stopped) = (endpoint.clone(), stopped.clone());
                    tasks.spawn(serve_connection(stream, ticket, endpoint, addresses, stopped));
                }
                Err(error) => {
                    tracing::debug!(%error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    connections.begin_shutdown();
    stopping.send_replace(true);
    let finished = async { while tasks.join_next().await.is_some() {} };
    if tokio::time::timeout(grace, finished).await.is_err() {
        tracing::info!("the grace time is over; closing open connections");
    }
    Ok(())
}

async fn serve_connection(
    stream: TcpStream,
    ticket: Arc<Ticket>,
    endpoint: Arc<impl Endpoint<Output = Response> + 'static>,
    (local, peer): (SocketAddr, SocketAddr),
    mut stopped: watch::Receiver<bool>,
) {
    // A connection takes a buffer only when its first bytes are there.
    tokio::select! {
        ready = stream.readable() => if ready.is_err() { return },
        () = ticket.closed.notified() => return,
        _ = stopped.wait_for(|stopped| *stopped) => return,
    }
    let connections = &ticket.connections;
    if connections.receive(ticket.id, 0).is_err() {
        return;
    }
    let head_bytes = connections.limits().head_bytes();
    let served = ticket.clone();
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (endpoint, ticket) = (endpoint.clone(), served.clone());
        async move {
            ticket.connections.enter(ticket.id, Phase::Serving);
            let served = ServedRequest(ticket);
            let addresses = (LocalAddr(local.into()), RemoteAddr(peer.into()));
            let mut request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
            request.extensions_mut().insert(served.0.clone());
            let response = endpoint.get_response(request).await;
            Ok::<hyper::Response<_>, Infallible>(response.into())
        }
    });
    let io = TokioIo::new(CountedStream { stream, ticket: ticket.clone() });
    // The header time of hyper also counts while a connection is idle, so that the budget limits the
    // time of a head instead.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(BASE_BYTES))
        .max_header_size(head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            () = ticket.closed.notified() => return,
            _ = stopped.wait_for(|stopped| *stopped), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
