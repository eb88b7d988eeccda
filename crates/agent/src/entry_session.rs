use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_proto::v1::entry_client::EntryClient;
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Secret, v1};
use skylarkpulley_telemetry::{Decisions, Event};
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

/// Interval of the reports that are sent even if nothing has changed.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two reports that are sent because of a change. Each attempt changes the
/// state twice, and sending a report for every change cost more than the attempt itself.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// A session on which no message arrives for this long is replaced by a new one. It covers two
/// report intervals and some delay.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Delay before a new session is opened after one has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// What a session needs from its agent.
#[derive(Clone)]
pub struct SessionContext {
    /// Time source for decision records.
    pub clock: Arc<dyn Clock>,
    /// Record of decisions.
    pub decisions: Arc<Decisions>,
    /// First message of every session.
    pub hello: v1::Hello,
    /// Channel for the messages of entries to the task that keeps the state of the agent.
    pub inbound: mpsc::Sender<v1::EntryMessage>,
    /// Becomes true when the agent starts to shut down.
    pub leaving: watch::Receiver<bool>,
    /// Channel for the entry addresses that entries name in their acknowledgements.
    pub named_entries: mpsc::Sender<BTreeSet<SocketAddr>>,
    /// Time from which the `sent_ms` of reports is counted.
    pub origin: std::time::Instant,
    /// The latest report, which sessions send with their own sequence number and time.
    pub report: watch::Receiver<v1::Report>,
    /// Shared secret of the processes.
    pub secret: Secret,
}

/// Why a session ended.
enum SessionEnd {
    /// The session could not be opened, or it failed.
    Broken(String),
    /// No message arrived within [`SILENCE_LIMIT`].
    Silent,
    /// The agent stops.
    Stopped,
}

/// Opens a session to the entry at `address`, and a new one each time it ends, until the agent
/// stops. No new session is opened while `stay_connected` is false: no entry has named the address
/// recently.
pub async fn run_session(
    address: SocketAddr,
    context: SessionContext,
    stay_connected: watch::Receiver<bool>,
) {
    while *stay_connected.borrow() {
        let reason = match serve_session(address, &context).await {
            SessionEnd::Stopped => return,
            SessionEnd::Broken(reason) => reason,
            SessionEnd::Silent => "the entry sent no message within the silence limit".to_owned(),
        };
        tracing::debug!(
            %address,
            reason,
            "session ended; a new one is opened if the entry is still listed"
        );
        context.decisions.record(
            context.clock.now(),
            Event::SessionReplaced,
            &address.to_string(),
            &reason,
        );
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn serve_session(address: SocketAddr, context: &SessionContext) -> SessionEnd {
    let (outbound, stream) = mpsc::channel(16);
    let mut inbound = match open_session(address, context, &outbound, stream).await {
        Ok(inbound) => inbound,
        Err(reason) => return SessionEnd::Broken(reason),
    };
    let mut report = context.report.clone();
    let mut leaving = context.leaving.clone();
    let mut sequence = 0;
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    let silence = tokio::time::sleep(SILENCE_LIMIT);
    tokio::pin!(silence);
    let next_change = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(next_change);
    loop {
        let change = async {
            next_change.as_mut().await;
            report.changed().await
        };
        let message = tokio::select! {
            _ = tick.tick() => next_report(context, &mut report, &mut sequence),
            changed = change => match changed {
                Ok(()) => {
                    next_change.set(tokio::time::sleep(MIN_CHANGE_INTERVAL));
                    next_report(context, &mut report, &mut sequence)
                }
                Err(_) => return SessionEnd::Stopped,
            },
            Ok(()) = leaving.changed() => {
                v1::agent_message::Body::Leaving(v1::Leaving { reason: "shutdown".to_owned() })
            }
            inbound_message = inbound.message() => match inbound_message {
                Ok(Some(message)) => {
                    silence.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                    if let Err(reason) = handle_message(context, message).await {
                        return SessionEnd::Broken(reason);
                    }
                    continue;
                }
                Ok(None) => return SessionEnd::Broken("the entry closed the session".to_owned()),
                Err(status) => return SessionEnd::Broken(status.message().to_owned()),
            },
            () = &mut silence => return SessionEnd::Silent,
        };
        let message = v1::AgentMessage { body: Some(message) };
        // The channel fills up when the connection accepts no more bytes. The message is then
        // dropped, and the silence timer ends the session.
        if outbound.try_send(message).is_err() && outbound.is_closed() {
            return SessionEnd::Broken("the entry closed the session".to_owned());
        }
    }
}

async fn open_session(
    address: SocketAddr,
    context: &SessionContext,
    outbound: &mpsc::Sender<v1::AgentMessage>,
    stream: mpsc::Receiver<v1::AgentMessage>,
) -> Result<Streaming<v1::EntryMessage>, String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| error.to_string())?
        .connect_timeout(Duration::from_secs(1))
        .tcp_nodelay(true);
    let channel = endpoint.connect().await.map_err(|error| error.to_string())?;
    let mut client = EntryClient::with_interceptor(channel, context.secret.clone())
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let hello = v1::agent_message::Body::Hello(context.hello.clone());
    let _ = outbound.try_send(v1::AgentMessage { body: Some(hello) });
    let call = client.session(ReceiverStream::new(stream));
    match tokio::time::timeout(SILENCE_LIMIT, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(status.message().to_owned()),
        Err(_) => Err("the entry did not accept the session within the silence limit".to_owned()),
    }
}

fn next_report(
    context: &SessionContext,
    report: &mut watch::Receiver<v1::Report>,
    sequence: &mut u64,
) -> v1::agent_message::Body {
    *sequence += 1;
    let latest = report.borrow_and_update().clone();
    let elapsed = context.clock.now().saturating_duration_since(context.origin);
    let sent_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    v1::agent_message::Body::Report(v1::Report { sequence: *sequence, sent_ms, ..latest })
}

async fn handle_message(context: &SessionContext, message: v1::EntryMessage) -> Result<(), String> {
    if let Some(v1::entry_message::Body::Ack(ack)) = &message.body {
        if ack.protocol < MIN_PROTOCOL_VERSION {
            return Err(format!(
                "protocol {} of the entry is older than {MIN_PROTOCOL_VERSION}",
                ack.protocol
            ));
        }
        let entries = ack.entries.iter().filter_map(|text| text.parse().ok()).collect();
        let _ = context.named_entries.try_send(entries);
        return Ok(());
    }
    context.inbound.send(message).await.map_err(|_| "the agent is stopping".to_owned())
}

/// Returns the message with which the agent opens each session.
pub fn hello(settings: &crate::Settings, incarnation: u64, control: SocketAddr) -> v1::Hello {
    use skylarkpulley_tables::PoolKind;
    let kind = match settings.kind {
        PoolKind::Upstream => v1::PoolKind::Upstream,
        PoolKind::Worker => v1::PoolKind::Worker,
    };
    v1::Hello {
        protocol: PROTOCOL_VERSION,
        agent: Some(v1::AgentId { name: settings.name.clone(), incarnation }),
        kind: kind.into(),
        pool: settings.pool.clone(),
        domain: settings.domain.clone(),
        rack: settings.rack.clone(),
        control: control.to_string(),
        config_version: 0,
    }
}
