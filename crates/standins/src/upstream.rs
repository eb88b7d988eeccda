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

use crate::control::handle_control_call;
use crate::{Connections, RunningServer, StandinError};

/// Interval between announcements; also the time-out of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the agent has to acknowledge the announcement that the upstream is leaving. It
/// covers four announcements; an agent that has answered none of them no longer regards the
/// upstream as announced, because the earlier announcements have expired by then.
const LEAVE_ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault of an upstream. With every fault, a request counts as executed once its body has been
/// read, because the caller cannot prove that it was not executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// Answers with status 500 at once.
    Error,
    /// Adds this duration to the service time.
    Slow(Duration),
    /// Sends half of the response body and closes the connection.
    Truncated,
    /// Executes the request and closes the connection without a response.
    Close,
    /// Accepts requests and never answers them; announcements are still sent.
    Freeze,
    /// Alternates between a healthy phase and an error phase, each of this length. The upstream
    /// does not announce itself in the error phase.
    Flap(Duration),
}

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address to listen on; for port 0 the kernel chooses a free port.
    pub address: SocketAddr,
    /// URL of the agent that the upstream announces itself to.
    pub agent: Option<String>,
    /// Incarnation to announce: the number of this start, higher for later starts.
    pub incarnation: u64,
    /// Service time of a request without a `Service-Ms` header. The timer adds up to 1 ms to every
    /// service time except 0.
    pub service: Duration,
}

impl UpstreamSettings {
    /// Returns settings of an upstream with the service time `service` per request, without an
    /// agent to announce itself to.
    pub fn new(address: SocketAddr, service: Duration) -> Self {
        Self { address, agent: None, incarnation: 1, service }
    }

    /// Sets the agent's URL and the incarnation to announce.
    pub fn with_agent(self, url: &str, incarnation: u64) -> Self {
        Self { agent: Some(url.to_owned()), incarnation, ..self }
    }
}

/// Stand-in of an upstream. It answers every path with a line `<method> <path> <key> <executions>`
/// followed by the request's body, so that a caller can check that the response belongs to its
/// request.
#[derive(Debug)]
pub struct Upstream {
    announcer: Option<tokio::task::JoinHandle<()>>,
    leave_acknowledged: watch::Receiver<bool>,
    leaving: watch::Sender<bool>,
    server: RunningServer,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    counts: Mutex<Counts>,
    faults: Mutex<FaultPlan>,
    service_time: Duration,
    started: Instant,
}

#[derive(Debug, Default)]
struct Counts {
    active: usize,
    executions: BTreeMap<String, u64>,
    most_active: usize,
    runs: u64,
}

#[derive(Debug, Default)]
struct FaultPlan {
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
            service_time: settings.service,
            started: Instant::now(),
        });
        let served_state = Arc::clone(&state);
        let endpoint = make(move |request| {
            let state = Arc::clone(&served_state);
            async move { Ok::<_, poem::Error>(state.serve(request).await) }
        });
        let connections = state.connections.clone();
        let server = RunningServer::start(settings.address, connections, endpoint).await?;
        let (leaving, leaving_receiver) = watch::channel(false);
        let (acknowledge_leave, leave_acknowledged) = watch::channel(false);
        let address = server.address();
        let announcer = settings.agent.map(|agent| {
            let state = Arc::clone(&state);
            let announcement = Announcement { address, agent, incarnation: settings.incarnation };
            tokio::spawn(announce(announcement, state, leaving_receiver, acknowledge_leave))
        });
        Ok(Self { announcer, leave_acknowledged, leaving, server, state })
    }

    /// Returns the server, which gives its address and connection counters.
    pub fn server(&self) -> &RunningServer {
        &self.server
    }

    /// Returns how often requests with `key` were executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.state.with_counts(|counts| counts.executions.get(key).copied().unwrap_or(0))
    }

    /// Returns the number of executions of each idempotency key that was received.
    pub fn executions_by_key(&self) -> BTreeMap<String, u64> {
        self.state.with_counts(|counts| counts.executions.clone())
    }

    /// Returns the number of executed requests, with and without a key.
    pub fn runs(&self) -> u64 {
        self.state.with_counts(|counts| counts.runs)
    }

    /// Returns the number of requests being served now.
    pub fn active(&self) -> usize {
        self.state.with_counts(|counts| counts.active)
    }

    /// Returns the highest number of requests served at once.
    pub fn most_active(&self) -> usize {
        self.state.with_counts(|counts| counts.most_active)
    }

    /// Applies `fault` to every request until it is replaced.
    pub fn set_fault(&self, fault: Option<UpstreamFault>) {
        self.state.with_faults(|plan| plan.lasting = fault);
    }

    /// Queues `fault` for one request; each request takes the oldest queued fault.
    pub fn inject(&self, fault: UpstreamFault) {
        self.state.with_faults(|plan| plan.queued.push_back(fault));
    }

    /// Applies each fault to the given number of requests in a thousand, chosen by a random number
    /// generator with this seed.
    pub fn set_mix(&self, seed: u64, mix: Vec<(UpstreamFault, u32)>) {
        self.state.with_faults(|plan| {
            plan.mix = mix;
            plan.random = fastrand::Rng::with_seed(seed);
        });
    }

    /// Suppresses the announcements while `muted` is set, as if they were lost.
    pub fn mute(&self, muted: bool) {
        self.state.with_faults(|plan| plan.muted = muted);
    }

    /// Announces the state `leaving` from now on and still serves requests.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// Announces the state `leaving` until the agent has acknowledged it, for at most 2 s, then
    /// stops and waits up to 10 s for open requests to complete.
    pub async fn stop(&mut self) {
        self.leave();
        if self.announcer.is_some() {
            let acknowledged = self.leave_acknowledged.wait_for(|acknowledged| *acknowledged);
            tokio::time::timeout(LEAVE_ANNOUNCE_TIMEOUT, acknowledged).await.ok();
        }
        self.server.stop().await;
        self.end_announcements();
    }

    /// Stops at once, without notifying the agent.
    pub fn kill(&mut self) {
        self.end_announcements();
        self.server.kill();
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
    fn with_counts<T>(&self, call: impl FnOnce(&mut Counts) -> T) -> T {
        call(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_faults<T>(&self, call: impl FnOnce(&mut FaultPlan) -> T) -> T {
        call(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(self: Arc<Self>, request: Request) -> Response {
        let set_fault = |fault| self.with_faults(|plan| plan.lasting = fault);
        let mut request = match handle_control_call(request, str::parse, set_fault, || {
            self.counts_json()
        })
        .await
        {
            Ok(answer) => return answer,
            Err(request) => request,
        };
        let remote = request.remote_addr().clone();
        let key = request.header("Idempotency-Key").map(str::to_owned);
        let service_time = request.header("Service-Ms").and_then(|ms| ms.parse().ok());
        let service_time = service_time.map_or(self.service_time, Duration::from_millis);
        let Ok(body) = request.take_body().into_bytes().await else {
            return Response::builder().status(StatusCode::BAD_REQUEST).finish();
        };
        let (_active, executions) = ActiveRequest::new(&self, key.as_deref());
        let fault = self.with_faults(FaultPlan::next_fault);
        match fault {
            Some(UpstreamFault::Error) => return error_response(),
            Some(UpstreamFault::Flap(phase)) if self.in_error_phase(phase) => {
                return error_response();
            }
            Some(UpstreamFault::Freeze) => {
                self.connections.wait_closed(&remote).await;
                return error_response();
            }
            Some(UpstreamFault::Slow(extra)) => tokio::time::sleep(service_time + extra).await,
            // A sleep of 0 would last up to 1 ms, because the timer rounds up.
            _ if service_time.is_zero() => {}
            _ => tokio::time::sleep(service_time).await,
        }
        if fault == Some(UpstreamFault::Close) {
            self.connections.close(&remote);
        }
        let key = key.as_deref().unwrap_or("-");
        let line = format!("{} {} {key} {executions}\n", request.method(), request.uri().path());
        let answer = Bytes::from([line.as_bytes(), &body].concat());
        if fault == Some(UpstreamFault::Truncated) {
            return truncated_response(answer);
        }
        Response::builder().content_type("text/plain").body(answer)
    }

    fn counts_json(&self) -> serde_json::Value {
        let connections = self.connections.most_open();
        self.with_counts(|counts| {
            json!({
                "active": counts.active,
                "keys": counts.executions.len(),
                "most_active": counts.most_active,
                "most_connections": connections,
                "most_executions": counts.executions.values().max().copied().unwrap_or(0),
                "runs": counts.runs,
            })
        })
    }

    fn in_error_phase(&self, phase: Duration) -> bool {
        let phase = phase.max(Duration::from_millis(1));
        (self.started.elapsed().as_millis() / phase.as_millis()) % 2 == 1
    }

    /// Returns whether announcements are suppressed, because the upstream is muted or in the error
    /// phase of [`UpstreamFault::Flap`].
    fn suppresses_announcements(&self) -> bool {
        let (lasting, muted) = self.with_faults(|plan| (plan.lasting, plan.muted));
        muted || matches!(lasting, Some(UpstreamFault::Flap(phase)) if self.in_error_phase(phase))
    }
}

impl FaultPlan {
    fn next_fault(&mut self) -> Option<UpstreamFault> {
        if let Some(fault) = self.queued.pop_front() {
            return Some(fault);
        }
        if self.mix.is_empty() {
            return self.lasting;
        }
        let mut draw = self.random.u32(..1000);
        for (fault, per_thousand) in &self.mix {
            if draw < *per_thousand {
                return Some(*fault);
            }
            draw -= per_thousand;
        }
        self.lasting
    }
}

/// Counts a request as active until it is dropped, also when the caller disconnects.
struct ActiveRequest {
    state: Arc<State>,
}

impl ActiveRequest {
    /// Counts one execution and returns how often requests with the key have been executed, or 0
    /// without a key.
    fn new(state: &Arc<State>, key: Option<&str>) -> (Self, u64) {
        let executions = state.with_counts(|counts| {
            counts.active += 1;
            counts.most_active = counts.most_active.max(counts.active);
            counts.runs += 1;
            let Some(key) = key else { return 0 };
            let executions = counts.executions.entry(key.to_owned()).or_default();
            *executions += 1;
            *executions
        });
        (Self { state: Arc::clone(state) }, executions)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state.with_counts(|counts| counts.active -= 1);
    }
}

fn error_response() -> Response {
    Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body("injected error")
}

/// Returns a response that declares the full length, sends half of the body and closes the
/// connection.
fn truncated_response(answer: Bytes) -> Response {
    let length = answer.len();
    let half = answer.slice(..length / 2);
    let parts = futures::stream::iter([Ok(half)]).chain(futures::stream::once(async {
        // The first half has to be sent before the error closes the connection.
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

/// Announces the upstream at each interval until the task is aborted, and immediately when it
/// starts to leave.
async fn announce(
    announcement: Announcement,
    state: Arc<State>,
    mut leaving: watch::Receiver<bool>,
    acknowledge_leave: watch::Sender<bool>,
) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(ANNOUNCE_INTERVAL)
        .build();
    let Ok(client) = client else { return };
    let Announcement { address, agent, incarnation } = announcement;
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = leaving.changed() => if changed.is_err() { return },
        }
        if state.suppresses_announcements() {
            continue;
        }
        let is_leaving = *leaving.borrow_and_update();
        let state_name = if is_leaving { "leaving" } else { "serving" };
        let body = json!({ "address": address, "state": state_name, "incarnation": incarnation });
        match client.post(format!("{agent}/announce")).json(&body).send().await {
            Ok(answer) => {
                acknowledge_leave.send_if_modified(|acknowledged| {
                    *acknowledged = is_leaving && answer.status().is_success();
                    *acknowledged
                });
            }
            Err(error) => {
                tracing::debug!(%agent, %error, "announcement failed; retrying in 500 ms")
            }
        }
    }
}
