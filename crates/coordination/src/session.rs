use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use skylarkpulley_jobs::{Orders, WorkerReport};
use skylarkpulley_proto::v1;
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::convert::{decode_orders, encode_report};
use crate::leader_record::LeaderRecord;
use crate::peer::connect;

/// Time between two reports while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A session that brings no update for this long is replaced. The limit covers the answers to two
/// reports with some delay.
const SILENCE_LIMIT: Duration = Duration::from_millis(2200);

/// Time limit for opening a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Number of reports that may wait for a connection that accepts no data.
const REPORT_QUEUE_CAPACITY: usize = 16;

/// First delay before the leader is looked up again. It doubles up to [`MAX_LOOKUP_DELAY`], because
/// each look-up is a call to the store that costs money.
const FIRST_LOOKUP_DELAY: Duration = Duration::from_millis(200);

/// Longest delay between two look-ups.
const MAX_LOOKUP_DELAY: Duration = Duration::from_millis(800);

/// Shortest time between two look-ups while the leader reports that the store does not confirm its
/// leadership. Another entry takes over about 1.3 s after the leader was cut off.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two look-ups that the store does not answer. It may be down for all.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// An update from the leader.
#[derive(Clone, Debug)]
pub struct LeaderUpdate {
    /// Epoch of the leader.
    pub epoch: u64,
    /// For how long leases may be extended, counted from `sent_at`.
    pub lease: Duration,
    /// The orders.
    pub orders: Orders,
    /// When the report that this update answers was sent, on a clock that counts suspensions of the
    /// VM; `None` when it is not known.
    pub sent_at: Option<Instant>,
}

/// A session that the leader has opened, before the first report.
struct OpenSession {
    leader: LeaderRecord,
    reports: mpsc::Sender<v1::WorkerUpdate>,
    updates: Streaming<v1::CoordinatorUpdate>,
}

/// How a session ended.
struct SessionEnd {
    reason: String,
    /// Session with the successor of the leader, if one was found.
    successor: Option<OpenSession>,
}

impl SessionEnd {
    fn new(reason: &str) -> Self {
        Self { reason: reason.to_owned(), successor: None }
    }
}

/// Keeps a session with the leader open: sends the content of `outgoing` when it changes and
/// periodically, and passes the leader's updates to `incoming`.
pub async fn run_session(
    store: Arc<dyn Transactor>,
    clock: Arc<dyn Clock>,
    outgoing: watch::Receiver<WorkerReport>,
    incoming: mpsc::Sender<LeaderUpdate>,
) {
    let mut delay = FIRST_LOOKUP_DELAY;
    let mut highest_epoch = 0;
    let mut successor = None;
    loop {
        let opened = match successor.take() {
            Some(session) => Some(session),
            None => look_up_leader(store.as_ref(), highest_epoch).await,
        };
        if let Some(session) = opened {
            highest_epoch = session.leader.epoch;
            let (id, started) = (session.leader.name.clone(), Instant::now());
            let reports = outgoing.clone();
            let end =
                serve_session(session, store.clone(), clock.as_ref(), reports, &incoming).await;
            if incoming.is_closed() {
                return;
            }
            log_session_end(&id, highest_epoch, &end.reason);
            if started.elapsed() > SILENCE_LIMIT {
                delay = FIRST_LOOKUP_DELAY;
            }
            successor = end.successor;
            if successor.is_some() {
                continue;
            }
        }
        if incoming.is_closed() {
            return;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_LOOKUP_DELAY);
    }
}

fn log_session_end(id: &str, epoch: u64, reason: &str) {
    let event = Event::SessionReplaced;
    tracing::info!(code = event.code(), event = event.name(), id, epoch, reason);
}

/// Opens a session with the leader that the store names, unless its epoch is below
/// `highest_epoch`.
async fn look_up_leader(store: &dyn Transactor, highest_epoch: u64) -> Option<OpenSession> {
    let leader = match LeaderRecord::read(store).await {
        Ok((leader, _)) => leader,
        Err(error) => {
            tracing::debug!(%error, "leader's record cannot be read; retrying");
            return None;
        }
    };
    if leader.epoch < highest_epoch || leader.address.is_empty() {
        return None;
    }
    let (id, epoch) = (leader.name.clone(), leader.epoch);
    match open(leader).await {
        Ok(session) => Some(session),
        Err(reason) => {
            log_session_end(&id, epoch, &reason);
            None
        }
    }
}

/// Serves a session until it ends.
async fn serve_session(
    session: OpenSession,
    store: Arc<dyn Transactor>,
    clock: &dyn Clock,
    mut outgoing: watch::Receiver<WorkerReport>,
    incoming: &mpsc::Sender<LeaderUpdate>,
) -> SessionEnd {
    let OpenSession { leader, reports, mut updates } = session;
    let mut sent_reports: VecDeque<(u64, Instant)> = VecDeque::new();
    let mut sequence = 0;
    // Runs beside the session, so that the leases go on until the successor has opened a session.
    let mut search: Option<BoxFuture<'static, OpenSession>> = None;
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    let silence = tokio::time::sleep(SILENCE_LIMIT);
    tokio::pin!(silence);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            changed = outgoing.changed() => {
                if changed.is_err() {
                    return SessionEnd::new("the agent is stopping");
                }
                tick.reset();
            }
            update = updates.message() => {
                let update = match update {
                    Ok(Some(update)) => update,
                    Ok(None) => return SessionEnd::new("the leader closed the session"),
                    Err(status) => return SessionEnd::new(status.message()),
                };
                silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                if update.leads {
                    search = None;
                } else if search.is_none() {
                    let spread = Duration::from_millis(update.search_spread_ms);
                    let successor = find_successor(store.clone(), leader.epoch, spread);
                    search = Some(successor.boxed());
                }
                if incoming.send(decode_update(update, &mut sent_reports)).await.is_err() {
                    return SessionEnd::new("the agent is stopping");
                }
                continue;
            }
            successor = async { search.as_mut().expect("a search is open").await },
                if search.is_some() =>
            {
                let reason = "another entry leads".to_owned();
                return SessionEnd { reason, successor: Some(successor) };
            }
            () = &mut silence => return SessionEnd::new("no update within the silence limit"),
        }
        sequence += 1;
        let mut update = encode_report(&outgoing.borrow_and_update());
        update.sequence = sequence;
        sent_reports.push_back((sequence, clock.now()));
        // A connection that accepts no data lets the channel fill; the silence limit then ends the
        // session.
        if reports.try_send(update).is_err() && reports.is_closed() {
            return SessionEnd::new("the leader closed the session");
        }
    }
}

/// Looks for the successor of the leader of `epoch` until one has opened a session. The look-ups of
/// all agents are spread over `spread`, so that they do not overload the store.
async fn find_successor(store: Arc<dyn Transactor>, epoch: u64, spread: Duration) -> OpenSession {
    let mut delay = random_below(spread);
    let mut interval = MIN_SEARCH_INTERVAL.max(spread);
    loop {
        tokio::time::sleep(delay).await;
        match LeaderRecord::read(store.as_ref()).await {
            Ok((leader, _)) => {
                interval = MIN_SEARCH_INTERVAL.max(spread);
                if leader.epoch > epoch {
                    match open(leader).await {
                        Ok(session) => return session,
                        Err(reason) => tracing::debug!(
                            reason,
                            "successor of the leader has not opened a session; retrying"
                        ),
                    }
                }
            }
            Err(error) => {
                tracing::debug!(%error, "leader's record cannot be read; keeping the session");
                interval = (interval * 2).min(MAX_SEARCH_INTERVAL.max(spread));
            }
        }
        delay = interval / 2 + random_below(interval);
    }
}

/// Returns a random duration below `limit`.
fn random_below(limit: Duration) -> Duration {
    limit.mul_f64(fastrand::f64())
}

/// Decodes an update and finds the time at which the report that it answers was sent.
fn decode_update(
    update: v1::CoordinatorUpdate,
    sent_reports: &mut VecDeque<(u64, Instant)>,
) -> LeaderUpdate {
    let mut report_sent = None;
    while let Some((sequence, time)) = sent_reports.front().copied() {
        if sequence > update.acked {
            break;
        }
        if sequence == update.acked {
            report_sent = Some(time);
            break;
        }
        sent_reports.pop_front();
    }
    LeaderUpdate {
        epoch: update.epoch,
        lease: Duration::from_millis(update.lease_ms),
        orders: decode_orders(update),
        sent_at: report_sent,
    }
}

/// Opens a session with the entry that `leader` names.
async fn open(leader: LeaderRecord) -> Result<OpenSession, String> {
    let (reports, stream) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let Some(mut client) = connect(&leader.address) else {
        return Err(format!("invalid address {:?}", leader.address));
    };
    let session = client.worker_session(ReceiverStream::new(stream));
    match tokio::time::timeout(OPEN_TIMEOUT, session).await {
        Ok(Ok(updates)) => Ok(OpenSession { leader, reports, updates: updates.into_inner() }),
        Ok(Err(status)) => Err(status.message().to_owned()),
        Err(_) => Err("the leader did not open the session within the time limit".to_owned()),
    }
}
