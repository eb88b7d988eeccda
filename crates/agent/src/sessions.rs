use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::entry_session::{SessionContext, run_session};

/// An entry that no entry has named for this long gets no further session.
const FORGET_AFTER: Duration = Duration::from_secs(30);

struct Session {
    keep: watch::Sender<bool>,
    named: Instant,
}

/// Keeps one session to every known entry: the seeds of the settings and those that entries name.
pub async fn run_sessions(
    seeds: Vec<SocketAddr>,
    context: SessionContext,
    mut learned: mpsc::Receiver<BTreeSet<SocketAddr>>,
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
        match learned.recv().await {
            Some(entries) => named = entries,
            None => return,
        }
    }
}
