use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::{HANG_LIMIT, Process};

/// First bytes of a client's HTTP/2 connection, with an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// Size of the frames of a head without end, and their number. The head is 1 MB.
const FRAME_BYTES: usize = 16_384;
const HEAD_FRAMES: usize = 64;

/// Calls that a client opens at once on its connection.
const CALLS: usize = 4;

/// Bytes of an unfinished message of 4 MB that are sent.
const MESSAGE_BYTES: usize = 262_144;

/// Interval between two looks at what the clients have sent, and the number of looks without a change
/// after which they wait for the server.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const QUIET_LOOKS: u32 = 10;

/// What a client of a control listener does before it waits.
#[derive(Clone, Copy, Debug)]
pub enum ControlKind {
    /// It sends a head without an end.
    Head,
    /// It opens calls and sends messages that stop short of their declared length.
    Messages,
    /// It sends the start of an HTTP/2 connection.
    Preface,
    /// It sends nothing.
    Silent,
}

/// All kinds of clients of a control listener.
pub const CONTROL_KINDS: [ControlKind; 4] =
    [ControlKind::Head, ControlKind::Messages, ControlKind::Preface, ControlKind::Silent];

/// A control listener, and the path of a call that its server knows.
#[derive(Clone, Copy, Debug)]
pub struct ControlTarget {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Path of a call.
    pub path: &'static str,
}

impl ControlTarget {
    /// Calls the server on a new connection until it answers. A refusal of the call is an answer.
    ///
    /// # Panics
    /// When there is no answer within [`HANG_LIMIT`].
    pub async fn expect_answer(&self) {
        let answered = async {
            while self.call().await.is_none() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, answered).await.expect("a call is answered");
    }

    async fn call(&self) -> Option<()> {
        let (mut client, _driver) = connect(self.address).await?;
        let (response, _) = client.send_request(self.request(), true).ok()?;
        response.await.ok().map(|_| ())
    }

    fn request(&self) -> Request<()> {
        let request = Request::post(format!("http://{}{}", self.address, self.path))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        request.body(()).expect("a valid request")
    }
}

/// Clients of a control listener that wait after what they have sent.
pub struct ControlCrowd {
    _clients: JoinSet<Option<()>>,
}

impl ControlCrowd {
    /// Connects `size` clients of `kinds` in turn, and waits until they send nothing more.
    ///
    /// # Panics
    /// When they go on sending for [`HANG_LIMIT`].
    pub async fn gather(
        process: &mut Process,
        target: ControlTarget,
        kinds: &[ControlKind],
        size: usize,
    ) -> Self {
        let sent = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for number in 0..size {
            clients.spawn(send_unfinished(target, kinds[number % kinds.len()], sent.clone()));
        }
        let quiet = async {
            let (mut looks, mut before) = (0, 0);
            while looks < QUIET_LOOKS {
                tokio::time::sleep(LOOK_INTERVAL).await;
                process.count_descriptors();
                let now = sent.load(Ordering::Relaxed);
                looks = if now == before { looks + 1 } else { 0 };
                before = now;
            }
        };
        tokio::time::timeout(HANG_LIMIT, quiet).await.expect("the clients wait for the server");
        Self { _clients: clients }
    }

    /// Runs crowds of `size` clients one after the other, each until a call is answered, and checks the
    /// process.
    ///
    /// # Panics
    /// When the process has ended, has exceeded its bounds or does not answer.
    pub async fn endure(
        process: &mut Process,
        target: ControlTarget,
        crowds: &[&[ControlKind]],
        size: usize,
    ) {
        for kinds in crowds {
            let _crowd = Self::gather(process, target, kinds, size).await;
            target.expect_answer().await;
            process.check(&format!("{kinds:?}"));
        }
    }
}

/// Sends what a client of `kind` does, and keeps the connection open until the task is dropped or the
/// server closes it.
async fn send_unfinished(
    target: ControlTarget,
    kind: ControlKind,
    sent: Arc<AtomicU64>,
) -> Option<()> {
    if let ControlKind::Messages = kind {
        return send_messages(target, &sent).await;
    }
    let mut stream = TcpStream::connect(target.address).await.ok()?;
    let count = |bytes: usize| sent.fetch_add(bytes as u64, Ordering::Relaxed);
    count(1);
    if !matches!(kind, ControlKind::Silent) {
        stream.write_all(PREFACE).await.ok()?;
    }
    if matches!(kind, ControlKind::Head) {
        for number in 0..HEAD_FRAMES {
            stream.write_all(&head_frame(number)).await.ok()?;
            count(FRAME_BYTES);
        }
    }
    std::future::pending().await
}

/// Returns a part of a head that does not end: a HEADERS frame, or a CONTINUATION frame after it.
fn head_frame(number: usize) -> Vec<u8> {
    // A literal header without indexing: its name "x", and a value of FRAME_BYTES - 6 bytes.
    let length = FRAME_BYTES - 6 - 127;
    let header = [0, 1, b'x', 127, (length % 128) as u8 | 128, (length / 128) as u8];
    let kind = if number == 0 { 1 } else { 9 };
    let mut frame = vec![0, (FRAME_BYTES >> 8) as u8, FRAME_BYTES as u8, kind, 0, 0, 0, 0, 1];
    frame.extend(header);
    frame.resize(9 + FRAME_BYTES, b'a');
    frame
}

async fn send_messages(target: ControlTarget, sent: &AtomicU64) -> Option<()> {
    let (mut client, _driver) = connect(target.address).await?;
    let mut calls = Vec::new();
    for _ in 0..CALLS {
        client = client.ready().await.ok()?;
        let (response, mut body) = client.send_request(target.request(), false).ok()?;
        calls.push(async move {
            // The prefix of a message of 4 MB less one byte.
            let mut part = Bytes::from_static(&[0, 0, 0x3f, 0xff, 0xff]);
            let mut left = MESSAGE_BYTES;
            while left > 0 {
                body.reserve_capacity(part.len());
                while body.capacity() < part.len() {
                    std::future::poll_fn(|context| body.poll_capacity(context)).await?.ok()?;
                }
                left = left.saturating_sub(part.len());
                sent.fetch_add(part.len() as u64, Ordering::Relaxed);
                body.send_data(std::mem::replace(&mut part, vec![0; 8192].into()), false).ok()?;
            }
            // The call stays open as long as the server waits for the rest of the message.
            let _ = response.await;
            Some(())
        });
    }
    futures::future::join_all(calls).await;
    std::future::pending().await
}

/// Opens an HTTP/2 connection; it is driven as long as the second value lives.
async fn connect(address: SocketAddr) -> Option<(SendRequest<Bytes>, JoinSet<()>)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (client, connection) = h2::client::handshake(stream).await.ok()?;
    let mut driver = JoinSet::new();
    driver.spawn(async move { drop(connection.await) });
    Some((client, driver))
}
