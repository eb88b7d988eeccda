use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;

/// Tries of one request through different entries, as a caller behind a balancer makes them.
const TRIES: usize = 4;

/// Pause between two tries.
const TRY_DELAY: Duration = Duration::from_millis(150);

/// One kind of request.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Path of the route.
    pub path: String,
    /// Requests per second.
    pub rate: u32,
    /// True for requests with an idempotency key.
    pub keyed: bool,
    /// Deadline that is shorter than the route's.
    pub deadline: Option<Duration>,
    /// Teams that take turns.
    pub teams: Vec<String>,
}

/// How one request ended for its caller.
#[derive(Clone, Debug)]
pub struct CallEnd {
    /// The idempotency key.
    pub key: Option<String>,
    /// Outcome of each try: `answered`, `not-run`, `unknown`, `refused-connection` or `broken`.
    pub tries: Vec<String>,
    /// Reason of the last refusal.
    pub reason: String,
    /// Time until the last try ended.
    pub time: Duration,
    /// False when an answer does not belong to the request.
    pub matched: bool,
}

/// The entries that callers use; shared, so that a stopped one can be taken out as a balancer does.
pub type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends requests at a steady rate for `length` and returns how each ended.
pub async fn send_requests(spec: CallerSpec, entries: Entries, length: Duration) -> Vec<CallEnd> {
    let client = Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(5))
        .build()
        .unwrap_or_default();
    let count = u64::from(spec.rate) * length.as_millis() as u64 / 1000;
    let begin = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        let due = begin + Duration::from_secs_f64(number as f64 / f64::from(spec.rate));
        tokio::time::sleep_until(due).await;
        let (client, spec, entries) = (client.clone(), spec.clone(), Arc::clone(&entries));
        tasks.spawn(async move { call(&client, &spec, &entries, number).await });
    }
    tasks.join_all().await
}

async fn call(client: &Client, spec: &CallerSpec, entries: &Entries, number: u64) -> CallEnd {
    let start = Instant::now();
    let body = format!("{}-{number}", spec.path.trim_matches('/').replace('/', "-"));
    let mut end = CallEnd {
        key: spec.keyed.then(|| format!("{body}-key")),
        tries: Vec::new(),
        reason: String::new(),
        time: Duration::ZERO,
        matched: true,
    };
    let team = &spec.teams[number as usize % spec.teams.len()];
    for attempt in 0..TRIES {
        let Some(entry) = choose(entries, number as usize + attempt) else { break };
        let mut request = client
            .post(format!("http://{entry}{}", spec.path))
            .header("Skylarkpulley-Team", team)
            .body(body.clone());
        if let Some(deadline) = spec.deadline {
            request = request.header("Skylarkpulley-Deadline-Ms", deadline.as_millis().to_string());
        }
        if let Some(key) = &end.key {
            request = request.header("Idempotency-Key", key);
        }
        let outcome = send(request, &body, &mut end).await;
        let last = outcome == "answered";
        end.tries.push(outcome);
        if last {
            break;
        }
        tokio::time::sleep(TRY_DELAY).await;
    }
    end.time = start.elapsed();
    end
}

fn choose(entries: &Entries, turn: usize) -> Option<SocketAddr> {
    let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
    entries.get(turn % entries.len().max(1)).copied()
}

async fn send(request: reqwest::RequestBuilder, body: &str, end: &mut CallEnd) -> String {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return "refused-connection".to_owned(),
        Err(_) => return "broken".to_owned(),
    };
    let outcome = response.headers().get("skylarkpulley-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let Ok(text) = response.text().await else { return "broken".to_owned() };
    if outcome == "answered" {
        end.matched = text.ends_with(body);
    } else {
        end.reason = reason(&text);
    }
    outcome
}

fn reason(text: &str) -> String {
    let json: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    json["reason"].as_str().unwrap_or("no reason given").to_owned()
}

/// Counts requests by the outcome of their last try.
pub fn count_outcomes(ends: &[CallEnd]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for end in ends {
        let outcome = end.tries.last().cloned().unwrap_or_else(|| "none".to_owned());
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}
