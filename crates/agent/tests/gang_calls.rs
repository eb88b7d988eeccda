//! Tests of the calls of an agent to its worker.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::endpoint::make;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::{Request, Response, Server};
use skylarkpulley_agent::Gangs;
use skylarkpulley_proto::{AgentClients, Secret, v1};
use skylarkpulley_telemetry::Decisions;
use skylarkpulley_types::{AgentId, ManualClock};
use tokio::net::TcpListener;

/// Time that the worker takes to start a task. It is long enough for a later call to overtake the
/// start.
const START_DELAY: Duration = Duration::from_millis(300);

/// Longer than the period after its start in which an agent refuses holds, because tasks of its
/// previous incarnation may still be running.
const STARTUP_GUARD: Duration = Duration::from_secs(3);

/// Worker that records the paths of the calls in the order in which it has carried them out.
#[derive(Clone, Default)]
struct SlowWorker {
    calls: Arc<Mutex<Vec<String>>>,
    started: Arc<AtomicBool>,
}

impl SlowWorker {
    async fn answer(self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if path == "/tasks" {
            tokio::time::sleep(START_DELAY).await;
            self.started.store(true, Ordering::SeqCst);
        }
        self.calls.lock().expect("lock of the calls").push(path.clone());
        if !self.started.load(Ordering::SeqCst) {
            return Response::builder().status(StatusCode::NOT_FOUND).finish();
        }
        let state = if path == "/tasks/g/stop" { "stopped" } else { "running" };
        let view =
            format!(r#"{{"id":"g","epoch":1,"state":"{state}","memory":0,"checkpoint_ms":0}}"#);
        Response::builder().body(view)
    }

    fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("lock of the calls").clone()
    }
}

/// Guards against accelerators that are granted twice. If a stop overtakes the start, the worker
/// replies that it has no such task, the agent considers the task ended, and the task starts
/// afterwards.
#[tokio::test]
async fn stop_follows_start() {
    let worker = SlowWorker::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let endpoint = {
        let worker = worker.clone();
        make(move |request| worker.clone().answer(request))
    };
    let acceptor = TcpAcceptor::from_tokio(listener).expect("an acceptor");
    let server = tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));

    let (agent, clock) = (AgentId::new("w0", 1), ManualClock::new());
    let secret = Secret::new("gang-calls-of-a-test").expect("a secret");
    let clients = Arc::new(AgentClients::new(secret));
    let decisions = Arc::new(Decisions::new(16));
    let gangs = Gangs::new(&agent, Some(address), clients, Arc::new(clock.clone()), decisions);
    clock.advance(STARTUP_GUARD);
    gangs.set_accelerators(8).await;
    let hold = v1::HoldRequest {
        gang: "g".to_owned(),
        epoch: 1,
        accelerators: 8,
        incarnation: 1,
        ..v1::HoldRequest::default()
    };
    let reply = gangs.hold(hold).await.expect("an answer");
    assert_eq!(reply.state(), v1::hold_reply::State::Held);
    let member = v1::Member { agent: Some((&agent).into()), control: "127.0.0.1:1".to_owned() };
    let commit = v1::CommitRequest {
        gang: "g".to_owned(),
        epoch: 1,
        members: vec![member],
        task: b"{}".to_vec(),
        memory_mib: 0,
    };
    assert!(gangs.commit(commit).await.expect("an answer").committed);
    let mut state = gangs.state();
    state
        .wait_for(|state| state.grants.iter().any(|grant| grant.running))
        .await
        .expect("a running task");
    let stop = v1::StopRequest { gang: "g".to_owned(), epoch: 1, ..v1::StopRequest::default() };
    gangs.stop(stop).await.expect("an answer");
    state.wait_for(|state| state.grants.is_empty()).await.expect("no grant after the stop");
    assert_eq!(worker.calls().first().map(String::as_str), Some("/tasks"), "{:?}", worker.calls());
    server.abort();
}
