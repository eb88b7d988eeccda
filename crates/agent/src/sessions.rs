use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_store::{Store, list_entries};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::entry_session::{SessionContext, run_session};

/// An entry that no entry has named for this long gets no further session.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Entries name each other in every acknowledgement, one a second. After three missed ones the
/// known entries count as gone and others are looked up in the store.
const LOOK_UP_AFTER: Duration = Duration::from_secs(3);

struct Session {
    keep: watch::Sender<bool>,
    named: Instant,
}

/// Keeps one session to every known entry: the seeds of the settings, those that entries name and,
/// while no entry answers, those that the store names.
pub async fn run_sessions(
    seeds: Vec<SocketAddr>,
    context: SessionContext,
    mut learned: mpsc::Receiver<BTreeSet<SocketAddr>>,
    store: Option<Arc<dyn Store>>,
) {
    let mut sessions: BTreeMap<SocketAddr, Session> = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let seeds: BTreeSet<SocketAddr> = seeds.into_iter().collect();
    let mut named = seeds.clone();
    loop {
        let now = context.clock.now();
        for address in &named {
            if let Some(session) = sessions.get_mut(address) {
                session.named = now;
                continue;
            }
            let (keep, kept) = watch::channel(true);
            tasks.spawn(run_session(*address, context.clone(), kept));
            sessions.insert(*address, Session { keep, named: now });
        }
        sessions.retain(|address, session| {
            let known = seeds.contains(address)
                || now.saturating_duration_since(session.named) < FORGET_AFTER;
            if !known {
                session.keep.send_replace(false);
            }
            known
        });
        match tokio::time::timeout(LOOK_UP_AFTER, learned.recv()).await {
            Ok(Some(entries)) => named = entries,
            Ok(None) => return,
            Err(_) => named = look_up(store.as_deref()).await,
        }
    }
}

/// Returns the addresses of the entries that the store names.
async fn look_up(store: Option<&dyn Store>) -> BTreeSet<SocketAddr> {
    let Some(store) = store else { return BTreeSet::new() };
    match list_entries(store).await {
        Ok(found) => found.iter().filter_map(|entry| Some(entry.row?.control)).collect(),
        Err(error) => {
            tracing::warn!(%error, "no entry answers, and none is found in the store");
            BTreeSet::new()
        }
    }
}
