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

/// Time between two reports without a change.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A session without an update for this long is replaced; two reports and some delay.
const SILENCE_LIMIT: Duration = Duration::from_millis(2200);

/// Time for opening a session.
const OPEN_LIMIT: Duration = Duration::from_millis(1500);

/// Pause before the leader is looked up again; it doubles up to [`LONGEST_PAUSE`], since each
/// look-up is a paid call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two look-ups.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time between two look-ups while the leader says that the store does not confirm it.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// What an agent sends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outgoing {
    /// Whether the worker has left for good.
    pub left: bool,
    /// The report.
    pub report: WorkerReport,
}

/// What the leader answered.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Lease that may be granted from `sent` on.
    pub lease: Duration,
    /// The orders.
    pub orders: Orders,
    /// When the report was sent that this answers.
    pub sent: Option<Instant>,
}

/// Keeps a session to the leader open: sends `outgoing` when it changes and passes updates on.
pub async fn run_session(
    store: Arc<dyn Transactor>,
    outgoing: watch::Receiver<Outgoing>,
    incoming: mpsc::Sender<Incoming>,
) {
    let mut pause = FIRST_PAUSE;
    let mut highest = 0;
    loop {
        match LeaderRecord::read(store.as_ref()).await {
            Ok((record, _)) if record.epoch >= highest && !record.address.is_empty() => {
                highest = record.epoch;
                let began = Instant::now();
                let reason =
                    hold_session(&record, store.as_ref(), outgoing.clone(), &incoming).await;
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
                if began.elapsed() > SILENCE_LIMIT {
                    pause = FIRST_PAUSE;
                }
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%error, "leader not found"),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Returns the reason for which the session ended.
async fn hold_session(
    record: &LeaderRecord,
    store: &dyn Transactor,
    mut outgoing: watch::Receiver<Outgoing>,
    incoming: &mpsc::Sender<Incoming>,
) -> String {
    let (sender, stream) = mpsc::channel(16);
    let opened = tokio::time::timeout(OPEN_LIMIT, open(&record.address, stream)).await;
    let mut updates = match opened {
        Ok(Ok(updates)) => updates,
        Ok(Err(reason)) => return reason,
        Err(_) => return "not opened in time".to_owned(),
    };
    let mut sent: VecDeque<(u64, Instant)> = VecDeque::new();
    let mut sequence = 0;
    let mut doubt: Option<Instant> = None;
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    let silence = tokio::time::sleep(SILENCE_LIMIT);
    tokio::pin!(silence);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            changed = outgoing.changed() => {
                if changed.is_err() {
                    return "the agent stops".to_owned();
                }
                tick.reset();
            }
            update = updates.message() => {
                let update = match update {
                    Ok(Some(update)) => update,
                    Ok(None) => return "the leader closed it".to_owned(),
                    Err(status) => return status.message().to_owned(),
                };
                silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                if update.leads {
                    doubt = None;
                } else if let Some(reason) = look_up(record, store, &mut doubt).await {
                    return reason;
                }
                if incoming.send(accept(update, &mut sent)).await.is_err() {
                    return "the agent stops".to_owned();
                }
                continue;
            }
            () = &mut silence => return "no update within the limit".to_owned(),
        }
        sequence += 1;
        let current = outgoing.borrow_and_update().clone();
        let mut update = encode_report(&current.report);
        update.sequence = sequence;
        update.left = current.left;
        sent.push_back((sequence, Instant::now()));
        // A connection that takes no bytes fills the channel; the silence limit ends it.
        if sender.try_send(update).is_err() && sender.is_closed() {
            return "the leader closed it".to_owned();
        }
    }
}

/// Looks for another leader while the present one is not confirmed by the store.
async fn look_up(
    record: &LeaderRecord,
    store: &dyn Transactor,
    doubt: &mut Option<Instant>,
) -> Option<String> {
    let now = Instant::now();
    if doubt.is_some_and(|last| now.saturating_duration_since(last) < DOUBT_INTERVAL) {
        return None;
    }
    *doubt = Some(now);
    match LeaderRecord::read(store).await {
        Ok((found, _)) if found.epoch > record.epoch => Some("another entry leads".to_owned()),
        Ok(_) => None,
        Err(error) => {
            tracing::debug!(%error, "leader not confirmed");
            None
        }
    }
}

fn accept(update: v1::CoordinatorUpdate, sent: &mut VecDeque<(u64, Instant)>) -> Incoming {
    let mut at = None;
    while let Some((sequence, time)) = sent.front().copied() {
        if sequence > update.acked {
            break;
        }
        if sequence == update.acked {
            at = Some(time);
            break;
        }
        sent.pop_front();
    }
    Incoming {
        epoch: update.epoch,
        lease: Duration::from_millis(update.lease_ms),
        orders: decode_orders(update),
        sent: at,
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
