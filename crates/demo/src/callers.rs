use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use reqwest::Client;

/// A caller sends one request at most this number of times, each time through the next entry, as a
/// caller behind a load balancer does.
const MAX_SENDS: usize = 4;

/// Pause before a request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// One kind of request and the rate at which it is sent.
#[derive(Clone, Debug)]
pub struct CallerSpec {
    /// Path of the route.
    pub path: String,
    /// Requests per second.
    pub rate: u32,
    /// True for requests with an idempotency key.
    pub keyed: bool,
    /// Deadline that is sent with each request; it is shorter than that of the route.
    pub deadline: Option<Duration>,
    /// Teams in whose names the requests are sent, in rotation.
    pub teams: Vec<String>,
}

/// Result of one request as its caller observed it.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The idempotency key.
    pub key: Option<String>,
    /// Outcome of each send: `answered`, `not-run`, `unknown`, `refused-connection` or `broken`.
    pub outcomes: Vec<String>,
    /// Reason of the last refusal.
    pub reason: String,
    /// Time from the first send to the last outcome.
    pub elapsed: Duration,
    /// False when an answer has the body of another request.
    pub body_matches: bool,
}

/// Addresses of the entries that callers use. The list is shared, so that the address of a stopped
/// entry can be removed while callers send, as a load balancer does.
pub type EntryAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends requests at a steady rate for `duration` and returns the result of each.
pub async fn send_requests(
    spec: CallerSpec,
    entries: EntryAddresses,
    duration: Duration,
) -> Vec<CallResult> {
    let client = Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(5))
        .build()
        .unwrap_or_default();
    let count = u64::from(spec.rate) * duration.as_millis() as u64 / 1000;
    let start = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..count {
        let due_at = start + Duration::from_secs_f64(number as f64 / f64::from(spec.rate));
        tokio::time::sleep_until(due_at).await;
        let (client, spec, entries) = (client.clone(), spec.clone(), Arc::clone(&entries));
        tasks.spawn(async move { send_until_answered(&client, &spec, &entries, number).await });
    }
    tasks.join_all().await
}

async fn send_until_answered(
    client: &Client,
    spec: &CallerSpec,
    entries: &EntryAddresses,
    number: u64,
) -> CallResult {
    let start = Instant::now();
    let body = format!("{}-{number}", spec.path.trim_matches('/').replace('/', "-"));
    let mut result = CallResult {
        key: spec.keyed.then(|| format!("{body}-key")),
        outcomes: Vec::new(),
        reason: String::new(),
        elapsed: Duration::ZERO,
        body_matches: true,
    };
    let team = &spec.teams[number as usize % spec.teams.len()];
    for send_index in 0..MAX_SENDS {
        let Some(entry) = choose_entry(entries, number as usize + send_index) else { break };
        let mut request = client
            .post(format!("http://{entry}{}", spec.path))
            .header("Skylarkpulley-Team", team)
            .body(body.clone());
        if let Some(deadline) = spec.deadline {
            request = request.header("Skylarkpulley-Deadline-Ms", deadline.as_millis().to_string());
        }
        if let Some(key) = &result.key {
            request = request.header("Idempotency-Key", key);
        }
        let outcome = send_once(request, &body, &mut result).await;
        let is_answered = outcome == "answered";
        result.outcomes.push(outcome);
        if is_answered {
            break;
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
    result.elapsed = start.elapsed();
    result
}

fn choose_entry(entries: &EntryAddresses, index: usize) -> Option<SocketAddr> {
    let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
    entries.get(index % entries.len().max(1)).copied()
}

async fn send_once(
    request: reqwest::RequestBuilder,
    body: &str,
    result: &mut CallResult,
) -> String {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return "refused-connection".to_owned(),
        Err(_) => return "broken".to_owned(),
    };
    let outcome = response.headers().get("skylarkpulley-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let Ok(text) = response.text().await else { return "broken".to_owned() };
    if outcome == "answered" {
        result.body_matches = text.ends_with(body);
    } else {
        result.reason = refusal_reason(&text);
    }
    outcome
}

fn refusal_reason(text: &str) -> String {
    let json: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    json["reason"].as_str().unwrap_or("no reason given").to_owned()
}

/// Counts requests by their last outcome.
pub fn count_outcomes(results: &[CallResult]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for result in results {
        let outcome = result.outcomes.last().cloned().unwrap_or_else(|| "none".to_owned());
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}
