use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use reqwest::{Client, Method, Url};
use serde::Serialize;

use crate::StandinError;

/// Highest rate, count and number of open requests; the load generator is for loopback only.
const MOST_RATE: f64 = 100_000.0;
const MOST_COUNT: u64 = 10_000_000;
const MOST_OPEN: usize = 4_096;

/// Settings of a load run. The loop is open: a request starts at its time, whatever became of the
/// earlier ones, until `open` requests are in progress.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Body of each request; the text `{n}` is replaced by the number of the request divided by
    /// `repeats`.
    pub body: String,
    /// Highest number of requests; 1 to 10 million.
    pub count: u64,
    /// Time within which a 2xx answer is on time.
    pub deadline: Duration,
    /// Longest time during which requests are started.
    pub duration: Duration,
    /// Headers of each request.
    pub headers: Vec<(String, String)>,
    /// Prefix of the `Idempotency-Key` header; the number of the request divided by `repeats` is
    /// appended.
    pub key_prefix: Option<String>,
    /// Method of each request.
    pub method: Method,
    /// Highest number of open requests, 1 to 4096; requests beyond it are counted as skipped.
    pub open: usize,
    /// Requests per second, above 0 and up to 100,000.
    pub rate: f64,
    /// Number of successive requests that share key and body, at least 1.
    pub repeats: u64,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// URLs; requests take them in turn.
    pub urls: Vec<String>,
}

impl LoadSettings {
    /// Returns settings that send `count` POST requests to `urls` at `rate` per second, with at
    /// most 1024 open, a time-out of 10 s and no limit on the run time but 60 s.
    pub fn new(urls: &[&str], rate: f64, count: u64) -> Self {
        Self {
            body: "{n}".to_owned(),
            count,
            deadline: Duration::from_secs(10),
            duration: Duration::from_secs(60),
            headers: Vec::new(),
            key_prefix: None,
            method: Method::POST,
            open: 1024,
            rate,
            repeats: 1,
            timeout: Duration::from_secs(10),
            urls: urls.iter().map(|url| (*url).to_owned()).collect(),
        }
    }

    /// Adds a header to each request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Gives each request an idempotency key of `prefix` and its number.
    pub fn with_keys(self, prefix: &str) -> Self {
        Self { key_prefix: Some(prefix.to_owned()), ..self }
    }

    /// Makes each `repeats` successive requests share key and body, as callers do that ask again.
    pub fn with_repeats(self, repeats: u64) -> Self {
        Self { repeats, ..self }
    }

    /// Sets the time within which a 2xx answer is on time.
    pub fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }

    /// Sets the body; `{n}` is replaced by the number of the request.
    pub fn with_body(self, body: &str) -> Self {
        Self { body: body.to_owned(), ..self }
    }

    /// Sets the longest time during which requests are started.
    pub fn with_duration(self, duration: Duration) -> Self {
        Self { duration, ..self }
    }

    /// Sets the time after which a request is given up.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sets the highest number of open requests.
    pub fn with_open(self, open: usize) -> Self {
        Self { open, ..self }
    }

    fn check(&self) -> Result<Vec<Url>, StandinError> {
        let fault = |name, value: &dyn Display, detail: &str| StandinError::Setting {
            name,
            value: value.to_string(),
            detail: detail.to_owned(),
        };
        if !(self.rate > 0.0 && self.rate <= MOST_RATE) {
            return Err(fault("rate", &self.rate, "above 0 and up to 100000 per second"));
        }
        if !(1..=MOST_COUNT).contains(&self.count) {
            return Err(fault("count", &self.count, "1 to 10000000"));
        }
        if self.repeats == 0 {
            return Err(fault("repeats", &self.repeats, "at least 1"));
        }
        if !(1..=MOST_OPEN).contains(&self.open) {
            return Err(fault("open", &self.open, "1 to 4096"));
        }
        if self.urls.is_empty() {
            return Err(fault("urls", &"", "at least one"));
        }
        let urls = self.urls.iter().map(|url| {
            let parsed = Url::parse(url).map_err(|error| fault("url", url, &error.to_string()))?;
            let host = parsed.host_str().unwrap_or_default().trim_matches(['[', ']']);
            let loopback = host == "localhost"
                || host.parse::<std::net::IpAddr>().is_ok_and(|address| address.is_loopback());
            if loopback { Ok(parsed) } else { Err(fault("url", url, "a loopback address")) }
        });
        urls.collect()
    }
}

/// Result of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests that were due while too many were open.
    pub skipped: u64,
    /// Answers by the `Skylarkpulley-Outcome` header; `none` when it is missing.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests without a complete answer, by cause: `timeout`, `connect`, `broken`.
    pub errors: BTreeMap<String, u64>,
    /// Complete answers with a 2xx status that did not end with the request's own body.
    pub mismatched: u64,
    /// Complete answers with a 2xx status within the deadline.
    pub on_time: u64,
    /// Complete answers per second, over the whole run.
    pub throughput: f64,
    /// Median time from the start of a request to the end of its complete answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// 99th percentile of the time by which requests started after their planned time, in
    /// milliseconds. The timer alone accounts for up to 2 ms; more means that the generator could
    /// not keep the rate.
    pub late_p99_ms: f64,
    /// Length of the run in seconds.
    pub seconds: f64,
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} skipped in {:.2} s; {:.0}/s; p50 {:.2} ms, p99 {:.2} ms; \
             starts late by {:.2} ms (p99); \
             outcomes {:?}; statuses {:?}; errors {:?}; {} on time, {} mismatched",
            self.sent,
            self.skipped,
            self.seconds,
            self.throughput,
            self.p50_ms,
            self.p99_ms,
            self.late_p99_ms,
            self.outcomes,
            self.statuses,
            self.errors,
            self.on_time,
            self.mismatched,
        )
    }
}

/// How one request ended.
struct Ending {
    late: Duration,
    latency: Duration,
    result: Result<Answer, &'static str>,
}

struct Answer {
    matched: bool,
    outcome: Option<String>,
    status: u16,
}

/// Sends the load and waits for all answers. Fails only when a setting is not allowed.
pub async fn run_load(settings: &LoadSettings) -> Result<LoadReport, StandinError> {
    let urls = settings.check()?;
    let client = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .timeout(settings.timeout)
        .build();
    let client = client.map_err(|error| StandinError::Setting {
        name: "client",
        value: String::new(),
        detail: error.to_string(),
    })?;
    let sender = Arc::new(Sender { client, settings: settings.clone(), urls });
    let begin = Instant::now();
    let mut open = FuturesUnordered::new();
    let mut tally = Tally { deadline: settings.deadline, ..Tally::default() };
    for number in 0..settings.count {
        let due = begin + Duration::from_secs_f64(number as f64 / settings.rate);
        if due - begin >= settings.duration {
            break;
        }
        // Endings are collected while the next start is awaited.
        loop {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(due.into()) => break,
                Some(ending) = open.next(), if !open.is_empty() => tally.add(ending),
            }
        }
        if open.len() >= settings.open {
            tally.report.skipped += 1;
            continue;
        }
        tally.report.sent += 1;
        let sender = Arc::clone(&sender);
        open.push(tokio::spawn(async move { sender.send(number, due).await }));
    }
    while let Some(ending) = open.next().await {
        tally.add(ending);
    }
    Ok(tally.finish(begin.elapsed()))
}

struct Sender {
    client: Client,
    settings: LoadSettings,
    urls: Vec<Url>,
}

impl Sender {
    async fn send(&self, number: u64, due: Instant) -> Ending {
        let shared = (number / self.settings.repeats).to_string();
        let body = Bytes::from(self.settings.body.replace("{n}", &shared));
        let start = Instant::now();
        let result = self.exchange(number, &shared, body).await.map_err(|error| match error {
            error if error.is_timeout() => "timeout",
            error if error.is_connect() => "connect",
            _ => "broken",
        });
        Ending { late: start.saturating_duration_since(due), latency: start.elapsed(), result }
    }

    async fn exchange(
        &self,
        number: u64,
        shared: &str,
        body: Bytes,
    ) -> Result<Answer, reqwest::Error> {
        let url = self.urls[(number % self.urls.len() as u64) as usize].clone();
        let mut request = self.client.request(self.settings.method.clone(), url);
        for (name, value) in &self.settings.headers {
            request = request.header(name, value);
        }
        if let Some(prefix) = &self.settings.key_prefix {
            request = request.header("Idempotency-Key", format!("{prefix}{shared}"));
        }
        let answer = request.body(body.clone()).send().await?;
        let status = answer.status();
        let outcome = answer.headers().get("Skylarkpulley-Outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let received = answer.bytes().await?;
        let matched = !status.is_success() || received.ends_with(&body);
        Ok(Answer { matched, outcome, status: status.as_u16() })
    }
}

#[derive(Default)]
struct Tally {
    deadline: Duration,
    late: Vec<Duration>,
    latencies: Vec<Duration>,
    report: LoadReport,
}

impl Tally {
    fn add(&mut self, ending: Result<Ending, tokio::task::JoinError>) {
        let report = &mut self.report;
        let Ok(ending) = ending else {
            *report.errors.entry("broken".to_owned()).or_default() += 1;
            return;
        };
        self.late.push(ending.late);
        match ending.result {
            Ok(answer) => {
                let outcome = answer.outcome.unwrap_or_else(|| "none".to_owned());
                *report.outcomes.entry(outcome).or_default() += 1;
                *report.statuses.entry(answer.status).or_default() += 1;
                report.mismatched += u64::from(!answer.matched);
                let success = (200..300).contains(&answer.status);
                report.on_time += u64::from(success && ending.latency <= self.deadline);
                self.latencies.push(ending.latency);
            }
            Err(cause) => *report.errors.entry(cause.to_owned()).or_default() += 1,
        }
    }

    fn finish(mut self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64();
        LoadReport {
            p50_ms: rank_ms(&mut self.latencies, 0.5),
            p99_ms: rank_ms(&mut self.latencies, 0.99),
            late_p99_ms: rank_ms(&mut self.late, 0.99),
            seconds,
            throughput: self.latencies.len() as f64 / seconds.max(f64::MIN_POSITIVE),
            ..self.report
        }
    }
}

/// Sorts `times` and returns the one at `share` of their number, in milliseconds.
fn rank_ms(times: &mut [Duration], share: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let at = (last as f64 * share).round() as usize;
    times.get(at).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
