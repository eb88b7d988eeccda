use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use poem::endpoint::make;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde_json::json;
use skylarkpulley_store::wire::{ListedRow, Mismatch, Written};
use skylarkpulley_store::{Fault, Faults, Operation, Row, RowTable};

use crate::control::handle_control_call;
use crate::{Connections, RunningServer, StandinError, parse_store_fault};

/// Stand-in of the platform's table service. The protocol is described in `docs/store.md`.
#[derive(Debug)]
pub struct TableService {
    server: RunningServer,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    connections: Connections,
    faults: Faults,
    reads: AtomicU64,
    table: Mutex<RowTable>,
    writes: AtomicU64,
}

/// A read, list, write or delete call, parsed from path, query, headers and body of a request.
struct Call {
    expected: u64,
    key: String,
    method: Method,
    value: Bytes,
}

impl TableService {
    /// Starts the service on `address`; for port 0 the kernel chooses a free port.
    pub async fn start(address: SocketAddr) -> Result<Self, StandinError> {
        let state = Arc::new(State::default());
        let served_state = Arc::clone(&state);
        let endpoint = make(move |request| {
            let state = Arc::clone(&served_state);
            async move { Ok::<_, poem::Error>(state.serve(request).await) }
        });
        let server = RunningServer::start(address, state.connections.clone(), endpoint).await?;
        Ok(Self { server, state })
    }

    /// Returns the server, which gives its address and connection counters and can be stopped.
    pub fn server(&mut self) -> &mut RunningServer {
        &mut self.server
    }

    /// Returns the URL of the service.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the handle with which faults are injected.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// Returns the number of read calls received, answered or not.
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of write calls received, answered or not.
    pub fn writes(&self) -> u64 {
        self.state.writes.load(Ordering::Relaxed)
    }

    /// Returns the current row at `key`, unaffected by faults such as stale reads.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.with_table(|table| table.get(key, false))
    }

    /// Stops the service and waits up to 10 s for open requests to complete.
    pub async fn stop(&mut self) {
        self.server.stop().await;
    }
}

impl State {
    fn with_table<T>(&self, call: impl FnOnce(&mut RowTable) -> T) -> T {
        call(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(&self, request: Request) -> Response {
        let counts = || {
            let (reads, writes) = (&self.reads, &self.writes);
            json!({ "reads": reads.load(Ordering::Relaxed), "writes": writes.load(Ordering::Relaxed) })
        };
        let set_fault = |fault| self.faults.set(fault);
        let request = match handle_control_call(request, parse_store_fault, set_fault, counts).await
        {
            Ok(answer) => return answer,
            Err(request) => request,
        };
        let remote = request.remote_addr().clone();
        let call = match Call::read(request).await {
            Ok(call) => call,
            Err(detail) => return text_response(StatusCode::BAD_REQUEST, detail),
        };
        let (operation, counter) = match call.method {
            Method::GET => (Operation::Read, &self.reads),
            _ => (Operation::Write, &self.writes),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let fault = self.faults.take(operation);
        match fault {
            Some(Fault::Outage) => return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Some(Fault::Hang) => {
                self.connections.wait_closed(&remote).await;
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, "hang");
            }
            Some(Fault::LostRequest) => {
                self.connections.close(&remote);
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, "lost");
            }
            Some(Fault::Race(ref value)) if operation == Operation::Write => {
                self.with_table(|table| table.overwrite(&call.key, value.clone()));
            }
            _ => {}
        }
        let answer = self.execute(call, matches!(fault, Some(Fault::StaleRead)));
        match fault {
            Some(Fault::LostAnswer) => self.connections.close(&remote),
            // The call has already been executed, as in a service whose responses are delayed.
            Some(Fault::Slow(delay)) => tokio::time::sleep(delay).await,
            _ => {}
        }
        answer
    }

    fn execute(&self, call: Call, stale: bool) -> Response {
        let Call { expected, key, method, value } = call;
        match method {
            Method::GET if key.is_empty() => {
                let prefix = String::from_utf8_lossy(&value);
                let rows = self.with_table(|table| table.list(&prefix, stale));
                let rows: Vec<_> = rows.iter().map(|(key, row)| ListedRow::new(key, row)).collect();
                json_response(StatusCode::OK, &rows)
            }
            Method::GET => match self.with_table(|table| table.get(&key, stale)) {
                Some(row) => Response::builder()
                    .header("ETag", format!("\"{}\"", row.version))
                    .body(row.value),
                None => text_response(StatusCode::NOT_FOUND, "no such row"),
            },
            Method::PUT => match self.with_table(|table| table.put(&key, expected, value)) {
                Ok(version) => json_response(StatusCode::OK, &Written { version }),
                Err(found) => json_response(StatusCode::PRECONDITION_FAILED, &Mismatch { found }),
            },
            _ => match self.with_table(|table| table.delete(&key, expected)) {
                Ok(()) => Response::builder().status(StatusCode::NO_CONTENT).finish(),
                Err(found) => json_response(StatusCode::PRECONDITION_FAILED, &Mismatch { found }),
            },
        }
    }
}

impl Call {
    /// Parses a request. A list call has an empty key, and its value is the prefix.
    async fn read(mut request: Request) -> Result<Self, &'static str> {
        let method = request.method().clone();
        if ![Method::GET, Method::PUT, Method::DELETE].contains(&method) {
            return Err("method is not GET, PUT or DELETE");
        }
        if request.uri().path() == "/rows" && method == Method::GET {
            let query: Vec<(String, String)> = request.params().map_err(|_| "malformed query")?;
            let prefix = query.into_iter().find(|(name, _)| name == "prefix");
            let value = prefix.map(|(_, prefix)| prefix.into()).unwrap_or_default();
            return Ok(Self { expected: 0, key: String::new(), method, value });
        }
        let key = request.uri().path().strip_prefix("/rows/").unwrap_or_default().to_owned();
        if key.is_empty() {
            return Err("path is not /rows or /rows/{key}");
        }
        let if_match = request.header("If-Match").map(|etag| etag.trim_matches('"').parse());
        let expected = match (if_match, request.header("If-None-Match")) {
            (Some(Ok(expected)), None) => expected,
            (None, Some("*")) => 0,
            (None, None) if method == Method::GET => 0,
            _ => return Err("a write needs If-Match: \"<version>\" or If-None-Match: *"),
        };
        let value =
            request.take_body().into_bytes().await.map_err(|_| "request body is incomplete")?;
        Ok(Self { expected, key, method, value })
    }
}

fn text_response(status: StatusCode, body: &'static str) -> Response {
    Response::builder().status(status).body(body)
}

fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder().status(status).content_type("application/json").body(body)
}
