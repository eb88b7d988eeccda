use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, v1};
use skylarkpulley_telemetry::{Event, LineLimit};
use tokio::sync::{mpsc, watch};
use tonic::{Code, Status};

use crate::boot_time::boot_time;
use crate::peer::{PeerClient, PeerClients};
use crate::tables_codec::decode_tables;

/// Delay before the source is polled again after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time limit for the beginning of the tables from another entry, and for each further part.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of the compressed tables from another entry in bytes.
const MAX_FETCHED_BYTES: usize = MAX_MESSAGE_BYTES;

/// Time between two log lines about failed transfers from one origin. A poll is repeated several times
/// a second.
const DELAY_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// A failed read of the tables from their source.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("tables cannot be read: {detail}")]
pub struct TablesSourceError {
    /// Cause.
    pub detail: String,
}

/// Why the tables were not fetched from another entry.
#[derive(Debug, Display)]
enum FetchError {
    #[display("{}: {}", _0.code(), _0.message())]
    Failed(Status),
    #[display("the tables cannot be decoded: {detail}")]
    Invalid { detail: String },
    #[display("nothing arrived for {} ms, after {bytes} bytes", FETCH_TIMEOUT.as_millis())]
    Silent { bytes: usize },
    #[display("the compressed tables exceed {MAX_FETCHED_BYTES} bytes")]
    TooLarge,
}

/// Answer of the source of the tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TablesAnswer {
    /// Time after the beginning of the poll at which the answer certainly held; `None` if it does not
    /// tell whether the tables are the newest ones.
    pub confirmed_after: Option<Duration>,
    /// Newer tables or evacuated failure domains, if there are any.
    pub newer: Option<JobTables>,
}

/// Source of the tables.
#[async_trait]
pub trait TablesSource: Send + Sync {
    /// Waits for a limited time for tables that are newer than `current_version`, or for a change of
    /// the evacuated failure domains.
    async fn poll(&self, current_version: u64) -> Result<TablesAnswer, TablesSourceError>;
}

/// Whether the source of the tables answers one entry.
#[derive(Clone, Copy, Debug)]
pub struct TablesAvailability {
    /// Whether the last poll was answered.
    pub answered: bool,
    /// When the source last answered.
    pub confirmed_at: Option<Instant>,
    /// Time since the VM started at which the tables were the newest ones of their source.
    pub read_at: Option<Duration>,
}

impl TablesAvailability {
    /// Returns the availability before the first poll.
    pub fn new() -> Self {
        Self { answered: false, confirmed_at: None, read_at: None }
    }
}

/// Tables that another entry has.
#[derive(Clone, Debug)]
pub struct PeerTables {
    /// Control address of the entry.
    pub address: String,
    /// Versions of its tables and of its evacuated failure domains.
    pub versions: (u64, u64),
}

/// Returns the versions of the tables and of the evacuated failure domains.
pub fn versions(tables: &JobTables) -> (u64, u64) {
    (tables.version, tables.evacuated.version)
}

/// Reports whether either of the versions that another entry has reported is newer than the own one.
pub fn is_newer(reported: (u64, u64), current: (u64, u64)) -> bool {
    reported.0 > current.0 || reported.1 > current.1
}

/// Keeps `tables` at the newest version: polls the source, and fetches the tables from other
/// entries that have newer ones.
pub async fn follow_tables(
    source: Arc<dyn TablesSource>,
    peers: Arc<PeerClients>,
    tables: watch::Sender<JobTables>,
    availability: watch::Sender<TablesAvailability>,
    reports: mpsc::Receiver<PeerTables>,
) {
    // A fetch does not interrupt a poll: another entry that has newer tables and cannot be reached
    // would otherwise keep the source from being read.
    tokio::join!(
        poll_source(source.as_ref(), &tables, &availability),
        fetch_newer(&peers, &tables, reports),
    );
}

async fn poll_source(
    source: &dyn TablesSource,
    tables: &watch::Sender<JobTables>,
    availability: &watch::Sender<TablesAvailability>,
) {
    let mut source_reachable = true;
    let mut delay_lines = LineLimit::new(DELAY_LINE_INTERVAL);
    loop {
        let version = tables.borrow().version;
        let sent_at = boot_time();
        let sent = Instant::now();
        match source.poll(version).await {
            Ok(answer) => {
                log_source_change(&mut source_reachable, true, version, "");
                // The leader relies on tables that are at least as new as their confirmation.
                if let Some(newer_tables) = &answer.newer {
                    apply_tables(tables, newer_tables, "store");
                }
                availability.send_modify(|availability| {
                    availability.answered = true;
                    availability.confirmed_at = Some(Instant::now());
                    if let Some(after) = answer.confirmed_after {
                        availability.read_at = Some(sent_at + after);
                    }
                });
            }
            Err(error) => {
                log_source_change(&mut source_reachable, false, version, &error.detail);
                log_delay(&mut delay_lines, "store", version, &error.detail, sent.elapsed());
                availability.send_modify(|availability| availability.answered = false);
                tokio::time::sleep(POLL_RETRY_DELAY).await;
            }
        }
    }
}

async fn fetch_newer(
    peers: &PeerClients,
    tables: &watch::Sender<JobTables>,
    mut reports: mpsc::Receiver<PeerTables>,
) {
    let mut delay_lines = LineLimit::new(DELAY_LINE_INTERVAL);
    while let Some(PeerTables { address, versions: reported }) = reports.recv().await {
        let known = versions(&tables.borrow());
        // Reports that waited during a fetch may tell of what it has brought.
        if !is_newer(reported, known) {
            continue;
        }
        let sent = Instant::now();
        match fetch(peers, &address, known).await {
            Ok(newer_tables) => apply_tables(tables, &newer_tables, &address),
            Err(error) => {
                log_delay(&mut delay_lines, &address, known.0, &error.detail, sent.elapsed());
            }
        }
    }
}

/// Logs a failed transfer from `origin`. `version` is that of the current tables.
fn log_delay(lines: &mut LineLimit, origin: &str, version: u64, detail: &str, duration: Duration) {
    let Some(suppressed) = lines.admit(Instant::now()) else { return };
    let event = Event::TablesDelayed;
    tracing::warn!(
        code = event.code(),
        event = event.name(),
        origin,
        version,
        detail,
        took_ms = duration.as_millis(),
        suppressed
    );
}

/// Logs a change of whether the source answers. `version` is that of the current tables.
fn log_source_change(was_reachable: &mut bool, is_reachable: bool, version: u64, detail: &str) {
    if std::mem::replace(was_reachable, is_reachable) == is_reachable {
        return;
    }
    let event = if is_reachable { Event::StoreRestored } else { Event::StoreUnavailable };
    tracing::warn!(code = event.code(), event = event.name(), version, detail);
}

fn apply_tables(tables: &watch::Sender<JobTables>, newer_tables: &JobTables, origin: &str) {
    tables.send_if_modified(|current| {
        let previous = current.version;
        let change = current.adopt_newer(newer_tables);
        if change.tables {
            let event = Event::ConfigApplied;
            tracing::info!(
                code = event.code(),
                event = event.name(),
                version = current.version,
                previous,
                routes = current.routes.len(),
                origin
            );
        }
        change.any()
    });
}

/// Fetches what the entry at `address` has that is newer than the versions `known`.
async fn fetch(
    peers: &PeerClients,
    address: &str,
    known: (u64, u64),
) -> Result<JobTables, TablesSourceError> {
    let mut client = peers
        .client(address)
        .ok_or_else(|| TablesSourceError { detail: format!("{address} is not an address") })?;
    let sent = Instant::now();
    let result = match read_chunks(&mut client, known).await {
        Err(FetchError::Failed(status)) if status.code() == Code::Unimplemented => {
            fetch_whole(&mut client).await
        }
        result => result,
    };
    let (bytes, tables) = result.map_err(|error| {
        peers.drop_connection(address);
        TablesSourceError { detail: error.to_string() }
    })?;
    let event = Event::TablesReceived;
    tracing::info!(
        code = event.code(),
        event = event.name(),
        origin = address,
        bytes,
        took_ms = sent.elapsed().as_millis()
    );
    Ok(tables)
}

/// Reads the tables in parts. Returns their compressed size and the tables.
async fn read_chunks(
    client: &mut PeerClient,
    known: (u64, u64),
) -> Result<(usize, JobTables), FetchError> {
    let request = v1::ReadTablesRequest { tables_version: known.0, evacuations_version: known.1 };
    let mut received = Vec::new();
    let mut chunks = within(client.read_tables(request), 0).await?.into_inner();
    while let Some(chunk) = within(chunks.message(), received.len()).await? {
        received.extend_from_slice(&chunk.data);
        if received.len() > MAX_FETCHED_BYTES {
            return Err(FetchError::TooLarge);
        }
    }
    let tables = decode_tables(&received)
        .map_err(|error| FetchError::Invalid { detail: error.to_string() })?;
    Ok((received.len(), tables))
}

/// Fetches the tables from an entry of a build that does not send them in parts.
async fn fetch_whole(client: &mut PeerClient) -> Result<(usize, JobTables), FetchError> {
    let reply = within(client.fetch_tables(v1::FetchTablesRequest {}), 0).await?.into_inner();
    let tables = serde_json::from_slice(&reply.tables)
        .map_err(|error| FetchError::Invalid { detail: error.to_string() })?;
    Ok((reply.tables.len(), tables))
}

/// Waits for the next step of a fetch, which has received `bytes` so far.
async fn within<T>(
    step: impl Future<Output = Result<T, Status>>,
    bytes: usize,
) -> Result<T, FetchError> {
    match tokio::time::timeout(FETCH_TIMEOUT, step).await {
        Ok(result) => result.map_err(FetchError::Failed),
        Err(_) => Err(FetchError::Silent { bytes }),
    }
}
