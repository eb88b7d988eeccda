use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{Orders, WorkerReport};
use skylarkpulley_proto::v1;
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Event;
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

/// First delay before the leader is looked up again. It doubles up to [`MAX_LOOKUP_DELAY`], because
/// each look-up is a call to the store that costs money.
const FIRST_LOOKUP_DELAY: Duration = Duration::from_millis(200);

/// Longest delay between two look-ups.
const MAX_LOOKUP_DELAY: Duration = Duration::from_millis(800);

/// Time between two look-ups while the leader reports that the store does not confirm its
/// leadership.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The current message of an agent to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgentUpdate {
    /// Whether the worker has left permanently.
    pub left: bool,
    /// The report.
    pub report: WorkerReport,
}

/// An update from the leader.
#[derive(Clone, Debug)]
pub struct LeaderUpdate {
    /// Epoch of the leader.
    pub epoch: u64,
    /// For how long leases may be extended, counted from `sent_at`.
    pub lease: Duration,
    /// The orders.
    pub orders: Orders,
    /// When the report that this update answers was sent; `None` when it is not known.
    pub sent_at: Option<Instant>,
}

/// Keeps a session with the leader open: sends the content of `outgoing` when it changes and
/// periodically, and passes the leader's updates to `incoming`.
pub async fn run_session(
    store: Arc<dyn Transactor>,
    outgoing: watch::Receiver<AgentUpdate>,
    incoming: mpsc::Sender<LeaderUpdate>,
) {
    let mut delay = FIRST_LOOKUP_DELAY;
    let mut highest_epoch = 0;
    loop {
        match LeaderRecord::read(store.as_ref()).await {
            Ok((record, _)) if record.epoch >= highest_epoch && !record.address.is_empty() => {
                highest_epoch = record.epoch;
                let started = Instant::now();
                let reason =
                    serve_session(&record, store.as_ref(), outgoing.clone(), &incoming).await;
                if incoming.is_closed() {
                    return;
                }
                let event = Event::SessionReplaced;
                tracing::info!(
                    code = event.code(),
                    event = event.name(),
                    id = record.name,
                    epoch = record.epoch,
                    reason
                );
                if started.elapsed() > SILENCE_LIMIT {
                    delay = FIRST_LOOKUP_DELAY;
                }
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%error, "leader's record cannot be read; retrying"),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_LOOKUP_DELAY);
    }
}

/// Runs one session with the leader that `record` names. Returns the reason for which it ended.
async fn serve_session(
    record: &LeaderRecord,
    store: &dyn Transactor,
    mut outgoing: watch::Receiver<AgentUpdate>,
    incoming: &mpsc::Sender<LeaderUpdate>,
) -> String {
    let (sender, stream) = mpsc::channel(16);
    let opened = tokio::time::timeout(OPEN_TIMEOUT, open(&record.address, stream)).await;
    let mut updates = match opened {
        Ok(Ok(updates)) => updates,
        Ok(Err(reason)) => return reason,
        Err(_) => return "the leader did not open the session within the time limit".to_owned(),
    };
    let mut sent_reports: VecDeque<(u64, Instant)> = VecDeque::new();
    let mut sequence = 0;
    let mut last_check: Option<Instant> = None;
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    let silence = tokio::time::sleep(SILENCE_LIMIT);
    tokio::pin!(silence);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            changed = outgoing.changed() => {
                if changed.is_err() {
                    return "the agent is stopping".to_owned();
                }
                tick.reset();
            }
            update = updates.message() => {
                let update = match update {
                    Ok(Some(update)) => update,
                    Ok(None) => return "the leader closed the session".to_owned(),
                    Err(status) => return status.message().to_owned(),
                };
                silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                if update.leads {
                    last_check = None;
                } else if let Some(reason) = find_new_leader(record, store, &mut last_check).await {
                    return reason;
                }
                if incoming.send(decode_update(update, &mut sent_reports)).await.is_err() {
                    return "the agent is stopping".to_owned();
                }
                continue;
            }
            () = &mut silence => return "no update within the silence limit".to_owned(),
        }
        sequence += 1;
        let current = outgoing.borrow_and_update().clone();
        let mut update = encode_report(&current.report);
        update.sequence = sequence;
        update.left = current.left;
        sent_reports.push_back((sequence, Instant::now()));
        // A connection that accepts no data lets the channel fill; the silence limit then ends the
        // session.
        if sender.try_send(update).is_err() && sender.is_closed() {
            return "the leader closed the session".to_owned();
        }
    }
}

/// Looks for a newer leader while the store does not confirm the current one. Returns the reason
/// for ending the session, if there is one.
async fn find_new_leader(
    record: &LeaderRecord,
    store: &dyn Transactor,
    last_check: &mut Option<Instant>,
) -> Option<String> {
    let now = Instant::now();
    if last_check.is_some_and(|last| now.saturating_duration_since(last) < LEADER_CHECK_INTERVAL) {
        return None;
    }
    *last_check = Some(now);
    match LeaderRecord::read(store).await {
        Ok((current, _)) if current.epoch > record.epoch => Some("another entry leads".to_owned()),
        Ok(_) => None,
        Err(error) => {
            tracing::debug!(%error, "leader's record cannot be read; keeping the session");
            None
        }
    }
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

async fn open(
    address: &str,
    stream: mpsc::Receiver<v1::WorkerUpdate>,
) -> Result<Streaming<v1::CoordinatorUpdate>, String> {
    let mut client = connect(address).ok_or_else(|| format!("invalid address {address:?}"))?;
    let session = client.worker_session(ReceiverStream::new(stream)).await;
    session.map(tonic::Response::into_inner).map_err(|status| status.message().to_owned())
}
