use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::{Body, Request, Response};
use serde_json::json;
use tokio::sync::watch;

use crate::control::control;
use crate::{Connections, RunningServer, StandinError};

/// Interval of announcements.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// Time that an agent has to hear that the upstream leaves. An agent that has not answered four
/// announcements by then has let them expire.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// A fault of an upstream. Whatever the fault, a request counts as executed once its body has been
/// read, because a caller cannot prove otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// Answers 500 at once.
    Error,
    /// Adds to the service time.
    Slow(Duration),
    /// Sends half of the body and closes the connection.
    Truncated,
    /// Executes the request and closes the connection without an answer.
    Close,
    /// Accepts requests and never answers; announcements go on.
    Freeze,
    /// Alternates between health and errors, with this time in each phase. It does not announce
    /// itself in the phase of errors.
    Flap(Duration),
}

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address to listen on; port 0 lets the kernel choose one.
    pub address: SocketAddr,
    /// URL of the agent that the upstream announces itself to.
    pub agent: Option<String>,
    /// Number of this start; higher is newer.
    pub incarnation: u64,
    /// Service time of a request without a `Service-Ms` header. The timer adds up to 1 ms to any
    /// time but 0.
    pub service: Duration,
}

impl UpstreamSettings {
    /// Returns settings of an upstream that takes `service` per request and announces itself to
    /// nobody.
    pub fn new(address: SocketAddr, service: Duration) -> Self {
        Self { address, agent: None, incarnation: 1, service }
    }

    /// Sets the agent's URL and the incarnation to announce.
    pub fn with_agent(self, url: &str, incarnation: u64) -> Self {
        Self { agent: Some(url.to_owned()), incarnation, ..self }
    }
}

/// Stand-in of an upstream. It answers every path with a line `<method> <path> <key> <executions>`
/// followed by the request's body, so that a caller can tell whose answer it got.
#[derive(Debug)]
pub struct Upstream {
    announcer: Option<tokio::task::JoinHandle<()>>,
    heard: watch::Receiver<bool>,
    leaving: watch::Sender<bool>,
    running: RunningServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    counts: Mutex<Counts>,
    faults: Mutex<Plan>,
    service: Duration,
    started: Instant,
}

#[derive(Debug, Default)]
struct Counts {
    active: usize,
    executions: BTreeMap<String, u64>,
    most: usize,
    runs: u64,
}

#[derive(Debug, Default)]
struct Plan {
    lasting: Option<UpstreamFault>,
    mix: Vec<(UpstreamFault, u32)>,
    muted: bool,
    queued: VecDeque<UpstreamFault>,
    random: fastrand::Rng,
}

impl Upstream {
    /// Starts an upstream.
    pub async fn start(settings: UpstreamSettings) -> Result<Self, StandinError> {
        let state = Arc::new(State {
            connections: Connections::default(),
            counts: Mutex::default(),
            faults: Mutex::default(),
            service: settings.service,
            started: Instant::now(),
        });
        let served = Arc::clone(&state);
        let endpoint = make(move |request| {
            let state = Arc::clone(&served);
            async move { Ok::<_, poem::Error>(state.serve(request).await) }
        });
        let connections = state.connections.clone();
        let running = RunningServer::start(settings.address, connections, endpoint).await?;
        let (leaving, watched) = watch::channel(false);
        let (hears, heard) = watch::channel(false);
        let address = running.address();
        let announcer = settings.agent.map(|agent| {
            let state = Arc::clone(&state);
            let news = Announcement { address, agent, incarnation: settings.incarnation };
            tokio::spawn(announce(news, state, watched, hears))
        });
        Ok(Self { announcer, heard, leaving, running, state })
    }

    /// Returns the server: address, connections, stop.
    pub fn server(&self) -> &RunningServer {
        &self.running
    }

    /// Returns how often requests with `key` were executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.state.counts(|counts| counts.executions.get(key).copied().unwrap_or(0))
    }

    /// Returns the executions of every idempotency key seen.
    pub fn executions_by_key(&self) -> BTreeMap<String, u64> {
        self.state.counts(|counts| counts.executions.clone())
    }

    /// Returns the number of executed requests, with and without a key.
    pub fn runs(&self) -> u64 {
        self.state.counts(|counts| counts.runs)
    }

    /// Returns the number of requests being served now.
    pub fn active(&self) -> usize {
        self.state.counts(|counts| counts.active)
    }

    /// Returns the highest number of requests served at once.
    pub fn most_active(&self) -> usize {
        self.state.counts(|counts| counts.most)
    }

    /// Applies `fault` to every request until it is replaced.
    pub fn set_fault(&self, fault: Option<UpstreamFault>) {
        self.state.faults(|plan| plan.lasting = fault);
    }

    /// Applies `fault` to the next request that has no earlier injected fault.
    pub fn inject(&self, fault: UpstreamFault) {
        self.state.faults(|plan| plan.queued.push_back(fault));
    }

    /// Applies each fault to the given number of requests in a thousand, chosen by `seed`.
    pub fn set_mix(&self, seed: u64, mix: Vec<(UpstreamFault, u32)>) {
        self.state.faults(|plan| {
            plan.mix = mix;
            plan.random = fastrand::Rng::with_seed(seed);
        });
    }

    /// Loses the announcements from now on, or no longer.
    pub fn mute(&self, muted: bool) {
        self.state.faults(|plan| plan.muted = muted);
    }

    /// Announces `leaving` from now on and goes on serving.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Announces `leaving` until the agent has heard it once, at most 2 s, serves the open requests
    /// and stops.
    pub async fn stop(&mut self) {
        self.leave();
        if self.announcer.is_some() {
            let heard = self.heard.wait_for(|heard| *heard);
            tokio::time::timeout(LEAVE_LIMIT, heard).await.ok();
        }
        self.running.stop().await;
        self.end_announcements();
    }

    /// Stops at once, without a word to the agent.
    pub fn kill(&mut self) {
        self.end_announcements();
        self.running.kill();
    }

    fn end_announcements(&mut self) {
        if let Some(announcer) = self.announcer.take() {
            announcer.abort();
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.end_announcements();
    }
}

impl State {
    fn counts<T>(&self, call: impl FnOnce(&mut Counts) -> T) -> T {
        call(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn faults<T>(&self, call: impl FnOnce(&mut Plan) -> T) -> T {
        call(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(self: Arc<Self>, request: Request) -> Response {
        let set = |fault| self.faults(|plan| plan.lasting = fault);
        let mut request = match control(request, str::parse, set, || self.figures()).await {
            Ok(answer) => return answer,
            Err(request) => request,
        };
        let remote = request.remote_addr().clone();
        let key = request.header("Idempotency-Key").map(str::to_owned);
        let service = request.header("Service-Ms").and_then(|ms| ms.parse().ok());
        let service = service.map_or(self.service, Duration::from_millis);
        let Ok(body) = request.take_body().into_bytes().await else {
            return Response::builder().status(StatusCode::BAD_REQUEST).finish();
        };
        let (_active, executions) = Active::new(&self, key.as_deref());
        let fault = self.faults(Plan::next);
        match fault {
            Some(UpstreamFault::Error) => return failure(),
            Some(UpstreamFault::Flap(phase)) if self.is_down(phase) => return failure(),
            Some(UpstreamFault::Freeze) => {
                self.connections.gone(&remote).await;
                return failure();
            }
            Some(UpstreamFault::Slow(extra)) => tokio::time::sleep(service + extra).await,
            // The timer would round 0 up to the next millisecond.
            _ if service.is_zero() => {}
            _ => tokio::time::sleep(service).await,
        }
        if fault == Some(UpstreamFault::Close) {
            self.connections.cut(&remote);
        }
        let key = key.as_deref().unwrap_or("-");
        let line = format!("{} {} {key} {executions}\n", request.method(), request.uri().path());
        let answer = Bytes::from([line.as_bytes(), &body].concat());
        if fault == Some(UpstreamFault::Truncated) {
            return truncated(answer);
        }
        Response::builder().content_type("text/plain").body(answer)
    }

    fn figures(&self) -> serde_json::Value {
        let connections = self.connections.most_open();
        self.counts(|counts| {
            json!({
                "active": counts.active,
                "keys": counts.executions.len(),
                "most_active": counts.most,
                "most_connections": connections,
                "most_executions": counts.executions.values().max().copied().unwrap_or(0),
                "runs": counts.runs,
            })
        })
    }

    fn is_down(&self, phase: Duration) -> bool {
        let phase = phase.max(Duration::from_millis(1));
        (self.started.elapsed().as_millis() / phase.as_millis()) % 2 == 1
    }

    /// Reports whether the upstream keeps silent because it flaps or is muted.
    fn is_silent(&self) -> bool {
        let (lasting, muted) = self.faults(|plan| (plan.lasting, plan.muted));
        muted || matches!(lasting, Some(UpstreamFault::Flap(phase)) if self.is_down(phase))
    }
}

impl Plan {
    fn next(&mut self) -> Option<UpstreamFault> {
        if let Some(fault) = self.queued.pop_front() {
            return Some(fault);
        }
        if self.mix.is_empty() {
            return self.lasting;
        }
        let mut draw = self.random.u32(..1000);
        for (fault, share) in &self.mix {
            if draw < *share {
                return Some(*fault);
            }
            draw -= share;
        }
        self.lasting
    }
}

/// Counts a request as active until it is dropped, also when the caller goes away.
struct Active {
    state: Arc<State>,
}

impl Active {
    /// Counts one execution and returns how often the key has been executed.
    fn new(state: &Arc<State>, key: Option<&str>) -> (Self, u64) {
        let executions = state.counts(|counts| {
            counts.active += 1;
            counts.most = counts.most.max(counts.active);
            counts.runs += 1;
            let Some(key) = key else { return 0 };
            let executions = counts.executions.entry(key.to_owned()).or_default();
            *executions += 1;
            *executions
        });
        (Self { state: Arc::clone(state) }, executions)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.counts(|counts| counts.active -= 1);
    }
}

fn failure() -> Response {
    Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body("injected error")
}

/// Declares the whole length, sends half of it and ends the connection.
fn truncated(answer: Bytes) -> Response {
    let length = answer.len();
    let half = answer.slice(..length / 2);
    let parts = futures::stream::iter([Ok(half)]).chain(futures::stream::once(async {
        // The first half has to leave before the error closes the connection.
        tokio::time::sleep(Duration::from_millis(5)).await;
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
    }));
    Response::builder().header("Content-Length", length).body(Body::from_bytes_stream(parts))
}

struct Announcement {
    address: SocketAddr,
    agent: String,
    incarnation: u64,
}

/// Announces the upstream until the task is ended; at once when it starts to leave.
async fn announce(
    news: Announcement,
    state: Arc<State>,
    mut leaving: watch::Receiver<bool>,
    hears: watch::Sender<bool>,
) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(ANNOUNCE_EVERY)
        .build();
    let Ok(client) = client else { return };
    let Announcement { address, agent, incarnation } = news;
    let mut ticks = tokio::time::interval(ANNOUNCE_EVERY);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = leaving.changed() => if changed.is_err() { return },
        }
        if state.is_silent() {
            continue;
        }
        let leaves = *leaving.borrow_and_update();
        let word = if leaves { "leaving" } else { "serving" };
        let body = json!({ "address": address, "state": word, "incarnation": incarnation });
        match client.post(format!("{agent}/announce")).json(&body).send().await {
            Ok(answer) => {
                hears.send_if_modified(|heard| {
                    *heard = leaves && answer.status().is_success();
                    *heard
                });
            }
            Err(error) => tracing::debug!(%agent, %error, "announcement failed"),
        }
    }
}
