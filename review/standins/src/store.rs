use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Answer, Request, Server};

/// Maximum size of the value of a row.
const ROW_BYTES: usize = 65_536;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    /// Rows by table, part and key, with their value and version.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes by version; `None` is a dropped row.
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

/// The platform's store: rows with versions, transactions, reads and the feed.
pub struct Store {
    changed: Condvar,
    down_until: Mutex<Option<Instant>>,
    /// Rows that were refused for their size.
    refused: Mutex<Vec<String>>,
    started: Instant,
    state: Mutex<State>,
}

impl Store {
    /// Returns the rows that were refused for their size.
    pub fn refused_rows(&self) -> Vec<String> {
        self.refused.lock().unwrap().clone()
    }

    /// Answers all calls with status 503 from now on for `length`.
    pub fn take_down(&self, length: Duration) {
        *self.down_until.lock().unwrap() = Some(Instant::now() + length);
        self.changed.notify_all();
    }

    fn is_down(&self) -> bool {
        self.down_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }

    /// Starts a store that holds `config` as the operator's row.
    pub fn start(config: &Value) -> std::io::Result<(Arc<Self>, Server)> {
        let store = Arc::new(Self {
            changed: Condvar::new(),
            down_until: Mutex::new(None),
            refused: Mutex::new(Vec::new()),
            started: Instant::now(),
            state: Mutex::new(State::default()),
        });
        store.put("op", "", "config", &STANDARD.encode(config.to_string()));
        let handled = store.clone();
        let server =
            Server::start("127.0.0.1:0", Arc::new(move |request| handled.handle(&request)))?;
        Ok((store, server))
    }

    fn put(&self, table: &str, part: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        state.rows.insert(key.clone(), (value.to_owned(), version));
        state.changes.push((version, key, Some(value.to_owned())));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.is_down() {
            return Some((503, Vec::new()));
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (404, json!({})),
        };
        Some((answer.0, answer.1.to_string().into_bytes()))
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        // A transaction takes 8 ms.
        std::thread::sleep(Duration::from_millis(8));
        let Ok(body) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let size = |entry: &Value| {
            let text = entry["value"].as_str().unwrap_or_default();
            STANDARD.decode(text).map_or(usize::MAX, |bytes| bytes.len())
        };
        if let Some(entry) = entries("upserts").iter().find(|entry| size(entry) > ROW_BYTES) {
            let (table, key) = (&entry["table"], &entry["key"]);
            self.refused.lock().unwrap().push(format!("{table} {key}: {} bytes", size(entry)));
            return (400, json!({ "reason": "a row has more than row_bytes" }));
        }
        let mut state = self.state.lock().unwrap();
        let expected = entries("expect");
        let holds = expected.iter().all(|entry| {
            let version = state.rows.get(&row_key(entry)).map_or(0, |row| row.1);
            Some(version) == entry["ver"].as_u64()
        });
        if !holds {
            let rows: Vec<Value> =
                expected.iter().map(|entry| row(&row_key(entry), &state)).collect();
            return (412, json!({ "rows": rows, "ver": state.version, "now_ms": self.now_ms() }));
        }
        state.version += 1;
        let version = state.version;
        for entry in entries("upserts") {
            let (key, value) = (row_key(&entry), entry["value"].as_str().unwrap_or("").to_owned());
            state.rows.insert(key.clone(), (value.clone(), version));
            state.changes.push((version, key, Some(value)));
        }
        for entry in entries("deletes") {
            let key = row_key(&entry);
            state.rows.remove(&key);
            state.changes.push((version, key, None));
        }
        self.changed.notify_all();
        (200, json!({ "ver": version, "now_ms": self.now_ms() }))
    }

    fn get(&self, request: &Request) -> (u16, Value) {
        std::thread::sleep(Duration::from_millis(2));
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let limit: usize = text("limit").parse().unwrap_or(500);
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let state = self.state.lock().unwrap();
        let keys: Vec<Key> = state
            .rows
            .keys()
            .filter(|key| key.0 == table && key.1 == part && key.2 >= from)
            .filter(|key| to.is_empty() || key.2 < to)
            .cloned()
            .collect();
        let rows: Vec<Value> = keys.iter().take(limit).map(|key| row(key, &state)).collect();
        let has_more = keys.len() > limit;
        (
            200,
            json!({ "rows": rows, "has_more": has_more, "ver": state.version, "now_ms": self.now_ms() }),
        )
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = request.query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let rows: Vec<Value> = state
                .changes
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| match value {
                    Some(value) => json!({ "table": key.0, "part": key.1, "key": key.2,
                        "value": value, "ver": version }),
                    None => json!({ "table": key.0, "part": key.1, "key": key.2,
                        "tombstone": true, "ver": version }),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = json!({ "rows": rows, "ver": state.version, "now_ms": self.now_ms() });
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_key(entry: &Value) -> Key {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, state: &State) -> Value {
    let (value, version) = state.rows.get(key).cloned().unwrap_or_default();
    json!({ "table": key.0, "part": key.1, "key": key.2, "value": value, "ver": version })
}
