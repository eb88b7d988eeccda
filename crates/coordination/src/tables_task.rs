use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Event;
use tokio::sync::{mpsc, watch};

use crate::peer::PeerClients;

/// Delay before the source is polled again after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time limit for fetching the tables from another entry.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// A failed read of the tables from their source.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("tables cannot be read: {detail}")]
pub struct TablesSourceError {
    /// Cause.
    pub detail: String,
}

/// Source of the tables.
#[async_trait]
pub trait TablesSource: Send + Sync {
    /// Waits for a limited time for tables that are newer than `current_version`. Returns them, or
    /// `None` when there are none.
    async fn poll(&self, current_version: u64) -> Result<Option<JobTables>, TablesSourceError>;
}

/// Whether the source of the tables answers one entry.
#[derive(Clone, Copy, Debug)]
pub struct TablesAvailability {
    /// Whether the last poll was answered.
    pub answered: bool,
    /// When the source last answered.
    pub confirmed_at: Option<Instant>,
}

/// Keeps `tables` at the newest version: polls the source, and fetches the tables from other
/// entries that have newer ones.
pub async fn follow_tables(
    source: Arc<dyn TablesSource>,
    peers: Arc<PeerClients>,
    tables: watch::Sender<JobTables>,
    availability: watch::Sender<TablesAvailability>,
    mut newer_addresses: mpsc::Receiver<String>,
) {
    let mut source_reachable = true;
    loop {
        let version = tables.borrow().version;
        tokio::select! {
            polled = source.poll(version) => match polled {
                Ok(newer_tables) => {
                    log_source_change(&mut source_reachable, true, version, "");
                    availability.send_replace(TablesAvailability {
                        answered: true,
                        confirmed_at: Some(Instant::now()),
                    });
                    if let Some(newer_tables) = newer_tables {
                        apply_tables(&tables, newer_tables, "store");
                    }
                }
                Err(error) => {
                    log_source_change(&mut source_reachable, false, version, &error.detail);
                    availability.send_modify(|availability| availability.answered = false);
                    tokio::time::sleep(POLL_RETRY_DELAY).await;
                }
            },
            Some(address) = newer_addresses.recv() => {
                if let Some(newer_tables) = fetch(&peers, &address).await {
                    apply_tables(&tables, newer_tables, &address);
                }
            }
        }
    }
}

/// Logs a change of whether the source answers. `version` is that of the current tables.
fn log_source_change(was_reachable: &mut bool, is_reachable: bool, version: u64, detail: &str) {
    if std::mem::replace(was_reachable, is_reachable) == is_reachable {
        return;
    }
    let event = if is_reachable { Event::StoreRestored } else { Event::StoreUnavailable };
    tracing::warn!(code = event.code(), event = event.name(), version, detail);
}

fn apply_tables(tables: &watch::Sender<JobTables>, newer_tables: JobTables, origin: &str) {
    tables.send_if_modified(|current| {
        if newer_tables.version <= current.version {
            return false;
        }
        let event = Event::ConfigApplied;
        tracing::info!(
            code = event.code(),
            event = event.name(),
            version = newer_tables.version,
            previous = current.version,
            routes = newer_tables.routes.len(),
            origin
        );
        *current = newer_tables;
        true
    });
}

async fn fetch(peers: &PeerClients, address: &str) -> Option<JobTables> {
    let mut client = peers.client(address)?;
    let call = client.fetch_tables(v1::FetchTablesRequest {});
    let reply = match tokio::time::timeout(FETCH_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        _ => {
            peers.drop_connection(address);
            tracing::warn!(address, "newer tables could not be fetched; keeping the current ones");
            return None;
        }
    };
    match serde_json::from_slice(&reply.tables) {
        Ok(tables) => Some(tables),
        Err(error) => {
            tracing::warn!(
                address,
                %error,
                "fetched tables cannot be decoded; keeping the current ones"
            );
            None
        }
    }
}
