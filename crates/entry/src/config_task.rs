use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use skylarkpulley_admin::{ApplyReply, ApplyRequest, RowDifference};
use skylarkpulley_config::{ApplyOutcome, Delta, Distributor, Document, TablesRow, join_rows};
use skylarkpulley_proto::v1;
use skylarkpulley_store::{Row, Store, StoreError, WriteClass, put_resolved};
use skylarkpulley_tables::{Tables, parse, parse_accepted};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::{AgentId, Digest};
use tokio::sync::{mpsc, oneshot};

use crate::hub::Hub;

/// Key of the store row that contains both tables.
const TABLES_ROW: &str = "tables";

/// Interval between reads of the row.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for agents that need a newer configuration.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Limit on agents that receive the configuration in one check; bounds the work after a change.
const MAX_SENDS_PER_CHECK: usize = 1000;

/// Failure to decide whether an edit is accepted or rejected.
#[derive(Debug)]
pub struct ApplyFailure {
    /// Description for the operator.
    pub detail: String,
    /// Whether the edit may have taken effect.
    pub may_have_applied: bool,
}

/// Outbound half of an agent's session.
pub type Outbound = mpsc::Sender<Result<v1::EntryMessage, tonic::Status>>;

type ApplyResult = Result<ApplyReply, ApplyFailure>;

enum Command {
    AnswerPeer(u64, u64, oneshot::Sender<Option<v1::Config>>),
    Apply(ApplyRequest, oneshot::Sender<ApplyResult>),
    CloseSession(AgentId, u64),
    Install(Document, TablesRow),
    MergePeerConfig(v1::Config),
    OpenSession(AgentId, u64, Outbound),
    ReportVersion(AgentId, u64, u64),
}

/// Handle to the task that keeps the configuration of this entry up to date and distributes it.
#[derive(Clone, Debug)]
pub struct ConfigTask {
    commands: mpsc::UnboundedSender<Command>,
}

impl ConfigTask {
    /// Starts the task.
    pub fn new(hub: &Arc<Hub>, store: Arc<dyn Store>) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let now = hub.clock.now();
        let state = TaskState {
            distributor: Distributor::new(now, &hub.name),
            editor: Arc::new(Editor { commands: commands.clone(), hub: Arc::clone(hub), store }),
            hub: Arc::clone(hub),
            sessions: BTreeMap::new(),
        };
        tokio::spawn(state.run(inbox));
        Self { commands }
    }

    /// Checks an edit and writes it to the store if it is valid.
    ///
    /// # Errors
    /// [`ApplyFailure`] if the store or this entry could not decide on the edit.
    pub async fn apply(&self, request: ApplyRequest) -> ApplyResult {
        let stopping = || ApplyFailure {
            detail: "the entry is shutting down".to_owned(),
            may_have_applied: false,
        };
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Apply(request, reply)).map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())?
    }

    /// Applies a configuration message of another entry.
    pub fn merge_peer_config(&self, message: v1::Config) {
        let _ = self.commands.send(Command::MergePeerConfig(message));
    }

    /// Returns the configuration message that another entry with `version` and `digest` needs, or
    /// `None` if it needs none.
    pub async fn answer_peer(&self, version: u64, digest: u64) -> Option<v1::Config> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::AnswerPeer(version, digest, reply)).ok()?;
        answer.await.ok()?
    }

    /// Starts to send the configuration to an agent that has opened a session.
    pub fn open_session(&self, agent: &AgentId, session: u64, outbound: Outbound) {
        let _ = self.commands.send(Command::OpenSession(agent.clone(), session, outbound));
    }

    /// Records the version and digest that an agent has applied.
    pub fn report_version(&self, agent: &AgentId, version: u64, digest: u64) {
        let _ = self.commands.send(Command::ReportVersion(agent.clone(), version, digest));
    }

    /// Stops sending to an agent whose session has ended.
    pub fn close_session(&self, agent: &AgentId, session: u64) {
        let _ = self.commands.send(Command::CloseSession(agent.clone(), session));
    }
}

/// State of the task behind [`ConfigTask`].
struct TaskState {
    distributor: Distributor,
    editor: Arc<Editor>,
    hub: Arc<Hub>,
    sessions: BTreeMap<String, (u64, Outbound)>,
}

impl TaskState {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Command>) {
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        let mut send = tokio::time::interval(SEND_INTERVAL);
        poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        send.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = poll.tick() => {
                    let editor = Arc::clone(&self.editor);
                    tokio::spawn(async move { editor.poll().await });
                }
                _ = send.tick() => self.send_due(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.hub.clock.now();
        match command {
            Command::AnswerPeer(version, digest, reply) => {
                let delta = self.distributor.delta_for(version, Digest(digest));
                let _ = reply.send(delta.as_ref().map(to_message));
            }
            // A slow store may delay an edit. It runs in a task of its own, so that other commands
            // are not delayed.
            Command::Apply(request, reply) => {
                let editor = Arc::clone(&self.editor);
                tokio::spawn(async move { reply.send(editor.apply(request).await) });
            }
            Command::CloseSession(agent, session) => {
                let peer = agent.to_string();
                if self.sessions.get(&peer).is_some_and(|(current, _)| *current == session) {
                    self.sessions.remove(&peer);
                    self.distributor.remove(&peer);
                }
            }
            Command::Install(document, row) => self.install(document, &row),
            Command::MergePeerConfig(message) => self.apply_peer_config(message),
            Command::OpenSession(agent, session, outbound) => {
                let peer = agent.to_string();
                self.sessions.insert(peer.clone(), (session, outbound));
                self.distributor.record_report(now, &peer, 0, Digest(0));
            }
            Command::ReportVersion(agent, version, digest) => {
                self.distributor.record_report(now, &agent.to_string(), version, Digest(digest));
            }
        }
    }

    fn send_due(&mut self) {
        let names: Vec<String> =
            self.hub.entries.borrow().iter().map(|entry| entry.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.distributor.set_entries(&names);
        let now = self.hub.clock.now();
        for (peer, delta) in self.distributor.take_due_sends(now, MAX_SENDS_PER_CHECK) {
            let Some((_, outbound)) = self.sessions.get(&peer) else { continue };
            let body = v1::entry_message::Body::Config(to_message(&delta));
            // A message for a session with a full channel is dropped and sent again after the
            // agent's next report.
            let _ = outbound.try_send(Ok(v1::EntryMessage { body: Some(body) }));
        }
    }

    fn install(&mut self, document: Document, row: &TablesRow) {
        let version = document.version();
        let Ok(tables) = parse_accepted(row.routes.as_bytes(), row.pools.as_bytes()) else {
            return self.record(
                Event::ConfigStale,
                "the tables in the store row failed the check; the current version is kept",
            );
        };
        match self.distributor.install(self.hub.clock.now(), document) {
            ApplyOutcome::Applied => {
                let texts = (row.routes.clone(), row.pools.clone());
                self.publish(Some(&row.edit), texts, tables);
            }
            ApplyOutcome::FullDocumentRequired | ApplyOutcome::Stale => {
                if version < self.distributor.document().version() {
                    let text =
                        format!("version {version} is older than the current one and was ignored");
                    self.record(Event::ConfigStale, &text);
                }
            }
        }
    }

    fn apply_peer_config(&mut self, message: v1::Config) {
        let delta = to_delta(message);
        match self.distributor.apply(self.hub.clock.now(), &delta) {
            ApplyOutcome::Applied => {}
            ApplyOutcome::FullDocumentRequired => {
                return self
                    .record(Event::ConfigResent, "a peer's delta does not apply to this version");
            }
            ApplyOutcome::Stale => return,
        }
        let Ok(texts) = join_rows(self.distributor.document().rows()) else {
            return self.record(
                Event::ConfigStale,
                "the rows of a peer cannot be joined to tables; they were not published",
            );
        };
        if let Ok(tables) = parse_accepted(texts.0.as_bytes(), texts.1.as_bytes()) {
            self.publish(None, texts, tables);
        }
    }

    fn publish(&mut self, edit: Option<&str>, texts: (String, String), tables: Tables) {
        let now = self.hub.clock.now();
        let document = self.distributor.document();
        let text = format!("version {}", document.version());
        self.hub.config.send_modify(|config| config.replace(document, edit, texts, tables, now));
        self.record(Event::ConfigApplied, &text);
        self.send_due();
    }

    fn record(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, TABLES_ROW, detail);
    }
}

/// Reads and writes the store row of the tables.
struct Editor {
    commands: mpsc::UnboundedSender<Command>,
    hub: Arc<Hub>,
    store: Arc<dyn Store>,
}

impl Editor {
    async fn poll(&self) {
        if let Ok(Some(row)) = self.store.get(TABLES_ROW).await {
            self.install(&row);
        }
    }

    fn install(&self, row: &Row) -> Option<TablesRow> {
        let stored = TablesRow::decode(&row.value).ok()?;
        let document = stored.document().ok()?;
        if document.version() != self.hub.config.borrow().version() {
            let _ = self.commands.send(Command::Install(document, stored.clone()));
        }
        Some(stored)
    }

    async fn apply(&self, request: ApplyRequest) -> ApplyResult {
        // The check that all guarantees can be met together may take a second, so it runs on a
        // blocking thread.
        let (routes, pools) = (request.routes.clone(), request.pools.clone());
        let check = move || parse(routes.as_bytes(), pools.as_bytes()).map(|_| ());
        let checked = tokio::task::spawn_blocking(check)
            .await
            .map_err(|error| ApplyFailure { detail: error.to_string(), may_have_applied: false })?;
        if let Err(faults) = checked {
            self.record(Event::ConfigRejected, &format!("the check found {} faults", faults.len()));
            return Ok(ApplyReply::Rejected { faults });
        }
        let current = self.store.get(TABLES_ROW).await.map_err(|error| store_failure(&error))?;
        let base = current.as_ref().and_then(|row| TablesRow::decode(&row.value).ok());
        if let Some(base) = base.as_ref().filter(|base| base.edit == request.edit_id) {
            return Ok(ApplyReply::Accepted { version: base.version });
        }
        let version = base.as_ref().map_or(0, |base| base.version);
        // A stale read can show an older version than the latest one. The compare-and-set below
        // then fails as well.
        if version != request.from_version {
            return self.conflict(&request, base.as_ref());
        }
        let row = TablesRow::new(&request.edit_id, &request.routes, &request.pools);
        let row = base.as_ref().map_or(row.clone(), |base| row.with_base(base));
        self.write(&request, current.map_or(0, |row| row.version), row).await
    }

    async fn write(&self, request: &ApplyRequest, expected: u64, row: TablesRow) -> ApplyResult {
        let failed = |detail: String| ApplyFailure { detail, may_have_applied: false };
        let document = row.document().map_err(|error| failed(error.to_string()))?;
        let value = row.encode().map_err(|error| failed(error.to_string()))?;
        let store = self.store.as_ref();
        let value = Bytes::from(value);
        match put_resolved(store, TABLES_ROW, expected, value, WriteClass::Tables).await {
            Ok(_) => {
                let version = row.version;
                let text = format!("version {version}, edit {}", row.edit);
                self.record(Event::ConfigAccepted, &text);
                let _ = self.commands.send(Command::Install(document, row));
                Ok(ApplyReply::Accepted { version })
            }
            Err(StoreError::Conflict { .. } | StoreError::Indeterminate { .. }) => {
                let row = store.get(TABLES_ROW).await.map_err(|error| store_failure(&error))?;
                let winner = row.as_ref().and_then(|row| self.install(row));
                self.conflict(request, winner.as_ref())
            }
            Err(error) => Err(store_failure(&error)),
        }
    }

    fn conflict(&self, request: &ApplyRequest, winner: Option<&TablesRow>) -> ApplyResult {
        let version = winner.map_or(0, |winner| winner.version);
        self.record(
            Event::ConfigRejected,
            &format!("conflict: version {version} was written first"),
        );
        let tables = |routes: &str, pools: &str| {
            parse_accepted(routes.as_bytes(), pools.as_bytes()).unwrap_or_default()
        };
        let edited = tables(&request.routes, &request.pools);
        let current = winner.map(|row| tables(&row.routes, &row.pools)).unwrap_or_default();
        Ok(ApplyReply::Conflict { version, rows: RowDifference::between(&edited, &current) })
    }

    fn record(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, TABLES_ROW, detail);
    }
}

fn store_failure(error: &StoreError) -> ApplyFailure {
    ApplyFailure { detail: error.to_string(), may_have_applied: error.is_ambiguous() }
}

fn to_message(delta: &Delta) -> v1::Config {
    let to_row = |(key, text): &(String, Arc<str>)| v1::ConfigRow {
        key: key.clone(),
        text: text.to_string(),
    };
    v1::Config {
        from: delta.from,
        to: delta.to,
        rows: delta.rows.iter().map(to_row).collect(),
        removed: delta.removed.clone(),
        digest: delta.digest.0,
    }
}

fn to_delta(message: v1::Config) -> Delta {
    Delta {
        from: message.from,
        to: message.to,
        rows: message.rows.into_iter().map(|row| (row.key, row.text.into())).collect(),
        removed: message.removed,
        digest: Digest(message.digest),
    }
}
