//! Sessions between agents and the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_coordination::{BootClock, Entry, JobAnswer, JobCall};
use skylarkpulley_jobs::{Job, Step};
use skylarkpulley_proto::v1;
use skylarkpulley_proto::v1::coordination_client::CoordinationClient;
use skylarkpulley_store::MemoryTransactor;
use skylarkpulley_types::Clock;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

use crate::rig::{job, start, until_ready};
use crate::workers::{EndlessWorker, Order};

/// One session of the agent of the worker `w`.
pub struct Session {
    reports: mpsc::Sender<v1::WorkerUpdate>,
    updates: Streaming<v1::CoordinatorUpdate>,
}

/// Returns a client of an entry that leads.
pub fn client(entry: &Entry) -> CoordinationClient<Channel> {
    let address = format!("http://{}", entry.service().leadership().address);
    let endpoint = Endpoint::from_shared(address).expect("an address");
    CoordinationClient::new(endpoint.connect_lazy())
}

impl Session {
    pub async fn open(client: &mut CoordinationClient<Channel>) -> Self {
        let (reports, stream) = mpsc::channel(4);
        let session = client.worker_session(ReceiverStream::new(stream));
        let updates = session.await.expect("a session").into_inner();
        Self { reports, updates }
    }

    /// Sends a report and waits for its answer; `None` when the leader has closed the session.
    pub async fn report(&mut self, sequence: u64, lapsed: bool) -> Option<v1::CoordinatorUpdate> {
        self.send(v1::WorkerUpdate { lapsed, sequence, ..v1::WorkerUpdate::default() }).await
    }

    /// Sends a report with the description of the worker added, and waits for its answer.
    async fn send(&mut self, report: v1::WorkerUpdate) -> Option<v1::CoordinatorUpdate> {
        let sequence = report.sequence;
        let update = v1::WorkerUpdate {
            listed: true,
            worker: Some(v1::WorkerDescription {
                accelerators: 8,
                address: "10.0.0.1:1".to_owned(),
                boot: 1,
                id: "w".to_owned(),
                pool: "renders".to_owned(),
                ..v1::WorkerDescription::default()
            }),
            ..report
        };
        self.reports.send(update).await.ok()?;
        loop {
            let update = self.updates.message().await.ok()??;
            if update.acked >= sequence {
                return Some(update);
            }
        }
    }
}

/// Guards against a report that is delayed on an earlier session of an agent and arrives after the
/// reports of a later session (mix 14014 of novias-vc). It reported that the leases had lapsed, and
/// the runs that had been started since then were started a second time on other workers.
#[tokio::test]
async fn report_of_earlier_session() {
    let store = Arc::new(MemoryTransactor::new());
    let (entry, _) = start("entry-1", store).await;
    until_ready(&entry).await;
    let mut client = client(&entry);
    let mut earlier = Session::open(&mut client).await;
    assert!(earlier.report(1, false).await.is_some());
    let mut later = Session::open(&mut client).await;
    assert!(later.report(1, false).await.is_some());
    let delayed = tokio::time::timeout(Duration::from_secs(20), earlier.report(2, true)).await;
    assert!(
        delayed.expect("the session ends").is_none(),
        "a report on a superseded session is not answered"
    );
    assert!(later.report(2, false).await.is_some());
}

/// Guards against a session that fails because the orders exceed the size of a message (review/3).
#[tokio::test]
async fn session_large_orders() {
    let (entry, _) = start("entry-1", Arc::new(MemoryTransactor::new())).await;
    until_ready(&entry).await;
    let mut session = Session::open(&mut client(&entry)).await;
    assert!(session.report(1, false).await.is_some());
    for id in ["a", "b"] {
        let steps = vec![Step { count: 620, ..Step::default() }];
        let large = Job { payload: "x".repeat(3990), steps, ..*job(id) };
        let deadline = Instant::now() + Duration::from_secs(20);
        let answer = entry.service().call(&JobCall::Submit(Box::new(large), false), deadline).await;
        assert_eq!(answer, JobAnswer::Done);
    }
    let mut running: Vec<v1::TaskRun> = Vec::new();
    for sequence in 2..100 {
        let report =
            v1::WorkerUpdate { running: running.clone(), sequence, ..v1::WorkerUpdate::default() };
        let update = session.send(report).await.expect("the session goes on");
        let started = update.start.into_iter().map(|start| v1::TaskRun {
            run: start.run,
            task: start.task,
            ..v1::TaskRun::default()
        });
        running.extend(started);
        if running.len() == 1240 {
            return;
        }
    }
    panic!("{} of 1240 starts were ordered", running.len());
}

/// A clock that is an hour ahead of the monotonic clock, as after suspensions of the VM.
struct ClockAhead;

impl Clock for ClockAhead {
    fn now(&self) -> Instant {
        Instant::now() + Duration::from_secs(3600)
    }
}

/// Guards against leases that are counted from a time that another clock shows than that of the
/// agent: the monotonic clock stands still while a VM is suspended, so that leases were extended by
/// the time of the suspension, beyond the time after which the coordinator counts them as lapsed.
#[tokio::test]
async fn session_sent_time_clock() {
    let store = Arc::new(MemoryTransactor::new());
    let (entry, _) = start("entry-1", store.clone()).await;
    until_ready(&entry).await;
    let worker = EndlessWorker::start_with(store, Arc::new(ClockAhead)).await;
    let renewed = worker.await_order(|order| matches!(order, Order::Renewal(_)));
    // With two clocks every grant is an hour old.
    tokio::time::timeout(Duration::from_secs(60), renewed).await.expect("leases are extended");
}

/// Guards against a clock of the agent that stands still while the monotonic one advances.
#[test]
fn boot_clock_advances() {
    let (clock, started) = (BootClock::new(), Instant::now());
    let first = clock.now();
    std::thread::sleep(Duration::from_millis(5));
    assert!(clock.now() >= first + Duration::from_millis(5));
    assert!(first >= started - Duration::from_millis(5));
}
