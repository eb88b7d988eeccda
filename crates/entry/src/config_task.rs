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

/// Store row with both tables.
const TABLES_ROW: &str = "tables";

/// Time between two reads of the row.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at which processes need the configuration.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Processes that are served in one look; bounds the work after a change.
const SENDS_PER_LOOK: usize = 1000;

/// Why an edit was neither accepted nor rejected.
#[derive(Debug)]
pub struct ApplyFailure {
    /// For the operator.
    pub detail: String,
    /// True when the edit may have taken effect.
    pub may_have_applied: bool,
}

/// Outbound half of an agent's session.
pub type Outbound = mpsc::Sender<Result<v1::EntryMessage, tonic::Status>>;

type ApplyResult = Result<ApplyReply, ApplyFailure>;

enum Command {
    Answer(u64, u64, oneshot::Sender<Option<v1::Config>>),
    Apply(ApplyRequest, oneshot::Sender<ApplyResult>),
    Close(AgentId, u64),
    Install(Document, TablesRow),
    Offer(v1::Config),
    Open(AgentId, u64, Outbound),
    Report(AgentId, u64, u64),
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
        let worker = Worker {
            distributor: Distributor::new(now, &hub.name),
            editor: Arc::new(Editor { commands: commands.clone(), hub: Arc::clone(hub), store }),
            hub: Arc::clone(hub),
            sessions: BTreeMap::new(),
        };
        tokio::spawn(worker.work(inbox));
        Self { commands }
    }

    /// Decides on an edit.
    ///
    /// # Errors
    /// [`ApplyFailure`] when the store gave no clear answer.
    pub async fn apply(&self, request: ApplyRequest) -> ApplyResult {
        let stopping =
            || ApplyFailure { detail: "the entry is stopping".to_owned(), may_have_applied: false };
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Apply(request, reply)).map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())?
    }

    /// Takes in a message of another entry.
    pub fn offer(&self, message: v1::Config) {
        let _ = self.commands.send(Command::Offer(message));
    }

    /// Returns what another entry with `version` and `digest` needs.
    pub async fn answer(&self, version: u64, digest: u64) -> Option<v1::Config> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Answer(version, digest, reply)).ok()?;
        answer.await.ok()?
    }

    /// Notes that an agent has opened a session.
    pub fn open(&self, agent: &AgentId, session: u64, outbound: Outbound) {
        let _ = self.commands.send(Command::Open(agent.clone(), session, outbound));
    }

    /// Notes which version and digest an agent holds.
    pub fn report(&self, agent: &AgentId, version: u64, digest: u64) {
        let _ = self.commands.send(Command::Report(agent.clone(), version, digest));
    }

    /// Notes that a session has ended.
    pub fn close(&self, agent: &AgentId, session: u64) {
        let _ = self.commands.send(Command::Close(agent.clone(), session));
    }
}

struct Worker {
    distributor: Distributor,
    editor: Arc<Editor>,
    hub: Arc<Hub>,
    sessions: BTreeMap<String, (u64, Outbound)>,
}

impl Worker {
    async fn work(mut self, mut inbox: mpsc::UnboundedReceiver<Command>) {
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
            Command::Answer(version, digest, reply) => {
                let delta = self.distributor.delta_for(version, Digest(digest));
                let _ = reply.send(delta.as_ref().map(to_message));
            }
            // An edit may wait for a slow store; everything else goes on meanwhile.
            Command::Apply(request, reply) => {
                let editor = Arc::clone(&self.editor);
                tokio::spawn(async move { reply.send(editor.apply(request).await) });
            }
            Command::Close(agent, session) => {
                let peer = agent.to_string();
                if self.sessions.get(&peer).is_some_and(|(known, _)| *known == session) {
                    self.sessions.remove(&peer);
                    self.distributor.remove(&peer);
                }
            }
            Command::Install(document, row) => self.install(document, &row),
            Command::Offer(message) => self.take_message(message),
            Command::Open(agent, session, outbound) => {
                let peer = agent.to_string();
                self.sessions.insert(peer.clone(), (session, outbound));
                self.distributor.record_report(now, &peer, 0, Digest(0));
            }
            Command::Report(agent, version, digest) => {
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
        for (peer, delta) in self.distributor.take_due_sends(now, SENDS_PER_LOOK) {
            let Some((_, outbound)) = self.sessions.get(&peer) else { continue };
            let body = v1::entry_message::Body::Config(to_message(&delta));
            // A session that does not read is served again after its next report.
            let _ = outbound.try_send(Ok(v1::EntryMessage { body: Some(body) }));
        }
    }

    fn install(&mut self, document: Document, row: &TablesRow) {
        let version = document.version();
        let Ok(tables) = parse_accepted(row.routes.as_bytes(), row.pools.as_bytes()) else {
            return self.record(Event::ConfigStale, "the store's row does not pass the check");
        };
        match self.distributor.install(self.hub.clock.now(), document) {
            ApplyOutcome::Applied => {
                let texts = (row.routes.clone(), row.pools.clone());
                self.put_in_force(Some(&row.edit), texts, tables);
            }
            ApplyOutcome::FullDocumentRequired | ApplyOutcome::Stale => {
                if version < self.distributor.document().version() {
                    let text = format!("version {version} was offered");
                    self.record(Event::ConfigStale, &text);
                }
            }
        }
    }

    fn take_message(&mut self, message: v1::Config) {
        let delta = to_delta(message);
        match self.distributor.apply(self.hub.clock.now(), &delta) {
            ApplyOutcome::Applied => {}
            ApplyOutcome::FullDocumentRequired => {
                return self.record(Event::ConfigResent, "a peer's delta does not fit");
            }
            ApplyOutcome::Stale => return,
        }
        let Ok(texts) = join_rows(self.distributor.document().rows()) else {
            return self.record(Event::ConfigStale, "a peer's rows are not readable");
        };
        if let Ok(tables) = parse_accepted(texts.0.as_bytes(), texts.1.as_bytes()) {
            self.put_in_force(None, texts, tables);
        }
    }

    fn put_in_force(&mut self, edit: Option<&str>, texts: (String, String), tables: Tables) {
        let now = self.hub.clock.now();
        let document = self.distributor.document();
        let text = format!("version {}", document.version());
        self.hub.config.send_modify(|config| config.adopt(document, edit, texts, tables, now));
        self.record(Event::ConfigApplied, &text);
        self.send_due();
    }

    fn record(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, TABLES_ROW, detail);
    }
}

/// Reads and writes the store row.
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
        // The proof that all guarantees fit together may take a second.
        let (routes, pools) = (request.routes.clone(), request.pools.clone());
        let check = move || parse(routes.as_bytes(), pools.as_bytes()).map(|_| ());
        let checked = tokio::task::spawn_blocking(check)
            .await
            .map_err(|error| ApplyFailure { detail: error.to_string(), may_have_applied: false })?;
        if let Err(faults) = checked {
            self.record(Event::ConfigRejected, &format!("{} faults", faults.len()));
            return Ok(ApplyReply::Rejected { faults });
        }
        let current = self.store.get(TABLES_ROW).await.map_err(|error| fail(&error))?;
        let base = current.as_ref().and_then(|row| TablesRow::decode(&row.value).ok());
        if let Some(base) = base.as_ref().filter(|base| base.edit == request.edit_id) {
            return Ok(ApplyReply::Accepted { version: base.version });
        }
        let version = base.as_ref().map_or(0, |base| base.version);
        // A stale read would show an older version; compare-and-set then fails as well.
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
                let row = store.get(TABLES_ROW).await.map_err(|error| fail(&error))?;
                let winner = row.as_ref().and_then(|row| self.install(row));
                self.conflict(request, winner.as_ref())
            }
            Err(error) => Err(fail(&error)),
        }
    }

    fn conflict(&self, request: &ApplyRequest, winner: Option<&TablesRow>) -> ApplyResult {
        let version = winner.map_or(0, |winner| winner.version);
        self.record(Event::ConfigRejected, &format!("version {version} came first"));
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

fn fail(error: &StoreError) -> ApplyFailure {
    ApplyFailure { detail: error.to_string(), may_have_applied: error.is_ambiguous() }
}

fn to_message(delta: &Delta) -> v1::Config {
    let row = |(key, text): &(String, Arc<str>)| v1::ConfigRow {
        key: key.clone(),
        text: text.to_string(),
    };
    v1::Config {
        from: delta.from,
        to: delta.to,
        rows: delta.rows.iter().map(row).collect(),
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
