use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::{HANG_LIMIT, Target};

/// Pause of a client between two requests. A connection that is silent for 2 s counts as stalled.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Clients that keep their connections busy: each sends a complete request again and again, and connects
/// again after its connection was closed. They stop when the value is dropped.
pub struct ActiveCrowd {
    _clients: JoinSet<()>,
}

impl ActiveCrowd {
    /// Connects `size` clients, and waits until each has connected once.
    ///
    /// # Panics
    /// When a client cannot connect within [`HANG_LIMIT`].
    pub async fn gather(target: &Target, size: usize) -> Self {
        let mut clients = JoinSet::new();
        let (connected, mut connections) = tokio::sync::mpsc::channel(size);
        for _ in 0..size {
            let (target, connected) = (target.clone(), connected.clone());
            clients.spawn(async move {
                loop {
                    if let Ok(stream) = TcpStream::connect(target.address).await {
                        let _ = connected.try_send(());
                        let _ = send_repeatedly(&target, stream).await;
                    }
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            });
        }
        let all = async {
            for _ in 0..size {
                connections.recv().await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, all).await.expect("the clients connect");
        Self { _clients: clients }
    }
}

/// Sends requests until the server closes the connection.
async fn send_repeatedly(target: &Target, mut stream: TcpStream) -> std::io::Result<()> {
    let request = format!("GET / HTTP/1.1\r\n{}\r\n", target.headers);
    let mut answer = [0; 4096];
    loop {
        stream.write_all(request.as_bytes()).await?;
        if stream.read(&mut answer).await? == 0 {
            return Ok(());
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}
