//! An admin server that gives prepared answers, shared by the tests of the client and of the
//! command line.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Body, Endpoint, Request, Response, Result, Server};

/// One prepared answer.
pub enum Reply {
    /// Status and body.
    Body(u16, String),
    /// The connection breaks after the request was read.
    Lost,
}

/// Serves the prepared answers in order and records the requests.
pub struct Fake {
    /// Base URL.
    pub address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

struct Script {
    replies: Mutex<VecDeque<Reply>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    /// Starts on a free port.
    pub async fn start(replies: Vec<Reply>) -> Self {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("a free port");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("TCP").to_string();
        let requests = Arc::default();
        let script =
            Script { replies: Mutex::new(replies.into()), requests: Arc::clone(&requests) };
        tokio::spawn(Server::new_with_acceptor(acceptor).run(script));
        Self { address: format!("http://{address}"), requests }
    }

    /// Returns each request's method and path, and its body after a blank.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no panic").clone()
    }
}

impl Endpoint for Script {
    type Output = Response;

    async fn call(&self, mut request: Request) -> Result<Response> {
        let body = request.take_body().into_string().await?;
        let path = request.uri().path();
        let line = format!("{} {path} {body}", request.method()).trim_end().to_owned();
        self.requests.lock().expect("no panic").push(line);
        let reply = self.replies.lock().expect("no panic").pop_front();
        Ok(match reply {
            Some(Reply::Body(status, body)) => {
                Response::builder().status(StatusCode::from_u16(status).expect("valid")).body(body)
            }
            Some(Reply::Lost) => {
                let broken = Err::<Vec<u8>, _>(io::Error::other("connection broken by the test"));
                Response::builder().body(Body::from_bytes_stream(futures::stream::iter([broken])))
            }
            None => Response::builder().status(StatusCode::IM_A_TEAPOT).body("no prepared answer"),
        })
    }
}
