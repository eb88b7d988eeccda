use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Event;
use tokio::sync::{mpsc, watch};

use crate::peer::PeerClients;

/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(250);

/// Time for fetching the tables from another entry.
const FETCH_LIMIT: Duration = Duration::from_millis(700);

/// Why the tables could not be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("tables not read: {detail}")]
pub struct TablesSourceError {
    /// Cause.
    pub detail: String,
}

/// Where the tables come from.
#[async_trait]
pub trait TablesSource: Send + Sync {
    /// Returns the tables when they are newer than `known`; waits for that for a bounded time.
    async fn poll(&self, known: u64) -> Result<Option<JobTables>, TablesSourceError>;
}

/// State of the tables at one entry.
#[derive(Clone, Copy, Debug)]
pub struct TablesAge {
    /// Whether the last poll was answered.
    pub answers: bool,
    /// When the source last answered.
    pub confirmed: Option<Instant>,
}

/// Keeps the newest tables: follows the source, and asks other entries that have newer ones.
pub async fn follow_tables(
    source: Arc<dyn TablesSource>,
    peers: Arc<PeerClients>,
    tables: watch::Sender<JobTables>,
    age: watch::Sender<TablesAge>,
    mut newer: mpsc::Receiver<String>,
) {
    let mut reached = true;
    loop {
        let known = tables.borrow().version;
        tokio::select! {
            polled = source.poll(known) => match polled {
                Ok(found) => {
                    note_source(&mut reached, true, known, "");
                    age.send_replace(TablesAge { answers: true, confirmed: Some(Instant::now()) });
                    if let Some(found) = found {
                        put_in_force(&tables, found, "store");
                    }
                }
                Err(error) => {
                    note_source(&mut reached, false, known, &error.detail);
                    age.send_modify(|age| age.answers = false);
                    tokio::time::sleep(PAUSE).await;
                }
            },
            Some(address) = newer.recv() => {
                if let Some(found) = fetch(&peers, &address).await {
                    put_in_force(&tables, found, &address);
                }
            }
        }
    }
}

/// Logs that the source was lost or regained.
fn note_source(reached: &mut bool, now: bool, version: u64, detail: &str) {
    if std::mem::replace(reached, now) == now {
        return;
    }
    let event = if now { Event::StoreRestored } else { Event::StoreUnavailable };
    tracing::warn!(code = event.code(), event = event.name(), version, detail);
}

fn put_in_force(tables: &watch::Sender<JobTables>, found: JobTables, origin: &str) {
    tables.send_if_modified(|current| {
        if found.version <= current.version {
            return false;
        }
        let event = Event::ConfigApplied;
        tracing::info!(
            code = event.code(),
            event = event.name(),
            version = found.version,
            previous = current.version,
            routes = found.routes.len(),
            origin
        );
        *current = found;
        true
    });
}

async fn fetch(peers: &PeerClients, address: &str) -> Option<JobTables> {
    let mut client = peers.client(address)?;
    let call = client.fetch_tables(v1::FetchTablesRequest {});
    let reply = match tokio::time::timeout(FETCH_LIMIT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        _ => {
            peers.replace(address);
            tracing::warn!(address, "tables not fetched");
            return None;
        }
    };
    match serde_json::from_slice(&reply.tables) {
        Ok(tables) => Some(tables),
        Err(error) => {
            tracing::warn!(address, %error, "tables of another entry cannot be read");
            None
        }
    }
}
