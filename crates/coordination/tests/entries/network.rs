//! Parts of a network that can be cut: a store behind a gate, and a proxy before an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use skylarkpulley_store::{
    MemoryTransactor, Page, Record, RecordKey, TransactError, Transaction, TransactionOutcome,
    Transactor,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A store that answers no call while the gate is closed.
pub struct GatedStore {
    /// Whether the next write closes the gate.
    closes: AtomicBool,
    gate: watch::Sender<bool>,
    inner: Arc<MemoryTransactor>,
}

impl GatedStore {
    /// Returns the store, and its gate, which is open.
    pub fn new(inner: Arc<MemoryTransactor>) -> (Self, watch::Sender<bool>) {
        let gate = watch::Sender::new(true);
        (Self { closes: AtomicBool::new(false), gate: gate.clone(), inner }, gate)
    }

    /// Returns the store with a gate that its first write closes behind itself.
    pub fn with_close_on_write(self) -> Self {
        Self { closes: AtomicBool::new(true), ..self }
    }

    async fn pass(&self) {
        // Waiting fails when the test has ended.
        let _ = self.gate.subscribe().wait_for(|open| *open).await;
    }
}

#[async_trait]
impl Transactor for GatedStore {
    async fn apply(&self, transaction: &Transaction) -> Result<TransactionOutcome, TransactError> {
        self.pass().await;
        if self.closes.swap(false, Ordering::SeqCst) {
            self.gate.send_replace(false);
        }
        self.inner.apply(transaction).await
    }

    async fn read(&self, key: &RecordKey) -> Result<Option<Record>, TransactError> {
        self.pass().await;
        self.inner.read(key).await
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Page, TransactError> {
        self.pass().await;
        self.inner.scan(table, after).await
    }
}

/// Returns the address of a listener that accepts connections and never answers.
pub async fn silent_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            connections.push(connection);
        }
    });
    address
}

/// Forwards connections to `target`. While the gate is closed, only the first connection carries
/// data.
pub async fn forward_first(
    listener: TcpListener,
    target: SocketAddr,
    accepted: watch::Sender<usize>,
    gate: watch::Receiver<bool>,
) {
    while let Ok((connection, _)) = listener.accept().await {
        let is_first = *accepted.borrow() == 0;
        accepted.send_modify(|count| *count += 1);
        let Ok(upstream) = TcpStream::connect(target).await else { return };
        let (source_read, source_write) = connection.into_split();
        let (target_read, target_write) = upstream.into_split();
        let gate = (!is_first).then(|| gate.clone());
        tokio::spawn(pump(source_read, target_write, gate.clone()));
        tokio::spawn(pump(target_read, source_write, gate));
    }
}

/// Forwards connections to `target`. While the gate is closed, none carries data.
pub async fn forward_while_open(
    listener: TcpListener,
    target: SocketAddr,
    gate: watch::Receiver<bool>,
) {
    while let Ok((connection, _)) = listener.accept().await {
        let Ok(upstream) = TcpStream::connect(target).await else { return };
        let (source_read, source_write) = connection.into_split();
        let (target_read, target_write) = upstream.into_split();
        tokio::spawn(pump(source_read, target_write, Some(gate.clone())));
        tokio::spawn(pump(target_read, source_write, Some(gate.clone())));
    }
}

async fn pump(
    mut input: impl AsyncRead + Unpin,
    mut output: impl AsyncWrite + Unpin,
    gate: Option<watch::Receiver<bool>>,
) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = input.read(&mut buffer).await {
        if let Some(gate) = &gate {
            // Waiting fails when the test has ended.
            let _ = gate.clone().wait_for(|open| *open).await;
        }
        if output.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
