//! An admin server that returns prepared replies, used by the tests of the client and of the
//! command line.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Body, Endpoint, Request, Response, Result, Server};

/// One prepared reply.
pub enum Reply {
    /// The server answers with this status and body.
    Body(u16, String),
    /// The connection breaks after the server has read the request.
    Lost,
}

/// A server that returns the prepared replies in order and records the requests.
pub struct FakeServer {
    /// Base URL of the server.
    pub address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

/// The endpoint of the server.
struct PreparedReplies {
    replies: Mutex<VecDeque<Reply>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// Starts the server on a free port.
    pub async fn start(replies: Vec<Reply>) -> Self {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("a free port");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("a TCP address").to_string();
        let requests = Arc::default();
        let endpoint = PreparedReplies {
            replies: Mutex::new(replies.into()),
            requests: Arc::clone(&requests),
        };
        tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
        Self { address: format!("http://{address}"), requests }
    }

    /// Returns the method, the path and, if present, the body of each request, separated by spaces.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

impl Endpoint for PreparedReplies {
    type Output = Response;

    async fn call(&self, mut request: Request) -> Result<Response> {
        let body = request.take_body().into_string().await?;
        let path = request.uri().path();
        let request_text = format!("{} {path} {body}", request.method()).trim_end().to_owned();
        self.requests.lock().expect("not poisoned").push(request_text);
        let reply = self.replies.lock().expect("not poisoned").pop_front();
        Ok(match reply {
            Some(Reply::Body(status, body)) => Response::builder()
                .status(StatusCode::from_u16(status).expect("a valid status"))
                .body(body),
            Some(Reply::Lost) => {
                let broken = Err::<Vec<u8>, _>(io::Error::other("connection broken by the test"));
                Response::builder().body(Body::from_bytes_stream(futures::stream::iter([broken])))
            }
            None => Response::builder()
                .status(StatusCode::IM_A_TEAPOT)
                .body("no prepared reply is left"),
        })
    }
}
