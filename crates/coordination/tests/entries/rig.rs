use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_admin::Client;
use skylarkpulley_coordination::{
    Entry, EntrySettings, Records, TablesAnswer, TablesSource, TablesSourceError, serve_operators,
};
use skylarkpulley_jobs::{Guarantee, Job, JobTables, Limits, Step, TeamEntry, WorkerPool};
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Metrics;
use skylarkpulley_types::SystemClock;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, mpsc};

/// Memory that submissions may take in a leader until they are stored.
pub const UNSTORED_BYTES: usize = 1 << 20;

/// One version of the tables that never changes.
struct FixedTables;

#[async_trait]
impl TablesSource for FixedTables {
    async fn poll(&self, current_version: u64) -> Result<TablesAnswer, TablesSourceError> {
        if current_version > 0 {
            std::future::pending::<()>().await;
        }
        let tables = tables(7, "north");
        Ok(TablesAnswer { confirmed_after: Some(Duration::ZERO), newer: Some(tables) })
    }
}

/// Tables that a test changes while entries use them.
pub struct ChangingTables {
    versions: Mutex<mpsc::Receiver<JobTables>>,
}

impl ChangingTables {
    /// Returns a source of the tables that are sent.
    pub fn new() -> (Arc<Self>, mpsc::Sender<JobTables>) {
        let (sender, versions) = mpsc::channel(4);
        (Arc::new(Self { versions: Mutex::new(versions) }), sender)
    }
}

#[async_trait]
impl TablesSource for ChangingTables {
    async fn poll(&self, _: u64) -> Result<TablesAnswer, TablesSourceError> {
        let newer = self.versions.lock().await.recv().await;
        Ok(TablesAnswer { confirmed_after: Some(Duration::ZERO), newer })
    }
}

/// Returns tables with one pool and one team.
pub fn tables(version: u64, team: &str) -> JobTables {
    let pool = WorkerPool { guarded: true, name: "renders".to_owned(), spare: false };
    let team = TeamEntry {
        guarantee: Guarantee { accelerators: 16 },
        keys: Vec::new(),
        name: team.to_owned(),
    };
    JobTables {
        body_limit: 1000,
        pools: [("renders".to_owned(), pool)].into(),
        teams: vec![team],
        version,
        ..JobTables::default()
    }
}

pub fn job(id: &str) -> Box<Job> {
    Box::new(Job {
        accepted_ms: 1,
        advised: false,
        attempts: 1,
        class: 1,
        id: id.to_owned(),
        payload: String::new(),
        pool: "renders".to_owned(),
        route: "looks".to_owned(),
        schedule: None,
        selector: String::new(),
        slack: 3.0,
        steps: vec![Step { count: 1, ..Step::default() }],
        target_ms: 1000,
        team: "north".to_owned(),
    })
}

/// Starts an entry. Returns it with a client for its operators' listener.
pub async fn start(name: &str, store: Arc<dyn Transactor>) -> (Arc<Entry>, Client) {
    start_with(name, store, Limits::default()).await
}

/// Starts an entry with the given limits.
pub async fn start_with(
    name: &str,
    store: Arc<dyn Transactor>,
    limits: Limits,
) -> (Arc<Entry>, Client) {
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = control.local_addr().expect("an address");
    start_announced(name, store, limits, control, announced).await
}

/// Starts an entry that announces another address than that of its `control` listener.
pub async fn start_announced(
    name: &str,
    store: Arc<dyn Transactor>,
    limits: Limits,
    control: TcpListener,
    announced: SocketAddr,
) -> (Arc<Entry>, Client) {
    start_from(name, store, limits, control, announced, Arc::new(FixedTables)).await
}

/// Starts an entry that reads the tables from `source`.
pub async fn start_from(
    name: &str,
    store: Arc<dyn Transactor>,
    limits: Limits,
    control: TcpListener,
    announced: SocketAddr,
    source: Arc<dyn TablesSource>,
) -> (Arc<Entry>, Client) {
    let operators = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = operators.local_addr().expect("an address");
    let settings = EntrySettings {
        announced,
        confirmation_limit: limits.takeover,
        cores: 0,
        lease: Duration::from_secs(8),
        limits,
        name: name.to_owned(),
        unstored_bytes: UNSTORED_BYTES,
    };
    let (metrics, page) = Metrics::with_page("entry");
    let clock = Arc::new(SystemClock::new());
    let records = Records::new(metrics);
    let entry = Entry::start(settings, control.into(), store, source, None, clock, records);
    let entry = Arc::new(entry);
    tokio::spawn(serve_operators(operators, entry.clone(), page));
    (entry, Client::new(&format!("http://{address}")).expect("a client"))
}

/// Waits until the entry is ready to serve callers.
pub async fn until_ready(entry: &Entry) {
    while !entry.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
