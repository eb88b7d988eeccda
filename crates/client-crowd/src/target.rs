use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method};
use tokio::net::TcpStream;

use crate::HANG_LIMIT;

/// A listener, and how a crowd and an ordinary client address it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Request line of a crowd.
    pub line: &'static str,
    /// Header lines of a crowd, each with its end.
    pub headers: &'static str,
    /// Bytes of a body that a client of a crowd sends. The last 1024 bytes of the declared length never
    /// follow.
    pub body_bytes: usize,
    /// Method of an ordinary request.
    pub method: Method,
    /// Path of an ordinary request.
    pub path: &'static str,
    /// Body of an ordinary request.
    pub body: &'static str,
}

impl Target {
    /// Waits until the process listens.
    ///
    /// # Panics
    /// When it does not within [`HANG_LIMIT`].
    pub async fn wait_for_listener(&self) {
        let connected = async {
            while TcpStream::connect(self.address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, connected).await.expect("the process listens");
    }

    /// Sends an ordinary request until it is answered. Refusals that tell the client to come back are
    /// no answer.
    ///
    /// # Panics
    /// When there is no answer within [`HANG_LIMIT`].
    pub async fn expect_answer(&self) {
        let answered = async {
            while !self.send_ordinary().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, answered).await.expect("an ordinary request is answered");
    }

    /// Sends an ordinary request on a new connection. Reports whether it was served.
    pub async fn send_ordinary(&self) -> bool {
        let url = format!("http://{}{}", self.address, self.path);
        // A new client takes no connection from the pool that was closed meanwhile.
        let mut request = Client::new().request(self.method.clone(), &url).body(self.body);
        for line in self.headers.lines() {
            let (name, value) = line.split_once(": ").expect("a header line");
            request = request.header(name, value);
        }
        request.send().await.is_ok_and(|response| response.status().is_success())
    }
}
