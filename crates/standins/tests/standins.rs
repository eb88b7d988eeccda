//! Tests of the stand-ins. Their counters have to be correct, because other tests rely on them.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use skylarkpulley_standins::{
    LoadSettings, TaskState, Upstream, UpstreamFault, UpstreamSettings, Worker, WorkerFault,
    WorkerSettings, run_load,
};
use skylarkpulley_types::ManualClock;

fn loopback() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn upstream(service_ms: u64) -> Upstream {
    let settings = UpstreamSettings::new(loopback(), Duration::from_millis(service_ms));
    Upstream::start(settings).await.unwrap()
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .retry(reqwest::retry::never())
        .build()
        .unwrap()
}

async fn send(upstream: &Upstream, key: &str) -> Result<(u16, String), reqwest::Error> {
    let url = format!("{}/settle", upstream.server().url());
    let answer = client().post(url).header("Idempotency-Key", key).body("body").send().await?;
    Ok((answer.status().as_u16(), answer.text().await?))
}

/// Guards against an execution counter that misses requests whose answer was an error, was
/// truncated or was never sent.
#[tokio::test]
async fn upstream_counts_executions() {
    let upstream = upstream(0).await;
    let faults = [
        (None, Some(200)),
        (Some(UpstreamFault::Error), Some(500)),
        (Some(UpstreamFault::Slow(Duration::from_millis(5))), Some(200)),
        (Some(UpstreamFault::Truncated), None),
        (Some(UpstreamFault::Close), None),
    ];
    for (index, (fault, status)) in faults.into_iter().enumerate() {
        fault.into_iter().for_each(|fault| upstream.inject(fault));
        let answer = send(&upstream, "k").await;
        assert_eq!(answer.as_ref().ok().map(|answer| answer.0), status, "{fault:?}: {answer:?}");
        assert_eq!(upstream.executions("k"), index as u64 + 1, "{fault:?}");
    }
    assert_eq!(upstream.executions("other"), 0);
    assert_eq!(send(&upstream, "k").await.unwrap().1, "POST /settle k 6\nbody");
}

/// Guards against a frozen upstream that answers, and against a request that still counts as active
/// after its caller has disconnected.
#[tokio::test]
async fn upstream_frozen() {
    let upstream = upstream(0).await;
    upstream.set_fault(Some(UpstreamFault::Freeze));
    let mut call = Box::pin(send(&upstream, "k"));
    while upstream.active() == 0 {
        tokio::select! {
            answer = &mut call => panic!("{answer:?}"),
            () = tokio::time::sleep(Duration::from_millis(1)) => {}
        }
    }
    drop(call);
    while upstream.active() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(upstream.executions("k"), 1);
}

/// Guards against a graceful stop that interrupts an open request or is not announced to the agent.
#[tokio::test]
async fn upstream_stop_announces() {
    let agent = upstream(0).await;
    let settings = UpstreamSettings::new(loopback(), Duration::from_millis(100))
        .with_agent(&agent.server().url(), 7);
    let mut upstream = Upstream::start(settings).await.unwrap();
    while agent.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let url = format!("{}/x", upstream.server().url());
    let call = tokio::spawn(async move { client().post(url).send().await.unwrap().status() });
    while upstream.active() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let runs_before_stop = agent.runs();
    upstream.stop().await;
    assert_eq!(call.await.unwrap(), 200);
    assert!(agent.runs() > runs_before_stop);
}

/// Guards against counters that miss concurrent requests or connections, or that do not decrease
/// when these end.
#[tokio::test]
async fn upstream_counts_concurrency() {
    let upstream = upstream(0).await;
    upstream.set_fault(Some(UpstreamFault::Freeze));
    let mut calls = Box::pin(futures::future::join_all((0..4).map(|_| send(&upstream, "k"))));
    while upstream.active() < 4 {
        tokio::select! {
            answers = &mut calls => panic!("{answers:?}"),
            () = tokio::time::sleep(Duration::from_millis(1)) => {}
        }
    }
    let connections = upstream.server().connections();
    assert_eq!((connections.accepted(), connections.open(), connections.most_open()), (4, 4, 4));
    drop(calls);
    while connections.open() > 0 || upstream.active() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!((upstream.most_active(), upstream.runs()), (4, 4));
}

/// A worker on a manual clock, whose tasks run for 200 % of the declared time and use 150 % of the
/// declared memory.
struct WorkerFixture {
    clock: ManualClock,
    worker: Worker,
}

impl WorkerFixture {
    async fn new(accelerators: u32) -> Self {
        let clock = ManualClock::new();
        let settings = WorkerSettings::new(loopback(), accelerators)
            .with_checkpoint(Duration::ZERO)
            .with_actual(200, 150);
        let worker = Worker::start_with_clock(settings, Arc::new(clock.clone())).await.unwrap();
        Self { clock, worker }
    }

    async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let url = format!("{}/{path}", self.worker.url());
        let answer = client().post(url).json(&body).send().await.unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap())
    }

    async fn start(&self, id: &str, epoch: u64, accelerators: u32) -> u16 {
        let task = json!({
            "id": id, "epoch": epoch, "lease_ms": 2000, "accelerators": accelerators,
            "run_ms": 5000, "memory": 100,
        });
        self.post("tasks", task).await.0
    }

    fn state(&self, id: &str) -> TaskState {
        self.worker.tasks().into_iter().find(|task| task.id == id).unwrap().state
    }
}

/// Guards against tasks that outlive their lease, or that finish after the declared instead of the
/// actual run time.
#[tokio::test]
async fn worker_lease_and_run_time() {
    let fixture = WorkerFixture::new(8).await;
    assert_eq!(fixture.start("a", 1, 4).await, 200);
    assert_eq!(fixture.start("b", 1, 4).await, 200);
    for _ in 0..7 {
        fixture.clock.advance(Duration::from_millis(1500));
        let (status, view) =
            fixture.post("tasks/a/renew", json!({"epoch": 1, "lease_ms": 2000})).await;
        assert_eq!(status, 200, "{view}");
    }
    // 10.5 s have passed, and the actual run time is twice the declared 5 s.
    assert_eq!(fixture.state("a"), TaskState::Finished);
    assert_eq!(fixture.state("b"), TaskState::Lapsed);
    assert_eq!((fixture.worker.overlaps(), fixture.worker.most_accelerators()), (0, 8));
}

/// Guards against commands of a former owner that was paused and resumes after an owner with a
/// higher epoch has commanded the task.
#[tokio::test]
async fn worker_epochs() {
    let fixture = WorkerFixture::new(8).await;
    assert_eq!(fixture.start("a", 3, 4).await, 200);
    assert_eq!(fixture.start("a", 3, 4).await, 200);
    assert_eq!(fixture.worker.starts(), 1);
    assert_eq!(fixture.start("a", 2, 4).await, 409);
    for command in ["renew", "checkpoint", "throttle", "stop"] {
        let path = format!("tasks/a/{command}");
        assert_eq!(fixture.post(&path, json!({"epoch": 2})).await.0, 409, "{command}");
    }
    assert_eq!(fixture.state("a"), TaskState::Running);
    assert_eq!(fixture.post("tasks/a/stop", json!({"epoch": 4})).await.0, 200);
    assert_eq!(fixture.post("tasks/a/renew", json!({"epoch": 3})).await.0, 409);
    assert_eq!(fixture.post("tasks/z/stop", json!({"epoch": 4})).await.0, 404);
    assert_eq!(fixture.state("a"), TaskState::Stopped);
}

/// Guards against a task that runs although it was stopped, because its start arrived after its
/// stop.
#[tokio::test]
async fn worker_stop_before_start() {
    let fixture = WorkerFixture::new(8).await;
    assert_eq!(fixture.post("tasks/a/stop", json!({"epoch": 4})).await.0, 404);
    assert_eq!(fixture.start("a", 4, 8).await, 409);
    assert_eq!(fixture.worker.starts(), 0);
    assert_eq!(fixture.start("a", 5, 8).await, 200);
}

/// Guards against an overlap counter that misses tasks which together use more accelerators than
/// the worker has.
#[tokio::test]
async fn worker_counts_overlap() {
    let fixture = WorkerFixture::new(8).await;
    fixture.start("a", 1, 6).await;
    fixture.start("b", 1, 2).await;
    assert_eq!(fixture.worker.overlaps(), 0);
    fixture.start("c", 1, 1).await;
    assert_eq!((fixture.worker.overlaps(), fixture.worker.most_accelerators()), (1, 9));
}

/// Guards against checkpoints that save progress made after they began, throttling without effect
/// and usage figures that are not cached.
#[tokio::test]
async fn worker_checkpoint_throttle_usage() {
    let fixture = WorkerFixture::new(8).await;
    fixture.start("a", 1, 4).await;
    fixture.clock.advance(Duration::from_millis(1000));
    let (_, saved) = fixture.post("tasks/a/checkpoint", json!({"epoch": 1})).await;
    assert_eq!((&saved["checkpoint_ms"], &saved["memory"]), (&json!(1000), &json!(150)));
    fixture.post("tasks/a/throttle", json!({"epoch": 1, "percent": 50})).await;
    let usage = || async {
        let url = format!("{}/usage", fixture.worker.url());
        client().get(url).send().await.unwrap().json::<Value>().await.unwrap()
    };
    assert_eq!(usage().await["tasks"][0]["progress_ms"], 1000);
    fixture.clock.advance(Duration::from_millis(800));
    let lagging = usage().await;
    assert_eq!(
        (&lagging["tasks"][0]["progress_ms"], &lagging["age_ms"]),
        (&json!(1000), &json!(800))
    );
    fixture.clock.advance(Duration::from_millis(100));
    assert_eq!(fixture.worker.tasks()[0].progress_ms, 1450);
}

/// Guards against injected faults without effect: tasks that run although they have to fail, and
/// answers of a silent worker.
#[tokio::test]
async fn worker_faults() {
    let fixture = WorkerFixture::new(8).await;
    fixture.worker.set_fault(Some(WorkerFault::FailTasks));
    fixture.start("a", 1, 4).await;
    assert_eq!(fixture.state("a"), TaskState::Failed);
    fixture.worker.set_fault(Some(WorkerFault::Silent));
    let url = format!("{}/usage", fixture.worker.url());
    let call = client().get(url).timeout(Duration::from_millis(50)).send().await;
    assert!(call.unwrap_err().is_timeout());
}

/// Guards against a load report that omits requests or counts truncated answers as complete.
#[tokio::test]
async fn load_accounts_for_all() {
    let upstream = upstream(0).await;
    upstream.set_mix(7, vec![(UpstreamFault::Truncated, 100), (UpstreamFault::Error, 100)]);
    let url = format!("{}/x", upstream.server().url());
    let settings = LoadSettings::new(&[&url], 2000.0, 300).with_keys("k");
    let report = run_load(&settings).await.unwrap();
    let answered: u64 = report.outcomes.values().sum();
    let broken: u64 = report.errors.values().sum();
    assert_eq!((report.sent + report.skipped, answered + broken), (300, report.sent), "{report}");
    assert_eq!(report.mismatched, 0);
    assert!(report.errors["broken"] > 0 && report.statuses[&500] > 0, "{report}");
    assert!(upstream.executions_by_key().values().all(|count| *count == 1));
}

/// Guards against repeated requests that do not share their key and body, because tests of
/// duplicates would then send none, and against late answers that count as on time.
#[tokio::test]
async fn load_repeats_keys() {
    let upstream = upstream(20).await;
    let url = format!("{}/x", upstream.server().url());
    let settings = LoadSettings::new(&[&url], 2000.0, 30).with_keys("k").with_repeats(3);
    let report = run_load(&settings.with_deadline(Duration::from_millis(1))).await.unwrap();
    assert_eq!((report.sent, report.mismatched, report.on_time), (30, 0, 0), "{report}");
    let executions = upstream.executions_by_key();
    assert_eq!((executions.len(), executions["k0"], executions["k9"]), (10, 3, 3));
}

/// Guards against stand-ins whose faults and counters cannot be reached from another process.
#[tokio::test]
async fn standins_control_calls() {
    let upstream = upstream(0).await;
    let url = |path: &str| format!("{}/standin/{path}", upstream.server().url());
    let put = |fault: &'static str| client().put(url("fault")).body(fault).send();
    assert_eq!(put("close").await.unwrap().status(), 204);
    assert!(send(&upstream, "k").await.is_err());
    assert_eq!(put("slow:soon").await.unwrap().status(), 400);
    assert_eq!(put("none").await.unwrap().status(), 204);
    assert_eq!(send(&upstream, "k").await.unwrap().0, 200);
    let counts: Value = client().get(url("counts")).send().await.unwrap().json().await.unwrap();
    assert_eq!((&counts["runs"], &counts["most_executions"]), (&json!(2), &json!(2)));
}

/// Guards against load on other machines and against settings outside their bounds.
#[tokio::test]
async fn load_refuses_settings() {
    let cases = [
        LoadSettings::new(&["http://192.0.2.1/x"], 1.0, 1),
        LoadSettings::new(&["http://127.0.0.1/x"], 0.0, 1),
        LoadSettings::new(&["http://127.0.0.1/x"], 1.0, 0),
        LoadSettings::new(&[], 1.0, 1),
        LoadSettings::new(&["http://127.0.0.1/x"], 1.0, 1).with_open(0),
    ];
    for settings in cases {
        assert!(run_load(&settings).await.is_err(), "{settings:?}");
    }
}
