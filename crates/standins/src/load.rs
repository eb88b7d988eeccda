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

/// Upper bounds of the settings rate (per second), count and open; the load generator sends to
/// loopback addresses only.
const MAX_RATE: f64 = 100_000.0;
const MAX_COUNT: u64 = 10_000_000;
const MAX_OPEN: usize = 4_096;

/// Settings of a load run. The loop is open: each request starts at its planned time, whether or
/// not earlier requests have completed, unless `open` requests are in progress.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Body of each request; the text `{n}` is replaced by the number of the request divided by
    /// `repeats`.
    pub body: String,
    /// Highest number of requests, 1 to 10 million.
    pub count: u64,
    /// Time within which a 2xx answer counts as on time.
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
    /// Highest number of open requests, 1 to 4096; requests that would exceed it are counted as
    /// skipped.
    pub open: usize,
    /// Requests per second, above 0 and up to 100,000.
    pub rate: f64,
    /// Number of successive requests that share key and body, at least 1.
    pub repeats: u64,
    /// Time-out of each request.
    pub timeout: Duration,
    /// URLs, used by the requests in rotation.
    pub urls: Vec<String>,
}

impl LoadSettings {
    /// Returns settings that send `count` POST requests to `urls` at `rate` per second, with at
    /// most 1024 open, a time-out of 10 s and a longest run time of 60 s.
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

    /// Gives each request an idempotency key, which is `prefix` followed by the request's number
    /// divided by `repeats`.
    pub fn with_keys(self, prefix: &str) -> Self {
        Self { key_prefix: Some(prefix.to_owned()), ..self }
    }

    /// Makes each group of `repeats` successive requests share key and body, as the requests of a
    /// caller that retries do.
    pub fn with_repeats(self, repeats: u64) -> Self {
        Self { repeats, ..self }
    }

    /// Sets the time within which a 2xx answer counts as on time.
    pub fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline, ..self }
    }

    /// Sets the body; `{n}` is replaced by the number of the request divided by `repeats`.
    pub fn with_body(self, body: &str) -> Self {
        Self { body: body.to_owned(), ..self }
    }

    /// Sets the longest time during which requests are started.
    pub fn with_duration(self, duration: Duration) -> Self {
        Self { duration, ..self }
    }

    /// Sets the time-out of each request.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sets the highest number of open requests.
    pub fn with_open(self, open: usize) -> Self {
        Self { open, ..self }
    }

    fn validate(&self) -> Result<Vec<Url>, StandinError> {
        let invalid = |name, value: &dyn Display, detail: &str| StandinError::Setting {
            name,
            value: value.to_string(),
            detail: detail.to_owned(),
        };
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) {
            return Err(invalid("rate", &self.rate, "must be above 0 and up to 100000 per second"));
        }
        if !(1..=MAX_COUNT).contains(&self.count) {
            return Err(invalid("count", &self.count, "must be 1 to 10000000"));
        }
        if self.repeats == 0 {
            return Err(invalid("repeats", &self.repeats, "must be at least 1"));
        }
        if !(1..=MAX_OPEN).contains(&self.open) {
            return Err(invalid("open", &self.open, "must be 1 to 4096"));
        }
        if self.urls.is_empty() {
            return Err(invalid("urls", &"", "must contain at least one URL"));
        }
        let urls = self.urls.iter().map(|url| {
            let parsed =
                Url::parse(url).map_err(|error| invalid("url", url, &error.to_string()))?;
            let host = parsed.host_str().unwrap_or_default().trim_matches(['[', ']']);
            let loopback = host == "localhost"
                || host.parse::<std::net::IpAddr>().is_ok_and(|address| address.is_loopback());
            if loopback {
                Ok(parsed)
            } else {
                Err(invalid("url", url, "must have a loopback address"))
            }
        });
        urls.collect()
    }
}

/// Result of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests that were not sent, because `open` requests were in progress when they were due.
    pub skipped: u64,
    /// Answers by the `Skylarkpulley-Outcome` header; `none` when it is missing.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Requests without a complete answer, by cause: `timeout`, `connect`, `broken`.
    pub errors: BTreeMap<String, u64>,
    /// Complete answers with a 2xx status that did not end with the body of the request.
    pub mismatched: u64,
    /// Complete answers with a 2xx status within the deadline.
    pub on_time: u64,
    /// Complete answers per second, over the whole run.
    pub throughput: f64,
    /// Median time from the start of a request to the end of its complete answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same time, in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of the delay between the planned and the actual start of a request, in
    /// milliseconds. The timer alone accounts for up to 2 ms; a higher value means that the
    /// generator did not keep the rate.
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

/// Result and times of one request.
struct Completion {
    /// Time by which the request started after its planned time.
    delay: Duration,
    latency: Duration,
    result: Result<Answer, &'static str>,
}

struct Answer {
    body_matched: bool,
    outcome: Option<String>,
    status: u16,
}

/// Sends the load and waits until all requests have completed. Fails only when a setting is not
/// allowed.
pub async fn run_load(settings: &LoadSettings) -> Result<LoadReport, StandinError> {
    let urls = settings.validate()?;
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
    let started = Instant::now();
    let mut open = FuturesUnordered::new();
    let mut tally = Tally { deadline: settings.deadline, ..Tally::default() };
    for number in 0..settings.count {
        let due = started + Duration::from_secs_f64(number as f64 / settings.rate);
        if due - started >= settings.duration {
            break;
        }
        // Completed requests are collected until the next request is due.
        loop {
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(due.into()) => break,
                Some(completion) = open.next(), if !open.is_empty() => tally.add(completion),
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
    while let Some(completion) = open.next().await {
        tally.add(completion);
    }
    Ok(tally.finish(started.elapsed()))
}

struct Sender {
    client: Client,
    settings: LoadSettings,
    urls: Vec<Url>,
}

impl Sender {
    async fn send(&self, number: u64, due: Instant) -> Completion {
        let shared_number = (number / self.settings.repeats).to_string();
        let body = Bytes::from(self.settings.body.replace("{n}", &shared_number));
        let start = Instant::now();
        let result =
            self.send_request(number, &shared_number, body).await.map_err(|error| match error {
                error if error.is_timeout() => "timeout",
                error if error.is_connect() => "connect",
                _ => "broken",
            });
        Completion { delay: start.saturating_duration_since(due), latency: start.elapsed(), result }
    }

    async fn send_request(
        &self,
        number: u64,
        shared_number: &str,
        body: Bytes,
    ) -> Result<Answer, reqwest::Error> {
        let url = self.urls[(number % self.urls.len() as u64) as usize].clone();
        let mut request = self.client.request(self.settings.method.clone(), url);
        for (name, value) in &self.settings.headers {
            request = request.header(name, value);
        }
        if let Some(prefix) = &self.settings.key_prefix {
            request = request.header("Idempotency-Key", format!("{prefix}{shared_number}"));
        }
        let answer = request.body(body.clone()).send().await?;
        let status = answer.status();
        let outcome = answer.headers().get("Skylarkpulley-Outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let received = answer.bytes().await?;
        let body_matched = !status.is_success() || received.ends_with(&body);
        Ok(Answer { body_matched, outcome, status: status.as_u16() })
    }
}

#[derive(Default)]
struct Tally {
    deadline: Duration,
    delays: Vec<Duration>,
    latencies: Vec<Duration>,
    report: LoadReport,
}

impl Tally {
    fn add(&mut self, completion: Result<Completion, tokio::task::JoinError>) {
        let report = &mut self.report;
        let Ok(completion) = completion else {
            *report.errors.entry("broken".to_owned()).or_default() += 1;
            return;
        };
        self.delays.push(completion.delay);
        match completion.result {
            Ok(answer) => {
                let outcome = answer.outcome.unwrap_or_else(|| "none".to_owned());
                *report.outcomes.entry(outcome).or_default() += 1;
                *report.statuses.entry(answer.status).or_default() += 1;
                report.mismatched += u64::from(!answer.body_matched);
                let success = (200..300).contains(&answer.status);
                report.on_time += u64::from(success && completion.latency <= self.deadline);
                self.latencies.push(completion.latency);
            }
            Err(cause) => *report.errors.entry(cause.to_owned()).or_default() += 1,
        }
    }

    fn finish(mut self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64();
        LoadReport {
            p50_ms: percentile_ms(&mut self.latencies, 0.5),
            p99_ms: percentile_ms(&mut self.latencies, 0.99),
            late_p99_ms: percentile_ms(&mut self.delays, 0.99),
            seconds,
            throughput: self.latencies.len() as f64 / seconds.max(f64::MIN_POSITIVE),
            ..self.report
        }
    }
}

/// Sorts `times` and returns the one at the given quantile (0 to 1), in milliseconds, or 0 when
/// `times` is empty.
fn percentile_ms(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
