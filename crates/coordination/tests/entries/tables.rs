//! Tables that an entry fetches from another one, because their source does not answer it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_coordination::{
    Entry, LeaderRecord, TablesAnswer, TablesSource, TablesSourceError,
};
use skylarkpulley_jobs::{JobRoute, JobTables, Limits};
use skylarkpulley_proto::v1;
use skylarkpulley_proto::v1::coordination_server::{Coordination, CoordinationServer};
use skylarkpulley_standins::SlowLink;
use skylarkpulley_store::{MemoryTransactor, Transaction, Transactor};
use tokio::net::TcpListener;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use crate::rig::{ChangingTables, start_from, tables, until_ready};
use crate::sessions::client;

/// Time for which a test waits for tables that should arrive. It only keeps a failed test from lasting
/// for ever.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A source that never answers.
struct UnavailableTables;

#[async_trait]
impl TablesSource for UnavailableTables {
    async fn poll(&self, _: u64) -> Result<TablesAnswer, TablesSourceError> {
        Err(TablesSourceError { detail: "turned away".to_owned() })
    }
}

/// Returns tables of about 3 MB as JSON, and 0.3 MB in compressed form.
fn large_tables(version: u64) -> JobTables {
    let route = |number: u64| JobRoute {
        advised: false,
        attempts: 3,
        class: 1,
        host: format!("{:016x}.example", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        name: format!("route-{number}"),
        open: false,
        path: "/looks/".to_owned(),
        pool: "renders".to_owned(),
        slack: 2.5,
        target_ms: 1000,
    };
    JobTables { routes: (0..20_000).map(route).collect(), ..tables(version, "north") }
}

/// Starts an entry that leads with large tables of version 7, reached by others over `link`.
async fn start_leader(store: Arc<MemoryTransactor>, link: &SlowLink) -> Arc<Entry> {
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = control.local_addr().expect("an address");
    let announced = link.start(address).await.expect("a link");
    let (source, edits) = ChangingTables::new();
    let limits = Limits::default();
    let (leader, _) = start_from("entry-a", store, limits, control, announced, source).await;
    edits.send(large_tables(7)).await.expect("a source");
    until_ready(&leader).await;
    leader
}

/// Starts an entry that follows the leader.
async fn start_follower(store: Arc<MemoryTransactor>, source: Arc<dyn TablesSource>) -> Arc<Entry> {
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = control.local_addr().expect("an address");
    start_from("entry-b", store, Limits::default(), control, announced, source).await.0
}

/// A leader of a build without the call `ReadTables`.
struct EarlierLeader;

#[tonic::async_trait]
impl Coordination for EarlierLeader {
    type ReadTablesStream = ReceiverStream<Result<v1::TablesChunk, Status>>;
    type WorkerSessionStream = ReceiverStream<Result<v1::CoordinatorUpdate, Status>>;

    async fn worker_session(
        &self,
        _: Request<Streaming<v1::WorkerUpdate>>,
    ) -> Result<Response<Self::WorkerSessionStream>, Status> {
        Err(Status::unimplemented("worker_session"))
    }

    async fn job_call(
        &self,
        _: Request<v1::JobCallRequest>,
    ) -> Result<Response<v1::JobCallReply>, Status> {
        Err(Status::unimplemented("job_call"))
    }

    async fn ping(&self, _: Request<v1::PingRequest>) -> Result<Response<v1::PingReply>, Status> {
        let reply =
            v1::PingReply { epoch: 1, leads: true, tables_version: 7, ..Default::default() };
        Ok(Response::new(reply))
    }

    async fn fetch_tables(
        &self,
        _: Request<v1::FetchTablesRequest>,
    ) -> Result<Response<v1::FetchTablesReply>, Status> {
        let tables = serde_json::to_vec(&tables(7, "north")).expect("JSON");
        Ok(Response::new(v1::FetchTablesReply { version: 7, tables }))
    }

    async fn read_tables(
        &self,
        _: Request<v1::ReadTablesRequest>,
    ) -> Result<Response<Self::ReadTablesStream>, Status> {
        Err(Status::unimplemented("read_tables"))
    }

    async fn explain(
        &self,
        _: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainReply>, Status> {
        Err(Status::unimplemented("explain"))
    }

    async fn system_status(
        &self,
        _: Request<v1::SystemStatusRequest>,
    ) -> Result<Response<v1::SystemStatusReply>, Status> {
        Err(Status::unimplemented("system_status"))
    }
}

/// Waits until the entry has tables of `version`. Returns whether it has them in time.
async fn has_version(entry: &Entry, version: u64) -> bool {
    let mut tables = entry.tables();
    let reached = tables.wait_for(|tables| tables.version >= version);
    tokio::time::timeout(WAIT_LIMIT, reached).await.is_ok()
}

/// Starts a leader, and a follower that fetches the large tables from it over `link`. Returns both when
/// the follower has the tables.
async fn fetch_over(link: &SlowLink) -> [Arc<Entry>; 2] {
    let store = Arc::new(MemoryTransactor::new());
    let leader = start_leader(store.clone(), link).await;
    let follower = start_follower(store, Arc::new(UnavailableTables)).await;
    assert!(has_version(&follower, 7).await, "version {}", follower.tables().borrow().version);
    [leader, follower]
}

/// Guards against tables that never arrive from another entry over a link that needs longer for them
/// than the time limit of a call.
#[tokio::test]
async fn fetch_slow_link() {
    fetch_over(&SlowLink::new(150_000)).await;
}

/// Guards against an entry that answers callers by tables although the leader has had newer ones for
/// seconds.
#[tokio::test]
async fn is_ready_outdated_tables() {
    let store = Arc::new(MemoryTransactor::new());
    let _leader = start_leader(store.clone(), &SlowLink::new(100_000)).await;
    let (source, edits) = ChangingTables::new();
    edits.send(tables(6, "north")).await.expect("a source");
    let follower = start_follower(store, source).await;
    let outdated = async {
        while !follower.has_outdated_tables() || follower.tables().borrow().version < 6 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        follower.tables().borrow().version
    };
    assert_eq!(tokio::time::timeout(WAIT_LIMIT, outdated).await, Ok(6));
    assert!(!follower.is_ready());
    assert!(has_version(&follower, 7).await, "version {}", follower.tables().borrow().version);
    assert!(!follower.has_outdated_tables());
}

/// Guards against fetching the same tables again for each report that arrived during a fetch, which
/// keeps a slow link busy.
#[tokio::test]
async fn fetch_once() {
    let link = SlowLink::new(150_000);
    let _entries = fetch_over(&link).await;
    let carried = link.carried();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let further = link.carried() - carried;
    assert!(further < 50_000, "{further} bytes after the tables had arrived");
}

/// Guards against moving the whole tables when only the evacuated failure domains have changed.
#[tokio::test]
async fn read_tables_evacuations_alone() {
    let store = Arc::new(MemoryTransactor::new());
    let leader = start_leader(store, &SlowLink::new(1_000_000)).await;
    let mut client = client(&leader);
    let mut sizes = Vec::new();
    for tables_version in [6, 7] {
        let request = v1::ReadTablesRequest { tables_version, evacuations_version: 0 };
        let mut chunks = client.read_tables(request).await.expect("a reply").into_inner();
        let mut size = 0;
        while let Some(chunk) = chunks.message().await.expect("a chunk") {
            size += chunk.data.len();
        }
        sizes.push(size);
    }
    assert!(sizes[0] > 100_000 && sizes[1] < 1000, "sizes {sizes:?}");
}

/// Guards against an entry that gets no tables from an entry of an earlier build during an upgrade.
#[tokio::test]
async fn fetch_earlier_build() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = Server::builder().add_service(CoordinationServer::new(EarlierLeader));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let store = Arc::new(MemoryTransactor::new());
    let name = "entry-a".to_owned();
    let record = LeaderRecord { address, epoch: 1, name, ..LeaderRecord::default() };
    let rows = Transaction {
        puts: vec![(LeaderRecord::key(), record.encode().into())],
        ..Transaction::default()
    };
    store.apply(&rows).await.expect("stored");
    let follower = start_follower(store, Arc::new(UnavailableTables)).await;
    assert!(has_version(&follower, 7).await, "version {}", follower.tables().borrow().version);
}
