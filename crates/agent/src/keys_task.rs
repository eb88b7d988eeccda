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
    from_copy, from_fence, from_range_index, from_record, to_copy_reply, to_fence_reply,
    to_lookup_result, to_record,
};

/// Interval of the periodic work of the key table, such as sending lost messages again.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of ticks between two journal batches: one batch every 500 ms.
const TICKS_PER_JOURNAL_BATCH: u32 = 5;

/// Timeout of one call to another agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Messages to the task that owns the key records.
enum Command {
    ApplyMap(RangeMap),
    Complete(Attempt, Option<Response>, oneshot::Sender<KeyReply>),
    /// The reply of a witness to a copy.
    Copied(CopyReply),
    Copy(CopyRequest, oneshot::Sender<CopyReply>),
    Fence(FenceRequest, oneshot::Sender<FenceReply>),
    /// The reply of a witness to a fence.
    Fenced(FenceReply),
    /// Range, epoch and records of a journal that was read from the store.
    Import(usize, u64, Vec<KeyRecord>),
    /// Id of a journal batch, and whether the store has it.
    Journaled(u64, bool),
    LookedUp(Attempt, LookupResult),
    Release(Attempt, oneshot::Sender<KeyReply>),
    Reserve(ReserveRequest, oneshot::Sender<KeyReply>),
}

/// Handle to the task that owns the key records of this agent.
#[derive(Clone, Debug)]
pub struct Keys {
    commands: mpsc::Sender<Command>,
    range_notes: watch::Receiver<Vec<v1::RangeNote>>,
}

impl Keys {
    /// Starts the task for the key records of `agent`. Without a store no journal is written.
    pub fn new(
        agent: &AgentId,
        clients: Arc<AgentClients>,
        store: Option<Arc<dyn Store>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (published_notes, range_notes) = watch::channel(Vec::new());
        let task = KeysTask {
            agent: agent.clone(),
            clients,
            clock,
            commands: commands.clone(),
            next_ticket: 0,
            published_notes,
            seals: BTreeMap::new(),
            store,
            table: KeyTable::new(agent.clone(), Limits::default()),
            waiting_callers: HashMap::new(),
        };
        tokio::spawn(task.run(inbox));
        Self { commands, range_notes }
    }

    /// Applies the assignments in `map` that are newer than the current ones.
    pub async fn apply_map(&self, map: RangeMap) {
        let _ = self.commands.send(Command::ApplyMap(map)).await;
    }

    /// Requests the right to run an attempt under its key.
    pub async fn reserve(&self, request: ReserveRequest) -> Option<KeyReply> {
        self.call(|reply| Command::Reserve(request, reply)).await
    }

    /// Records the response of an attempt, or an unknown outcome if there is no response.
    pub async fn complete(&self, attempt: Attempt, response: Option<Response>) -> Option<KeyReply> {
        self.call(|reply| Command::Complete(attempt, response, reply)).await
    }

    /// Frees the key of an attempt that was not run.
    pub async fn release(&self, attempt: Attempt) -> Option<KeyReply> {
        self.call(|reply| Command::Release(attempt, reply)).await
    }

    /// Stores a copy of the records that the owner of a range sends to this agent as the witness.
    pub async fn copy(&self, copy: CopyRequest) -> Option<CopyReply> {
        self.call(|reply| Command::Copy(copy, reply)).await
    }

    /// Fences older epochs of a range and returns its records to the new owner.
    pub async fn fence(&self, fence: FenceRequest) -> Option<FenceReply> {
        self.call(|reply| Command::Fence(fence, reply)).await
    }

    /// Returns the states of the ranges of this agent, for reports.
    pub fn range_notes(&self) -> watch::Receiver<Vec<v1::RangeNote>> {
        self.range_notes.clone()
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, result) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        result.await.ok()
    }
}

struct KeysTask {
    agent: AgentId,
    clients: Arc<AgentClients>,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    next_ticket: u64,
    published_notes: watch::Sender<Vec<v1::RangeNote>>,
    /// Epochs of the ranges to be sealed and of those whose seal has expired. An entry remains
    /// until the map shows the change with a new epoch.
    seals: BTreeMap<usize, (u64, v1::range_note::State)>,
    store: Option<Arc<dyn Store>>,
    table: KeyTable,
    /// Callers that wait for a reply, by ticket.
    waiting_callers: HashMap<u64, oneshot::Sender<KeyReply>>,
}

impl KeysTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
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
                    if ticks % TICKS_PER_JOURNAL_BATCH == 0 {
                        self.write_journal_batch();
                    }
                    self.publish_range_notes();
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
            Command::Journaled(id, is_stored) => {
                if is_stored {
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
        let is_current =
            |index: &usize, epoch: u64| map.range(*index).is_some_and(|range| range.epoch == epoch);
        self.seals.retain(|index, (epoch, _)| is_current(index, *epoch));
        actions
    }

    fn issue_ticket(&mut self, reply: oneshot::Sender<KeyReply>) -> u64 {
        self.next_ticket += 1;
        self.waiting_callers.insert(self.next_ticket, reply);
        self.next_ticket
    }

    fn perform(&mut self, actions: Vec<Action>) {
        use v1::range_note::State;
        for action in actions {
            match action {
                Action::Reply { ticket, reply } => {
                    if let Some(waiter) = self.waiting_callers.remove(&ticket) {
                        let _ = waiter.send(reply);
                    }
                }
                Action::Copy { to, copy } => self.send_copy(to, copy),
                Action::Fence { to, fence } => self.send_fence(to, fence),
                Action::Lookup { target, range, key, attempt } => {
                    self.send_lookup(target, Attempt { range, key, attempt });
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
            match tokio::time::timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(reply)) => {
                    let reply = to_copy_reply(&copy, reply.into_inner());
                    let _ = commands.send(Command::Copied(reply)).await;
                }
                // The key table sends the copy again.
                Ok(Err(_)) | Err(_) => clients.remove(&to.control),
            }
        });
    }

    fn send_fence(&self, to: AgentEndpoint, fence: FenceRequest) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        tokio::spawn(async move {
            let Some(mut client) = clients.client(&to.control) else { return };
            let call = client.fence_range(from_fence(&fence));
            match tokio::time::timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(reply)) => {
                    let reply = to_fence_reply(&fence, reply.into_inner());
                    let _ = commands.send(Command::Fenced(reply)).await;
                }
                Ok(Err(_)) | Err(_) => clients.remove(&to.control),
            }
        });
    }

    fn send_lookup(&self, target: AgentEndpoint, attempt: Attempt) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        tokio::spawn(async move {
            let result = match clients.client(&target.control) {
                Some(mut client) => {
                    let call = client.lookup(v1::LookupRequest {
                        attempt: attempt.attempt.clone(),
                        incarnation: target.agent.incarnation,
                    });
                    match tokio::time::timeout(CALL_TIMEOUT, call).await {
                        Ok(Ok(reply)) => to_lookup_result(reply.into_inner()),
                        Ok(Err(_)) | Err(_) => LookupResult::NoAnswer,
                    }
                }
                None => LookupResult::NoAnswer,
            };
            let _ = commands.send(Command::LookedUp(attempt, result)).await;
        });
    }

    fn write_journal_batch(&mut self) {
        let Some(store) = self.store.clone() else { return };
        let Some(batch) = self.table.next_batch(self.clock.now()) else { return };
        let commands = self.commands.clone();
        let AgentId { name, incarnation } = &self.agent;
        let key = format!("keys/{:02}/{name}-{incarnation}-{}", batch.range, batch.id);
        tokio::spawn(async move {
            let result =
                store.put(&key, 0, encode_batch(&batch).into(), WriteClass::KeyJournal).await;
            // The key of the row is unique, so a conflict means that an earlier write of this batch
            // succeeded although its answer was lost.
            let is_stored = match result {
                Ok(_) => true,
                Err(StoreError::Conflict { .. }) => true,
                Err(_) => false,
            };
            let _ = commands.send(Command::Journaled(batch.id, is_stored)).await;
        });
    }

    fn load_journal(&self, range: usize, epoch: u64) {
        let Some(store) = self.store.clone() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            // The key table requests the journal again until it has been imported.
            let Ok(rows) = store.list(&format!("keys/{range:02}/")).await else { return };
            let records = rows.iter().flat_map(|(_, row)| decode_batch(&row.value)).collect();
            let _ = commands.send(Command::Import(range, epoch, records)).await;
        });
    }

    fn publish_range_notes(&self) {
        let note = |index: usize, epoch: u64, state: v1::range_note::State| v1::RangeNote {
            index: from_range_index(index),
            epoch,
            state: state.into(),
        };
        let serving = self.table.serving_ranges().into_iter();
        let range_notes: Vec<v1::RangeNote> = serving
            .map(|(index, epoch)| note(index, epoch, v1::range_note::State::Serving))
            .chain(self.seals.iter().map(|(index, (epoch, state))| note(*index, *epoch, *state)))
            .collect();
        self.published_notes.send_if_modified(|current| {
            let changed = *current != range_notes;
            *current = range_notes;
            changed
        });
    }
}

fn encode_batch(batch: &JournalBatch) -> Vec<u8> {
    let records = batch.records.iter().map(from_record).collect();
    v1::CopyKeysRequest { records, ..v1::CopyKeysRequest::default() }.encode_to_vec()
}

fn decode_batch(value: &[u8]) -> Vec<KeyRecord> {
    let rows = v1::CopyKeysRequest::decode(value).unwrap_or_default();
    rows.records.into_iter().map(to_record).collect()
}
