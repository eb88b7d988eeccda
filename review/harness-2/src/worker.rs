//! Stand-in of a minion with `control_mode` = `rpc`, as PROTOCOL.md, "Running tasks", has it. It
//! runs tasks without gangs; how long a task works stands in its `spec`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Server};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::record::{Event, Record};

/// Service whose minions the stand-ins are.
pub const SERVICE: &str = "balance-svc";

/// `hold_max_ms` of the site; a stop takes at most `stop_ms`, 900 ms there.
pub const HOLD_MAX_MS: u64 = 10_000;
const STOP: Duration = Duration::from_millis(800);

const BEAT: Duration = Duration::from_millis(1500);

struct Run {
    began: Instant,
    crash: Option<Duration>,
    stop_at: Option<Instant>,
    work: Duration,
}

struct State {
    deadline_ms: u64,
    ends: u64,
    finished: Vec<(u64, String, u32, &'static str)>,
    past: BTreeMap<String, u32>,
    running: BTreeMap<(String, u32), Run>,
    token: u64,
}

/// What the lives of a minion have in common.
#[derive(Clone, Debug)]
pub struct Life {
    pub agent: SocketAddr,
    /// Added to the time of day from which the minion takes `born`, in milliseconds.
    pub clock_ahead_ms: u64,
    pub id: String,
    /// The second label: the rack of the machine.
    pub rack: String,
}

/// One life of a minion.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub born_ms: u64,
    ended: Arc<Notify>,
    pub id: String,
    origin: Instant,
    rack: String,
    record: Record,
    /// Number of the last check-in, and whether the minion drains.
    sent: Arc<Mutex<(u64, bool)>>,
    state: Arc<Mutex<State>>,
    stopped: Arc<tokio::sync::Semaphore>,
}

impl Worker {
    /// Starts a minion that serves on `listener` and announces itself at the agent.
    pub fn start(life: &Life, listener: TcpListener, record: &Record) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(1) + life.clock_ahead_ms;
        record.line(&format!("{} starts, born {born_ms}", life.id));
        let worker = Self {
            address: listener.local_addr().expect("address of a listener"),
            born_ms,
            ended: Arc::default(),
            id: life.id.clone(),
            rack: life.rack.clone(),
            sent: Arc::default(),
            stopped: Arc::new(tokio::sync::Semaphore::new(0)),
            origin: Instant::now(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                deadline_ms: 0,
                ends: 0,
                finished: Vec::new(),
                past: BTreeMap::new(),
                running: BTreeMap::new(),
                token: 0,
            })),
        };
        let acceptor = TcpAcceptor::from_tokio(listener).expect("listener");
        let stopped = worker.stopped.clone();
        let end = async move {
            let _ = stopped.acquire().await;
        };
        let server = Server::new_with_acceptor(acceptor);
        let served = server.run_with_graceful_shutdown(worker.clone(), end, Some(Duration::ZERO));
        tokio::spawn(served);
        let ticking = worker.clone();
        tokio::spawn(async move {
            while !ticking.is_crashed() {
                ticking.advance();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        tokio::spawn(worker.clone().announce(life.agent));
        worker
    }

    /// Crashes the minion: its runs are gone, and its port is closed.
    pub fn crash(&self) {
        if self.is_crashed() {
            return;
        }
        self.stopped.close();
        let runs = std::mem::take(&mut self.lock().running);
        self.record.line(&format!("{} crashes", self.id));
        for (task, run) in runs.into_keys() {
            self.record.seen(&self.id, &task, run, Event::End("crashed"));
        }
    }

    pub fn is_crashed(&self) -> bool {
        self.stopped.is_closed()
    }

    /// Reports whether a run crashes the minion now: its `spec` has `crash_ms`.
    fn is_crash_due(&self) -> bool {
        let state = self.lock();
        state
            .running
            .values()
            .any(|run| run.crash.is_some_and(|after| run.began + after <= Instant::now()))
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(0)
    }

    async fn announce(self, agent: SocketAddr) {
        loop {
            let (_, draining) = *self.sent.lock().unwrap_or_else(PoisonError::into_inner);
            if self.is_crashed() || draining {
                return;
            }
            self.check_in(agent, None).await;
            tokio::time::sleep(BEAT).await;
        }
    }

    /// Sends a check-in; with `remaining` it says that the minion drains. Returns whether it is
    /// acknowledged within a second.
    pub async fn check_in(&self, agent: SocketAddr, remaining: Option<Duration>) -> bool {
        let seq = {
            let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
            sent.0 += 1;
            sent.1 |= remaining.is_some();
            sent.0
        };
        let mut body = json!({
            "service": SERVICE, "address": self.address.to_string(), "zone": "sofia-a",
            "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": { "cpu": 64_000, "mem_mb": 262_144, "gpu": 8 },
            "labels": ["a", self.rack], "clock_ms": self.clock_ms(), "born": self.born_ms, "seq": seq,
        });
        if let Some(remaining) = remaining {
            body["state"] = "draining".into();
            body["remaining_ms"] = u64::try_from(remaining.as_millis()).unwrap_or(0).into();
        }
        let url = format!("http://{agent}/Instances.Heartbeat/{}", self.id);
        let call = reqwest::Client::new().post(&url).timeout(Duration::from_secs(1)).json(&body);
        let acked = call.send().await.is_ok_and(|answer| answer.status() == 200);
        if remaining.is_some() {
            self.record.line(&format!("{} says that it drains; ack {acked}", self.id));
        }
        acked
    }

    /// Says that the minion leaves. Returns whether that is acknowledged within a second.
    pub async fn deregister(&self, agent: SocketAddr) -> bool {
        let url = format!("http://{agent}/Instances.Deregister/{}", self.id);
        self.record.line(&format!("{} says that it leaves", self.id));
        let call = reqwest::Client::new().post(&url).timeout(Duration::from_secs(1));
        let acked = call.send().await.is_ok_and(|answer| answer.status() == 200);
        self.record.line(&format!("{}: leave acknowledged {acked}", self.id));
        acked
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the runs whose work, stop or lease has ended.
    fn advance(&self) {
        if self.is_crash_due() {
            self.crash();
        }
        if self.is_crashed() {
            return;
        }
        let (now, clock) = (Instant::now(), self.clock_ms());
        let mut state = self.lock();
        let lapsed = clock >= state.deadline_ms;
        let ends: Vec<((String, u32), &'static str)> = state
            .running
            .iter()
            .filter_map(|(key, run)| {
                let how = if lapsed {
                    "lapsed"
                } else if run.began + run.work <= now {
                    "done"
                } else if run.stop_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else {
                    return None;
                };
                Some((key.clone(), how))
            })
            .collect();
        for ((task, number), how) in ends {
            state.running.remove(&(task.clone(), number));
            state.ends += 1;
            let end = state.ends;
            state.finished.push((end, task.clone(), number, how));
            let past = state.past.entry(task.clone()).or_default();
            *past = number.max(*past);
            self.record.seen(&self.id, &task, number, Event::End(how));
            self.ended.notify_waiters();
        }
    }

    fn extend(state: &mut State, clock: u64, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            state.deadline_ms = state.deadline_ms.max(deadline.min(clock + HOLD_MAX_MS));
        }
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        self.advance();
        let (Some(task), Some(run), Some(spec)) =
            (body["task"].as_str(), body["run"].as_u64(), body["spec"].as_str())
        else {
            return (400, json!({}));
        };
        let (run, token) = (run as u32, body["fencing_token"].as_u64().unwrap_or(0));
        let (clock, deadline) = (self.clock_ms(), body["deadline_ms"].as_u64());
        let step: usize = task.split('.').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0);
        let spec: Value = serde_json::from_str(spec).unwrap_or_default();
        let work = Duration::from_millis(spec["work_ms"][step].as_u64().unwrap_or(1000));
        let crash = spec["crash_ms"].as_u64().map(Duration::from_millis);
        let mut state = self.lock();
        if token < state.token {
            return (409, json!({ "reason": "fence" }));
        }
        state.token = token;
        let key = (task.to_owned(), run);
        if state.running.contains_key(&key) {
            return (200, json!({}));
        }
        if deadline.is_none_or(|deadline| deadline <= clock) {
            return (409, json!({ "reason": "late" }));
        }
        Self::extend(&mut state, clock, deadline);
        if state.past.get(task).is_some_and(|past| *past >= run) {
            return (409, json!({ "reason": "old" }));
        }
        if state.running.len() >= 8 {
            return (409, json!({ "reason": "room" }));
        }
        state.running.insert(key, Run { began: Instant::now(), crash, stop_at: None, work });
        drop(state);
        self.record.seen(&self.id, task, run, Event::Start);
        (200, json!({}))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        self.advance();
        let (task, run) =
            (body["task"].as_str().unwrap_or_default(), body["run"].as_u64().unwrap_or(0) as u32);
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        if token < state.token {
            return (409, json!({ "reason": "fence" }));
        }
        state.token = token;
        match state.running.get_mut(&(task.to_owned(), run)) {
            Some(running) => {
                running.stop_at.get_or_insert(Instant::now() + STOP);
            }
            None => {
                let past = state.past.entry(task.to_owned()).or_default();
                *past = run.max(*past);
            }
        }
        (200, json!({}))
    }

    async fn hold(&self, body: &Value) -> (u16, Value) {
        self.advance();
        let (token, acked) =
            (body["fencing_token"].as_u64().unwrap_or(0), body["ack_seq"].as_u64().unwrap_or(0));
        let ended = self.ended.notified();
        let wait = {
            let mut state = self.lock();
            if token < state.token {
                return (409, json!({ "reason": "fence" }));
            }
            state.token = token;
            Self::extend(&mut state, self.clock_ms(), body["deadline_ms"].as_u64());
            let noted: Vec<_> = state.finished.extract_if(.., |end| end.0 <= acked).collect();
            for (_, task, run, _) in noted.into_iter().filter(|end| end.3 == "done") {
                self.record.seen(&self.id, &task, run, Event::DoneNoted);
            }
            state.finished.is_empty()
        };
        if wait {
            let length = body["wait_ms"].as_u64().unwrap_or(0).min(2000);
            let _ = tokio::time::timeout(Duration::from_millis(length), ended).await;
        }
        self.advance();
        let state = self.lock();
        let percent = |run: &Run| {
            (run.began.elapsed().as_secs_f64() / run.work.as_secs_f64() * 100.0).min(99.0) as u64
        };
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|((task, number), run)| json!([task, number, "", percent(run), 0]))
            .collect();
        let finished: Vec<Value> = state
            .finished
            .iter()
            .take(500)
            .map(|(end, task, run, how)| json!([end, task, run, how, ""]))
            .collect();
        (200, json!({ "running": running, "finished": finished }))
    }
}

impl Endpoint for Worker {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let other = request.header("x-expect-instance").is_some_and(|id| id != self.id);
        let path = request.uri().path().to_owned();
        let body = request.take_body().into_bytes().await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if self.is_crashed() {
            std::future::pending::<()>().await;
        }
        let (status, mut answer) = match path.as_str() {
            _ if other => (421, json!({})),
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body).await,
            _ => (404, json!({})),
        };
        answer["clock_ms"] = self.clock_ms().into();
        answer["born"] = self.born_ms.into();
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        Ok(Response::builder()
            .status(status)
            .content_type("application/json")
            .body(answer.to_string()))
    }
}

/// A minion that starts again after each crash, at the same address.
#[derive(Clone)]
pub struct Host {
    current: Arc<Mutex<Worker>>,
}

impl Host {
    /// Starts the first life. After a crash `next` changes what the next life has, and the minion is
    /// back after `down`.
    pub fn start(
        mut life: Life,
        listener: TcpListener,
        record: &Record,
        down: Duration,
        next: impl Fn(&mut Life) + Send + 'static,
    ) -> Self {
        let first = Worker::start(&life, listener, record);
        let address = first.address;
        let host = Self { current: Arc::new(Mutex::new(first)) };
        let (current, record) = (host.current.clone(), record.clone());
        tokio::spawn(async move {
            loop {
                while !current.lock().unwrap_or_else(PoisonError::into_inner).is_crashed() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                tokio::time::sleep(down).await;
                next(&mut life);
                let listener = loop {
                    match TcpListener::bind(address).await {
                        Ok(listener) => break listener,
                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                };
                let worker = Worker::start(&life, listener, &record);
                *current.lock().unwrap_or_else(PoisonError::into_inner) = worker;
            }
        });
        host
    }

    pub fn current(&self) -> Worker {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
