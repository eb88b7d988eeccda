use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_store::{Store, list_entries};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::entry_session::{SessionContext, run_session};

/// A session to an entry that no entry has named for this long is not replaced when it ends, unless
/// the entry is a seed.
const UNNAMED_ENTRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without an acknowledgement from any entry after which the addresses of entries are read
/// from the store. Each entry acknowledges once per second and names the other entries, so three
/// missed acknowledgements mean that the entries with a session are no longer reachable.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

struct Session {
    keep_open: watch::Sender<bool>,
    last_named: Instant,
}

/// Keeps one session to each entry: to the seeds from the settings, to the entries that other
/// entries name and, while no entry answers, to the entries whose addresses are in the store.
pub async fn run_sessions(
    seeds: Vec<SocketAddr>,
    context: SessionContext,
    mut named_entries: mpsc::Receiver<BTreeSet<SocketAddr>>,
    store: Option<Arc<dyn Store>>,
) {
    let mut sessions: BTreeMap<SocketAddr, Session> = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let seeds: BTreeSet<SocketAddr> = seeds.into_iter().collect();
    let mut addresses = seeds.clone();
    loop {
        let now = context.clock.now();
        for address in &addresses {
            if let Some(session) = sessions.get_mut(address) {
                session.last_named = now;
                continue;
            }
            let (keep_open, stay_connected) = watch::channel(true);
            tasks.spawn(run_session(*address, context.clone(), stay_connected));
            sessions.insert(*address, Session { keep_open, last_named: now });
        }
        sessions.retain(|address, session| {
            let is_current = seeds.contains(address)
                || now.saturating_duration_since(session.last_named) < UNNAMED_ENTRY_TIMEOUT;
            if !is_current {
                session.keep_open.send_replace(false);
            }
            is_current
        });
        match tokio::time::timeout(ACK_TIMEOUT, named_entries.recv()).await {
            Ok(Some(entries)) => addresses = entries,
            Ok(None) => return,
            Err(_) => addresses = list_stored_entries(store.as_deref()).await,
        }
    }
}

/// Returns the addresses of the entries that have registered in the store.
async fn list_stored_entries(store: Option<&dyn Store>) -> BTreeSet<SocketAddr> {
    let Some(store) = store else { return BTreeSet::new() };
    match list_entries(store).await {
        Ok(entries) => entries.iter().filter_map(|entry| Some(entry.row?.control)).collect(),
        Err(error) => {
            tracing::warn!(
                %error,
                "no entry answers, and the store could not be read; retrying after the ack timeout"
            );
            BTreeSet::new()
        }
    }
}
