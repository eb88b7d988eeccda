use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::StandinError;

/// Number of bytes that are forwarded at a time.
const SEGMENT_BYTES: usize = 4096;

/// A link of limited bandwidth to one server. All its connections share the bandwidth, in both
/// directions.
#[derive(Clone, Debug)]
pub struct SlowLink {
    bytes_per_s: f64,
    carried: Arc<AtomicU64>,
    /// Time at which the bytes that were accepted so far have passed.
    free_at: Arc<Mutex<Instant>>,
}

impl SlowLink {
    /// Returns a link that carries `bytes_per_s`.
    pub fn new(bytes_per_s: u32) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            carried: Arc::default(),
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Forwards connections to `target` and returns the address at which they are accepted.
    ///
    /// # Errors
    /// [`StandinError::Listen`] when no listener can be opened.
    pub async fn start(&self, target: SocketAddr) -> Result<SocketAddr, StandinError> {
        Ok(self.start_gated(target).await?.0)
    }

    /// As [`SlowLink::start`], with a gate. While it is closed, connections are closed at once.
    ///
    /// # Errors
    /// [`StandinError::Listen`] when no listener can be opened.
    pub async fn start_gated(
        &self,
        target: SocketAddr,
    ) -> Result<(SocketAddr, watch::Sender<bool>), StandinError> {
        let (gate, open) = watch::channel(true);
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen_error = |source| StandinError::Listen { address: free_port, source };
        let listener = TcpListener::bind(free_port).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        tokio::spawn(self.clone().forward(listener, target, open));
        Ok((address, gate))
    }

    /// Returns the number of bytes that the link has carried.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    async fn forward(self, listener: TcpListener, target: SocketAddr, open: watch::Receiver<bool>) {
        while let Ok((client, _)) = listener.accept().await {
            if !*open.borrow() {
                continue;
            }
            let Ok(server) = TcpStream::connect(target).await else { continue };
            tokio::spawn(self.clone().carry(client, server, open.clone()));
        }
    }

    /// Carries the bytes of one connection until one side or the gate closes it.
    async fn carry(self, client: TcpStream, server: TcpStream, mut open: watch::Receiver<bool>) {
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let closed = async {
            // The gate stays open for good when its sender is dropped.
            if open.wait_for(|open| !*open).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let both = async {
            tokio::join!(self.pump(client_read, server_write), self.pump(server_read, client_write))
        };
        tokio::select! {
            _ = both => {}
            () = closed => {}
        }
    }

    /// Copies bytes in one direction, and closes it when its sender has.
    async fn pump(&self, mut input: impl AsyncRead + Unpin, mut output: impl AsyncWrite + Unpin) {
        let mut segment = [0; SEGMENT_BYTES];
        while let Ok(length @ 1..) = input.read(&mut segment).await {
            tokio::time::sleep_until(self.reserve(length)).await;
            self.carried.fetch_add(length as u64, Ordering::Relaxed);
            if output.write_all(&segment[..length]).await.is_err() {
                return;
            }
        }
        // The connection is gone when closing it fails.
        let _ = output.shutdown().await;
    }

    /// Returns the time at which the next `length` bytes have passed.
    fn reserve(&self, length: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let passage = Duration::from_secs_f64(length as f64 / self.bytes_per_s);
        *free_at = (*free_at).max(Instant::now()) + passage;
        *free_at
    }
}
