use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a stand-in has read in full.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Header names are in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// The answer of a handler. `None` closes the connection without an answer once the caller has
/// given up.
pub type Answer = Option<(u16, Vec<u8>)>;

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server whose listener and connections can be closed at once, as those of a process that is
/// killed.
pub struct Server {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Starts to listen at `address`; port 0 takes a free port.
    pub fn start(address: &str, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let connections = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (accepted, ended) = (connections.clone(), stopped.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            accepted.lock().unwrap().push(clone);
                        }
                        let handler = handler.clone();
                        thread::spawn(move || serve_connection(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self { address, connections, stopped })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Some((status, body)) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            None => {
                // The caller gets no answer; the connection stays open until it closes it.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut parts = first.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Sends one request over a new connection. `None` when no complete answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "content-type: application/json\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
