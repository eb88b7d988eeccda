use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::{HANG_LIMIT, Process, Target};

/// Size of a head or of blank lines that a client sends before it waits. It is below the size at which
/// hyper closes a connection by default.
const ENDLESS_BYTES: usize = 360_000;

/// Bytes of bodies in chunks of one byte. Processes without optimisation take long to decode more.
const TINY_CHUNKS: usize = 10_000;

/// What a client of a crowd sends before it waits.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Blank lines without a request.
    BlankLines,
    /// A body that stops short of its declared length, piece by piece.
    BodyInPieces,
    /// Header lines without an end.
    Head,
    /// A body in chunks of 8 KB without the last one.
    LargeChunks,
    /// A body in chunks of one byte without the last one.
    TinyChunks,
    /// A body that stops short of its declared length, in one piece.
    WholeBody,
}

/// All kinds of clients.
pub const KINDS: [Kind; 6] = [
    Kind::BlankLines,
    Kind::BodyInPieces,
    Kind::Head,
    Kind::LargeChunks,
    Kind::TinyChunks,
    Kind::WholeBody,
];

/// Open connections of clients that wait after what they have sent.
pub struct Crowd {
    /// Connections that the server had not closed while their clients sent.
    pub open: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `size` clients of `kinds` in turn. Waits until the process has read what each client
    /// has sent, or has closed its connection. The connections stay open as long as the result lives.
    ///
    /// # Panics
    /// When the process neither reads nor closes a connection within [`HANG_LIMIT`].
    pub async fn gather(
        process: &mut Process,
        target: &Target,
        kinds: &[Kind],
        size: usize,
    ) -> Self {
        let mut clients = JoinSet::new();
        for number in 0..size {
            clients.spawn(send_unfinished(target.clone(), kinds[number % kinds.len()]));
        }
        let mut open = Vec::new();
        let all = async {
            while let Some(client) = clients.join_next().await {
                open.extend(client.expect("a client"));
                process.count_descriptors();
            }
        };
        tokio::time::timeout(HANG_LIMIT, all).await.expect("the server reads or closes");
        wait_until_read(target).await;
        Self { open }
    }

    /// Runs crowds of `size` clients one after the other against one listener, each until an ordinary
    /// request is answered, and checks the process.
    ///
    /// # Panics
    /// When the process has ended, has exceeded its bounds or does not answer.
    pub async fn endure(process: &mut Process, target: &Target, crowds: &[&[Kind]], size: usize) {
        for kinds in crowds {
            let crowd = Self::gather(process, target, kinds, size).await;
            target.expect_answer().await;
            process.check(&format!("{kinds:?}, {} open", crowd.open.len()));
        }
    }
}

/// Waits until the process has read all that was sent to a listener.
///
/// # Panics
/// When it does not within [`HANG_LIMIT`].
pub async fn wait_until_read(target: &Target) {
    let read = async {
        while unread_bytes(target.address.port()) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, read).await.expect("the server reads or closes");
}

/// Sends an unfinished request; returns the connection, which stays open, unless the server has closed
/// it.
async fn send_unfinished(target: Target, kind: Kind) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(target.address).await.ok()?;
    let head = format!("{}\r\n{}", target.line, target.headers);
    let size = target.body_bytes;
    match kind {
        Kind::BlankLines => send_in_pieces(&mut stream, &b"\r\n".repeat(ENDLESS_BYTES / 2)).await?,
        Kind::Head => {
            let lines = format!("x-filler: {}\r\n", "a".repeat(4084)).repeat(ENDLESS_BYTES / 4096);
            send_in_pieces(&mut stream, format!("{head}{lines}").as_bytes()).await?;
        }
        Kind::WholeBody | Kind::BodyInPieces => {
            let head = format!("{head}content-length: {}\r\n\r\n", size + 1024);
            let bytes = [head.into_bytes(), vec![b' '; size]].concat();
            if matches!(kind, Kind::WholeBody) {
                stream.write_all(&bytes).await.ok()?;
            } else {
                send_in_pieces(&mut stream, &bytes).await?;
            }
        }
        Kind::LargeChunks => {
            let chunk = format!("2000\r\n{}\r\n", " ".repeat(8192));
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            let bytes = [head, chunk.repeat(size / 8192)].concat();
            send_in_pieces(&mut stream, bytes.as_bytes()).await?;
        }
        Kind::TinyChunks => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            let bytes = [head, "1\r\n \r\n".repeat(size.min(TINY_CHUNKS))].concat();
            stream.write_all(bytes.as_bytes()).await.ok()?;
        }
    }
    Some(stream)
}

async fn send_in_pieces(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    for piece in bytes.chunks(4096) {
        stream.write_all(piece).await.ok()?;
        tokio::task::yield_now().await;
    }
    Some(())
}

/// Returns the number of bytes that were sent to the listener at `port` and that its process has not
/// read from the kernel.
fn unread_bytes(port: u16) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
    let suffix = format!(":{port:04X}");
    let unread = sockets.lines().skip(1).filter_map(|line| {
        let [_, local, remote, _, queues] = line.split_whitespace().collect::<Vec<_>>()[..5] else {
            return None;
        };
        let (sent, received) = queues.split_once(':')?;
        let size = if local.ends_with(&suffix) {
            received
        } else if remote.ends_with(&suffix) {
            sent
        } else {
            return None;
        };
        u64::from_str_radix(size, 16).ok()
    });
    unread.sum()
}
