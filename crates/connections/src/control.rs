//! Limits for the listeners of other processes of the system (gRPC), which foreign clients may reach as
//! well.

mod listener;
mod message_body;
mod message_framing;
mod stream;

use http::Request;
pub use listener::ControlListener;
use message_body::MessageBody;
pub use message_framing::MessageFraming;
use stream::ControlPeer;
use tonic::body::Body;
use tonic::transport::Server;
use tower::layer::util::{Identity, Stack};
use tower::util::MapRequestLayer;

/// Flow-control window of a connection and of each of its calls. A connection holds at most this much of
/// calls that nobody reads.
const WINDOW_BYTES: u32 = 128 << 10;

/// A gRPC server whose calls are limited.
pub type ControlServer =
    Server<Stack<MapRequestLayer<fn(Request<Body>) -> Request<Body>>, Identity>>;

/// Returns a gRPC server for the connections of a [`ControlListener`].
pub fn control_server() -> ControlServer {
    Server::builder()
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES)
        .layer(MapRequestLayer::new(limit_messages as fn(Request<Body>) -> Request<Body>))
}

fn limit_messages(request: Request<Body>) -> Request<Body> {
    let Some(peer) = request.extensions().get::<ControlPeer>().cloned() else { return request };
    request.map(|body| Body::new(MessageBody::new(body, peer)))
}
