use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_proto::{MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, v1};
use skylarkpulley_types::AgentId;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use crate::config_task::ConfigTask;
use crate::hub::{Hub, MemberEvent, agent_id};

/// A session is closed when no message arrives for this long; its agent then gets no new work.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Limit on messages that are buffered for an agent that reads slowly.
const OUTBOUND_LIMIT: usize = 64;

/// Outbound half of a session.
pub type SessionStream = ReceiverStream<Result<v1::EntryMessage, Status>>;

/// Reads the first message of a session and spawns the task that serves the session.
///
/// # Errors
/// `InvalidArgument` if the first message is not a valid `Hello`, `FailedPrecondition` if the
/// agent's protocol is too old, and `DeadlineExceeded` if no message arrives in time.
pub async fn accept_session(
    hub: Arc<Hub>,
    config: ConfigTask,
    mut inbound: Streaming<v1::AgentMessage>,
) -> Result<SessionStream, Status> {
    let first = tokio::time::timeout(SILENCE_LIMIT, inbound.message()).await.map_err(|_| {
        Status::deadline_exceeded(
            "no Hello arrived within the silence limit; the session is closed",
        )
    })??;
    let Some(v1::agent_message::Body::Hello(hello)) = first.and_then(|message| message.body) else {
        return Err(Status::invalid_argument("the first message of a session must be Hello"));
    };
    if hello.protocol < MIN_PROTOCOL_VERSION {
        let text = format!(
            "protocol {} of the agent is older than the supported {MIN_PROTOCOL_VERSION}",
            hello.protocol
        );
        return Err(Status::failed_precondition(text));
    }
    if hello.agent.is_none() {
        return Err(Status::invalid_argument("Hello does not contain the agent's identity"));
    }
    let (outbound, stream) = mpsc::channel(OUTBOUND_LIMIT);
    tokio::spawn(SessionTask::new(hub, config, hello, outbound).serve(inbound));
    Ok(ReceiverStream::new(stream))
}

struct SessionTask {
    /// Version of the key range map that the agent last reported.
    acked_ranges: u64,
    agent: AgentId,
    config: ConfigTask,
    hello: Arc<v1::Hello>,
    hub: Arc<Hub>,
    outbound: mpsc::Sender<Result<v1::EntryMessage, Status>>,
    session: u64,
}

impl SessionTask {
    fn new(
        hub: Arc<Hub>,
        config: ConfigTask,
        hello: v1::Hello,
        outbound: mpsc::Sender<Result<v1::EntryMessage, Status>>,
    ) -> Self {
        let session = hub.next_session();
        let agent = agent_id(&hello);
        let hello = Arc::new(hello);
        Self { acked_ranges: 0, agent, config, hello, hub, outbound, session }
    }

    /// Serves the session until it is closed by either side or the agent is silent.
    async fn serve(mut self, mut inbound: Streaming<v1::AgentMessage>) {
        self.hub
            .notify(MemberEvent::Joined { session: self.session, hello: Arc::clone(&self.hello) });
        let mut ranges = self.hub.ranges.subscribe();
        let silence_timer = tokio::time::sleep(SILENCE_LIMIT);
        tokio::pin!(silence_timer);
        self.config.open_session(&self.agent, self.session, self.outbound.clone());
        self.send_ranges();
        let silent = loop {
            tokio::select! {
                received = inbound.message() => match received {
                    Ok(Some(message)) => {
                        silence_timer.as_mut().reset(tokio::time::Instant::now() + SILENCE_LIMIT);
                        self.handle_message(message);
                    }
                    Ok(None) | Err(_) => break false,
                },
                changed = ranges.changed() => match changed {
                    Ok(()) => self.send_ranges(),
                    Err(_) => break false,
                },
                () = &mut silence_timer => break true,
                () = self.outbound.closed() => break false,
            }
        };
        self.config.close_session(&self.agent, self.session);
        self.hub.notify(MemberEvent::Closed {
            session: self.session,
            hello: Arc::clone(&self.hello),
            silent,
        });
    }

    fn handle_message(&mut self, message: v1::AgentMessage) {
        match message.body {
            Some(v1::agent_message::Body::Report(report)) => self.handle_report(report),
            Some(v1::agent_message::Body::Leaving(_)) => {
                self.hub.notify(MemberEvent::Leaving { hello: Arc::clone(&self.hello) });
            }
            // A second Hello is ignored, and so is a message type of a newer protocol.
            Some(v1::agent_message::Body::Hello(_)) | None => {}
        }
    }

    fn handle_report(&mut self, report: v1::Report) {
        self.config.report_version(&self.agent, report.config_version, report.config_digest);
        self.acked_ranges = report.range_version;
        if report.range_version < self.hub.ranges.borrow().version()
            && report.sequence.is_multiple_of(2)
        {
            self.send_ranges();
        }
        let ack = v1::Ack {
            sequence: report.sequence,
            entries: self.hub.entry_addresses(),
            protocol: PROTOCOL_VERSION,
            config_version: self.hub.config.borrow().version(),
            range_version: self.hub.ranges.borrow().version(),
        };
        self.send(v1::entry_message::Body::Ack(ack));
        let (session, hello) = (self.session, Arc::clone(&self.hello));
        self.hub.notify(MemberEvent::Report { session, hello, report: Arc::new(report) });
    }

    fn send_ranges(&self) {
        // Only agents of upstreams store key records.
        if self.hello.kind() != v1::PoolKind::Upstream {
            return;
        }
        let message = self.hub.ranges.borrow().message();
        if let Some(message) = message.filter(|message| message.version > self.acked_ranges) {
            self.send(v1::entry_message::Body::Ranges(message));
        }
    }

    /// Sends a message, or drops it if the buffer is full because the agent does not read. The
    /// versions in the agent's reports show what has to be sent again.
    fn send(&self, body: v1::entry_message::Body) {
        let _ = self.outbound.try_send(Ok(v1::EntryMessage { body: Some(body) }));
    }
}
