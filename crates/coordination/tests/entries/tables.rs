//! Tables that an entry fetches from another one, because their source does not answer it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use skylarkpulley_coordination::{Entry, TablesAnswer, TablesSource, TablesSourceError};
use skylarkpulley_jobs::{JobRoute, JobTables, Limits};
use skylarkpulley_standins::SlowLink;
use skylarkpulley_store::MemoryTransactor;
use tokio::net::TcpListener;

use crate::rig::{ChangingTables, start_from, tables, until_ready};

/// Time for which a test waits for tables that should arrive. It only keeps a failed test from lasting
/// for ever.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A source that never answers.
struct UnavailableTables;

#[async_trait]
impl TablesSource for UnavailableTables {
    async fn poll(&self, _: u64) -> Result<TablesAnswer, TablesSourceError> {
        Err(TablesSourceError { detail: "turned away".to_owned() })
    }
}

fn large_tables(version: u64) -> JobTables {
    let route = |number: u64| JobRoute {
        advised: false,
        attempts: 3,
        class: 1,
        // Hosts in which no text repeats, so that compression cannot make the tables small.
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

/// Waits until the entry has tables of `version`. Returns whether it has them in time.
async fn has_version(entry: &Entry, version: u64) -> bool {
    let mut tables = entry.tables();
    let reached = tables.wait_for(|tables| tables.version >= version);
    tokio::time::timeout(WAIT_LIMIT, reached).await.is_ok()
}

/// Guards against tables that never arrive from another entry over a link that needs longer for them
/// than the time limit of a call.
#[tokio::test]
#[ignore = "listed in KNOWN-RED.txt"]
async fn fetch_slow_link() {
    let store = Arc::new(MemoryTransactor::new());
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = control.local_addr().expect("an address");
    let link = SlowLink::new(150_000);
    let announced = link.start(target).await.expect("a link");
    let (source, edits) = ChangingTables::new();
    let limits = Limits::default();
    let (leader, _) =
        start_from("entry-a", store.clone(), limits, control, announced, source).await;
    edits.send(large_tables(7)).await.expect("a source");
    until_ready(&leader).await;
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = control.local_addr().expect("an address");
    let unavailable = Arc::new(UnavailableTables);
    let (follower, _) = start_from("entry-b", store, limits, control, announced, unavailable).await;
    assert!(has_version(&follower, 7).await, "version {}", follower.tables().borrow().version);
}
