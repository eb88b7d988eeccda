use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_admin::{ApplyReply, ApplyRequest, RowDifference};
use skylarkpulley_proto::v1;
use skylarkpulley_store::{Store, StoreError, WriteClass, put_resolved};
use skylarkpulley_tables::{Tables, parse};
use skylarkpulley_telemetry::Event;
use tokio::sync::{mpsc, oneshot};

use crate::config_state::{Rows, digest};
use crate::hub::Hub;

/// Store row with both tables.
const TABLES_ROW: &str = "tables";

/// Time between two reads of the row.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Value of the store row: both tables as one unit, with the edit that wrote them.
#[derive(Debug, Deserialize, Serialize)]
struct StoredTables {
    edit_id: String,
    routes: String,
    pools: String,
}

/// Why an edit was neither accepted nor rejected.
#[derive(Debug)]
pub struct ApplyFailure {
    /// For the operator.
    pub detail: String,
    /// True when the edit may have taken effect.
    pub may_have_applied: bool,
}

enum Command {
    Apply(ApplyRequest, oneshot::Sender<Result<ApplyReply, ApplyFailure>>),
    Offer(v1::Config),
}

/// Handle to the task that keeps the configuration of this entry up to date.
#[derive(Clone, Debug)]
pub struct ConfigTask {
    commands: mpsc::Sender<Command>,
}

impl ConfigTask {
    /// Starts the task.
    pub fn new(hub: &Arc<Hub>, store: Arc<dyn Store>) -> Self {
        let (commands, inbox) = mpsc::channel(64);
        tokio::spawn(Worker { hub: Arc::clone(hub), store }.work(inbox));
        Self { commands }
    }

    /// Decides on an edit.
    ///
    /// # Errors
    /// [`ApplyFailure`] when the store gave no clear answer.
    pub async fn apply(&self, request: ApplyRequest) -> Result<ApplyReply, ApplyFailure> {
        let stopping =
            || ApplyFailure { detail: "the entry is stopping".to_owned(), may_have_applied: false };
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Apply(request, reply)).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())?
    }

    /// Takes in a message of another entry.
    pub async fn offer(&self, message: v1::Config) {
        let _ = self.commands.send(Command::Offer(message)).await;
    }
}

struct Worker {
    hub: Arc<Hub>,
    store: Arc<dyn Store>,
}

impl Worker {
    async fn work(self, mut inbox: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(POLL_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let this = Arc::new(self);
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    // An edit may wait for a slow store; reads go on meanwhile.
                    Some(Command::Apply(request, reply)) => {
                        let this = Arc::clone(&this);
                        tokio::spawn(async move { reply.send(this.apply(request).await) });
                    }
                    Some(Command::Offer(message)) => this.take_message(message),
                    None => return,
                },
                _ = tick.tick() => {
                    let this = Arc::clone(&this);
                    tokio::spawn(async move { this.poll().await });
                }
            }
        }
    }

    async fn poll(&self) {
        let Ok(Some(row)) = self.store.get(TABLES_ROW).await else { return };
        let version = self.hub.config.borrow().version();
        if row.version < version {
            let text = format!("the store answered with version {}", row.version);
            self.record(Event::ConfigStale, &text);
        }
        if row.version <= version {
            return;
        }
        let Ok(stored) = serde_json::from_slice::<StoredTables>(&row.value) else {
            return self.record(Event::ConfigStale, "the store's row is not readable");
        };
        if let Ok(tables) = parse(stored.routes.as_bytes(), stored.pools.as_bytes()) {
            self.adopt(row.version, &stored.edit_id, tables);
        }
    }

    fn adopt(&self, version: u64, edit: &str, tables: Tables) {
        let now = self.hub.clock.now();
        let rows = tables.rows();
        let adopted = self
            .hub
            .config
            .send_if_modified(|config| config.adopt(version, edit, rows, tables, now));
        if adopted {
            self.record(Event::ConfigApplied, &format!("version {version}, edit {edit}"));
        }
    }

    fn take_message(&self, message: v1::Config) {
        let (version, mut rows) = {
            let config = self.hub.config.borrow();
            (config.version(), config.rows().clone())
        };
        if message.to <= version || (message.from != 0 && message.from != version) {
            return;
        }
        if message.from == 0 {
            rows = Rows::new();
        }
        for key in &message.removed {
            rows.remove(key);
        }
        rows.extend(message.rows.into_iter().map(|row| (row.key, row.text)));
        if digest(&rows) != message.digest {
            return self.record(Event::ConfigResent, "the digest of a peer's version differs");
        }
        let pairs = rows.iter().map(|(key, text)| (key.as_str(), text.as_str()));
        if let Ok(tables) = Tables::from_rows(pairs) {
            self.adopt(message.to, "from a peer", tables);
        }
    }

    async fn apply(&self, request: ApplyRequest) -> Result<ApplyReply, ApplyFailure> {
        let tables = match parse(request.routes.as_bytes(), request.pools.as_bytes()) {
            Ok(tables) => tables,
            Err(faults) => {
                self.record(Event::ConfigRejected, &format!("{} faults", faults.len()));
                return Ok(ApplyReply::Rejected { faults });
            }
        };
        let stored = StoredTables {
            edit_id: request.edit_id.clone(),
            routes: request.routes,
            pools: request.pools,
        };
        let value = serde_json::to_vec(&stored).unwrap_or_default();
        let put = put_resolved(
            self.store.as_ref(),
            TABLES_ROW,
            request.from_version,
            value.into(),
            WriteClass::Tables,
        );
        match put.await {
            Ok(version) => {
                let text = format!("version {version}, edit {}", request.edit_id);
                self.record(Event::ConfigAccepted, &text);
                self.adopt(version, &request.edit_id, tables);
                Ok(ApplyReply::Accepted { version })
            }
            Err(StoreError::Conflict { found, .. }) => {
                self.record(Event::ConfigRejected, &format!("version {found} came first"));
                self.poll().await;
                Ok(self.conflict(found, &tables))
            }
            Err(error) => Err(ApplyFailure {
                detail: error.to_string(),
                may_have_applied: error.is_ambiguous(),
            }),
        }
    }

    fn conflict(&self, found: u64, edited: &Tables) -> ApplyReply {
        let edited = edited.rows();
        let config = self.hub.config.borrow();
        let current = config.rows();
        let keys: std::collections::BTreeSet<&String> =
            edited.keys().chain(current.keys()).collect();
        let differs = |key: &&String| edited.get(*key) != current.get(*key);
        let difference = |key: &String| RowDifference {
            row: key.clone(),
            edited: edited.get(key).cloned(),
            current: current.get(key).cloned(),
        };
        let rows = keys.into_iter().filter(differs).map(difference).collect();
        ApplyReply::Conflict { version: found.max(config.version()), rows }
    }

    fn record(&self, event: Event, detail: &str) {
        self.hub.decisions.record(self.hub.clock.now(), event, TABLES_ROW, detail);
    }
}
