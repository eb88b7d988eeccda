use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{Answer, Request, Server};

/// The service that gives placement advice. It handles one call at a time, and approves all workers.
pub struct Advice {
    calls: Mutex<Vec<String>>,
    decide: Duration,
    each: Duration,
    turn: Mutex<()>,
}

impl Advice {
    /// Starts the service.
    pub fn start(decide_ms: u64, each_ms: u64) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let advice = Arc::new(Self {
            calls: Mutex::new(Vec::new()),
            decide: Duration::from_millis(decide_ms),
            each: Duration::from_millis(each_ms),
            turn: Mutex::new(()),
        });
        let handled = advice.clone();
        let server =
            Server::start("127.0.0.1:0", Arc::new(move |request| handled.handle(&request)))?;
        Ok((advice, server.address()))
    }

    /// Returns the steps that were asked about, in turn.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }

    fn handle(&self, request: &Request) -> Answer {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let _turn = self.turn.lock().unwrap();
        self.calls.lock().unwrap().push(body["step"].as_str().unwrap_or_default().to_owned());
        let count = u32::try_from(workers.len()).unwrap_or(0);
        thread::sleep(self.decide + self.each * count);
        let good: Vec<Value> = workers.iter().map(|id| json!([id, "ticket"])).collect();
        Some((200, json!({ "good": good, "valid_ms": 3000 }).to_string().into_bytes()))
    }
}
