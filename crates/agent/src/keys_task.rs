use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use skylarkpulley_keys::{
    Action, AgentEndpoint, Attempt, CopyReply, CopyRequest, FenceReply, FenceRequest, JournalBatch,
    KeyRecord, KeyReply, KeyTable, Limits, LookupResult, RangeMap, ReserveRequest, Response,
};
use skylarkpulley_proto::{AgentClients, v1};
use skylarkpulley_store::{Store, StoreError, WriteClass};
use skylarkpulley_types::{AgentId, Clock};
use tokio::sync::{mpsc, oneshot, watch};

use crate::key_convert::{
    from_copy, from_fence, from_range, from_record, to_copy_reply, to_fence_reply, to_lookup,
    to_record,
};

/// Time between two sweeps of the core.
const TICK: Duration = Duration::from_millis(100);

/// Sweeps between two journal batches: one batch per 500 ms.
const JOURNAL_TICKS: u32 = 5;

/// Time for one message to another agent.
const CALL_LIMIT: Duration = Duration::from_millis(400);

enum Command {
    ApplyMap(RangeMap),
    Complete(Attempt, Option<Response>, oneshot::Sender<KeyReply>),
    Copied(CopyReply),
    Copy(CopyRequest, oneshot::Sender<CopyReply>),
    Fence(FenceRequest, oneshot::Sender<FenceReply>),
    Fenced(FenceReply),
    Import(usize, u64, Vec<KeyRecord>),
    Journaled(u64, bool),
    LookedUp(Attempt, LookupResult),
    Release(Attempt, oneshot::Sender<KeyReply>),
    Reserve(ReserveRequest, oneshot::Sender<KeyReply>),
}

/// Handle to the task that owns the key records of this agent.
#[derive(Clone, Debug)]
pub struct Keys {
    commands: mpsc::Sender<Command>,
    notes: watch::Receiver<Vec<v1::RangeNote>>,
}

impl Keys {
    /// Starts the task of `agent`. Without a store nothing is journaled.
    pub fn new(
        agent: &AgentId,
        clients: Arc<AgentClients>,
        store: Option<Arc<dyn Store>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (publish, notes) = watch::channel(Vec::new());
        let task = KeysTask {
            agent: agent.clone(),
            clients,
            clock,
            commands: commands.clone(),
            next_ticket: 0,
            publish,
            seals: BTreeMap::new(),
            store,
            table: KeyTable::new(agent.clone(), Limits::default()),
            tickets: HashMap::new(),
        };
        tokio::spawn(task.work(inbox));
        Self { commands, notes }
    }

    /// Adopts a newer key range map.
    pub async fn apply_map(&self, map: RangeMap) {
        let _ = self.commands.send(Command::ApplyMap(map)).await;
    }

    /// Asks for the right to run an attempt.
    pub async fn reserve(&self, request: ReserveRequest) -> Option<KeyReply> {
        self.ask(|reply| Command::Reserve(request, reply)).await
    }

    /// Records the result of an attempt.
    pub async fn complete(&self, attempt: Attempt, response: Option<Response>) -> Option<KeyReply> {
        self.ask(|reply| Command::Complete(attempt, response, reply)).await
    }

    /// Frees the key of an attempt that was not run.
    pub async fn release(&self, attempt: Attempt) -> Option<KeyReply> {
        self.ask(|reply| Command::Release(attempt, reply)).await
    }

    /// Takes in records from the owner of a range.
    pub async fn copy(&self, copy: CopyRequest) -> Option<CopyReply> {
        self.ask(|reply| Command::Copy(copy, reply)).await
    }

    /// Hands the records of a range to its new owner.
    pub async fn fence(&self, fence: FenceRequest) -> Option<FenceReply> {
        self.ask(|reply| Command::Fence(fence, reply)).await
    }

    /// Returns what reports say about the ranges of this agent.
    pub fn notes(&self) -> watch::Receiver<Vec<v1::RangeNote>> {
        self.notes.clone()
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}

struct KeysTask {
    agent: AgentId,
    clients: Arc<AgentClients>,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    next_ticket: u64,
    publish: watch::Sender<Vec<v1::RangeNote>>,
    /// Ranges to be sealed, or whose seal has expired, until the map shows it.
    seals: BTreeMap<usize, (u64, v1::range_note::State)>,
    store: Option<Arc<dyn Store>>,
    table: KeyTable,
    tickets: HashMap<u64, oneshot::Sender<KeyReply>>,
}

impl KeysTask {
    async fn work(mut self, mut inbox: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0;
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = tick.tick() => {
                    let actions = self.table.tick(self.clock.now());
                    self.perform(actions);
                    ticks += 1;
                    if ticks % JOURNAL_TICKS == 0 {
                        self.journal();
                    }
                    self.publish_notes();
                }
            }
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        let actions = match command {
            Command::ApplyMap(map) => self.apply_map(&map),
            Command::Complete(attempt, response, reply) => {
                let ticket = self.issue_ticket(reply);
                self.table.complete(ticket, &attempt, response, now)
            }
            Command::Copied(reply) => self.table.handle_copy_reply(reply, now),
            Command::Copy(copy, reply) => {
                let (answer, actions) = self.table.handle_copy(&copy, now);
                let _ = reply.send(answer);
                actions
            }
            Command::Fence(fence, reply) => {
                let (answer, actions) = self.table.handle_fence(&fence, now);
                let _ = reply.send(answer);
                actions
            }
            Command::Fenced(reply) => self.table.handle_fence_reply(reply, now),
            Command::Import(range, epoch, records) => {
                self.table.import_journal(range, epoch, records, now)
            }
            Command::Journaled(id, stored) => {
                if stored {
                    self.table.batch_stored(id);
                } else {
                    self.table.batch_failed(id);
                }
                Vec::new()
            }
            Command::LookedUp(attempt, result) => {
                self.table.handle_lookup_result(&attempt, result, now)
            }
            Command::Release(attempt, reply) => {
                let ticket = self.issue_ticket(reply);
                self.table.release(ticket, &attempt, now)
            }
            Command::Reserve(request, reply) => {
                let ticket = self.issue_ticket(reply);
                self.table.reserve(ticket, request, now)
            }
        };
        self.perform(actions);
    }

    fn apply_map(&mut self, map: &RangeMap) -> Vec<Action> {
        let actions = self.table.apply_map(map, self.clock.now());
        let stands =
            |index: &usize, epoch: u64| map.range(*index).is_some_and(|range| range.epoch == epoch);
        self.seals.retain(|index, (epoch, _)| stands(index, *epoch));
        actions
    }

    fn issue_ticket(&mut self, reply: oneshot::Sender<KeyReply>) -> u64 {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, reply);
        self.next_ticket
    }

    fn perform(&mut self, actions: Vec<Action>) {
        use v1::range_note::State;
        for action in actions {
            match action {
                Action::Reply { ticket, reply } => {
                    if let Some(waiter) = self.tickets.remove(&ticket) {
                        let _ = waiter.send(reply);
                    }
                }
                Action::Copy { to, copy } => self.send_copy(to, copy),
                Action::Fence { to, fence } => self.send_fence(to, fence),
                Action::Lookup { target, range, key, attempt } => {
                    self.look_up(target, Attempt { range, key, attempt });
                }
                Action::LoadJournal { range, epoch } => self.load_journal(range, epoch),
                Action::Seal { range, epoch } => {
                    self.seals.insert(range, (epoch, State::Lost));
                }
                Action::SealExpired { range, epoch } => {
                    self.seals.insert(range, (epoch, State::SealExpired));
                }
            }
        }
    }

    fn send_copy(&self, to: AgentEndpoint, copy: CopyRequest) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        tokio::spawn(async move {
            let Some(mut client) = clients.client(&to.control) else { return };
            let call = client.copy_keys(from_copy(&copy));
            match tokio::time::timeout(CALL_LIMIT, call).await {
                Ok(Ok(reply)) => {
                    let reply = to_copy_reply(&copy, reply.into_inner());
                    let _ = commands.send(Command::Copied(reply)).await;
                }
                // The core sends the copy again.
                Ok(Err(_)) | Err(_) => clients.remove(&to.control),
            }
        });
    }

    fn send_fence(&self, to: AgentEndpoint, fence: FenceRequest) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        tokio::spawn(async move {
            let Some(mut client) = clients.client(&to.control) else { return };
            let call = client.fence_range(from_fence(&fence));
            match tokio::time::timeout(CALL_LIMIT, call).await {
                Ok(Ok(reply)) => {
                    let reply = to_fence_reply(&fence, reply.into_inner());
                    let _ = commands.send(Command::Fenced(reply)).await;
                }
                Ok(Err(_)) | Err(_) => clients.remove(&to.control),
            }
        });
    }

    fn look_up(&self, target: AgentEndpoint, attempt: Attempt) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        tokio::spawn(async move {
            let result = match clients.client(&target.control) {
                Some(mut client) => {
                    let call = client.lookup(v1::LookupRequest {
                        attempt: attempt.attempt.clone(),
                        incarnation: target.agent.incarnation,
                    });
                    match tokio::time::timeout(CALL_LIMIT, call).await {
                        Ok(Ok(reply)) => to_lookup(reply.into_inner()),
                        Ok(Err(_)) | Err(_) => LookupResult::NoAnswer,
                    }
                }
                None => LookupResult::NoAnswer,
            };
            let _ = commands.send(Command::LookedUp(attempt, result)).await;
        });
    }

    fn journal(&mut self) {
        let Some(store) = self.store.clone() else { return };
        let Some(batch) = self.table.next_batch(self.clock.now()) else { return };
        let commands = self.commands.clone();
        let AgentId { name, incarnation } = &self.agent;
        let key = format!("keys/{:02}/{name}-{incarnation}-{}", batch.range, batch.id);
        tokio::spawn(async move {
            let stored = store.put(&key, 0, encode(&batch).into(), WriteClass::KeyJournal).await;
            // The row's name is unique, so a conflict means that a lost answer had taken effect.
            let stored = match stored {
                Ok(_) => true,
                Err(StoreError::Conflict { .. }) => true,
                Err(_) => false,
            };
            let _ = commands.send(Command::Journaled(batch.id, stored)).await;
        });
    }

    fn load_journal(&self, range: usize, epoch: u64) {
        let Some(store) = self.store.clone() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            // The core asks again while the journal is not imported.
            let Ok(rows) = store.list(&format!("keys/{range:02}/")).await else { return };
            let records = rows.iter().flat_map(|(_, row)| decode(&row.value)).collect();
            let _ = commands.send(Command::Import(range, epoch, records)).await;
        });
    }

    fn publish_notes(&self) {
        let note = |index: usize, epoch: u64, state: v1::range_note::State| v1::RangeNote {
            index: from_range(index),
            epoch,
            state: state.into(),
        };
        let serving = self.table.serving_ranges().into_iter();
        let notes: Vec<v1::RangeNote> = serving
            .map(|(index, epoch)| note(index, epoch, v1::range_note::State::Serving))
            .chain(self.seals.iter().map(|(index, (epoch, state))| note(*index, *epoch, *state)))
            .collect();
        self.publish.send_if_modified(|current| {
            let changed = *current != notes;
            *current = notes;
            changed
        });
    }
}

fn encode(batch: &JournalBatch) -> Vec<u8> {
    let records = batch.records.iter().map(from_record).collect();
    v1::CopyKeysRequest { records, ..v1::CopyKeysRequest::default() }.encode_to_vec()
}

fn decode(value: &[u8]) -> Vec<KeyRecord> {
    let rows = v1::CopyKeysRequest::decode(value).unwrap_or_default();
    rows.records.into_iter().map(to_record).collect()
}
