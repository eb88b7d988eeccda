use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::memory_budget::BASE_BYTES;
use crate::stream::CountedStream;
use crate::{ClientConnections, CloseCause, ListenerKind, Phase, Ticket};

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Pause after a connection could not be accepted, for example because descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 4096;

/// Marks a connection as idle when its request has ended.
struct ServedRequest(Arc<Ticket>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.connections.enter(self.0.id, Phase::Idle);
    }
}

/// How a listener is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerSettings {
    /// Time for open requests to finish after the server has stopped accepting connections.
    grace: Duration,
    listener: ListenerKind,
    /// Sent before a connection is closed because a head was not complete in time.
    timeout_response: &'static [u8],
}

impl ServerSettings {
    /// Returns settings by which the server closes connections at once when it stops, and without a
    /// response when a head is late.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the balancer's checks or operators, whose connections have places of their own.
    pub fn with_check_places(self) -> Self {
        Self { listener: ListenerKind::Checks, ..self }
    }

    /// Sets the time for open requests to finish after the server has stopped accepting connections.
    pub fn with_grace(self, grace: Duration) -> Self {
        Self { grace, ..self }
    }

    /// Sets the response to a head that is not complete in time, with its status line and headers.
    pub fn with_timeout_response(self, timeout_response: &'static [u8]) -> Self {
        Self { timeout_response, ..self }
    }
}

/// Serves `endpoint` on `listener` until `stop` ends. Open requests then have time to finish; idle and
/// stalled connections are closed.
///
/// # Errors
/// When the address of the listener is not known.
pub async fn serve(
    listener: TcpListener,
    endpoint: impl Endpoint<Output = Response> + 'static,
    connections: Arc<ClientConnections>,
    settings: ServerSettings,
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
            accepted = accept(&listener, &connections) => match accepted {
                Ok((stream, peer)) => {
                    // Without TCP_NODELAY, the end of a large response waits for the client's delayed
                    // acknowledgement.
                    let _ = stream.set_nodelay(true);
                    let Some(ticket) = connections.open(peer.ip(), settings.listener) else { continue };
                    let ticket = Arc::new(ticket);
                    let response = settings.timeout_response;
                    let (endpoint, stopped) = (endpoint.clone(), stopped.clone());
                    let connection = AcceptedConnection { local, peer, stream, ticket };
                    tasks.spawn(connection.serve(endpoint, response, stopped));
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
    if tokio::time::timeout(settings.grace, finished).await.is_err() {
        tracing::info!("the grace time is over; closing open connections");
    }
    Ok(())
}

async fn accept(
    listener: &TcpListener,
    connections: &ClientConnections,
) -> io::Result<(TcpStream, SocketAddr)> {
    connections.wait_closed().await;
    listener.accept().await
}

struct AcceptedConnection {
    local: SocketAddr,
    peer: SocketAddr,
    stream: TcpStream,
    ticket: Arc<Ticket>,
}

impl AcceptedConnection {
    async fn serve(
        self,
        endpoint: Arc<impl Endpoint<Output = Response> + 'static>,
        timeout_response: &'static [u8],
        mut stopped: watch::Receiver<bool>,
    ) {
        // The socket is dropped before the ticket, which tells that it is closed.
        let Self { local, peer, ticket, stream } = self;
        // A connection takes a buffer only when its first bytes are there.
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { return },
            _ = ticket.closed() => return,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
        let connections = &ticket.connections;
        if connections.receive(ticket.id, 0).is_err() {
            return;
        }
        let head_bytes = connections.limits().head_bytes;
        let served = ticket.clone();
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            let (endpoint, ticket) = (endpoint.clone(), served.clone());
            async move {
                ticket.set_body_unread(!request.body().is_end_stream());
                ticket.connections.enter(ticket.id, Phase::Serving);
                let served = ServedRequest(ticket);
                let addresses = (LocalAddr(local.into()), RemoteAddr(peer.into()));
                let mut request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
                request.extensions_mut().insert(served.0.clone());
                let response = endpoint.get_response(request).await;
                Ok::<hyper::Response<_>, Infallible>(response.into())
            }
            .boxed()
        });
        let io = TokioIo::new(CountedStream::new(stream, ticket.clone()));
        // The header time of hyper also counts while a connection is idle, so that the budget limits
        // the time of a head instead.
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(head_bytes.max(BASE_BYTES))
            .max_header_size(head_bytes)
            .max_headers(MAX_HEADERS)
            .serve_connection(io, service);
        let mut stopping = false;
        let ended = loop {
            tokio::select! {
                result = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    break Ok(result);
                }
                cause = ticket.closed() => break Err(cause),
                _ = stopped.wait_for(|stopped| *stopped), if !stopping => {
                    stopping = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        };
        let mut stream = connection.into_parts().io.into_inner();
        match ended {
            Ok(result) if result.is_err() || ticket.body_unread() => {
                discard_rest(&mut stream, &ticket).await;
            }
            // A client that does not read sees the connection close without the response.
            Err(CloseCause::HeadTime) => drop(stream.stream.try_write(timeout_response)),
            _ => {}
        }
    }
}

/// Reads what the client still sends after its last answer, within the time that the budget sets. Closing
/// the socket before that would reset the connection, by which the client may lose the answer.
async fn discard_rest(stream: &mut CountedStream, ticket: &Ticket) {
    ticket.connections.enter(ticket.id, Phase::Closing);
    let mut buffer = [0; DISCARD_BYTES];
    let discard = async {
        stream.shutdown().await?;
        while stream.read(&mut buffer).await? > 0 {}
        Ok::<(), io::Error>(())
    };
    tokio::select! {
        _ = discard => {}
        _ = ticket.closed() => {}
    }
}
