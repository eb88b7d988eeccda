use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::range_state::{Phase, RangeState, Role};
use crate::records::Waiting;
use crate::{
    Action, AgentEndpoint, Attempt, CopyReply, CopyRequest, FenceReply, FenceRequest, JournalBatch,
    KeyRange, KeyRecord, KeyReply, Limits, LookupResult, RANGE_COUNT, RangeMap, RecordState,
    ReserveRequest, Response, range_of,
};

mod replication;

/// Larger responses are not kept; repeats of their keys are answered unknown. A record with the
/// largest response fits into one message.
const RESPONSE_BYTES: usize = 1 << 20;
/// Bytes of records per row of the journal.
const BATCH_BYTES: usize = 256 << 10;
/// Unanswered lookups after which an attempt is declared unknown.
const LOOKUP_TRIES: u32 = 3;
/// Agents that are cut off may serve the old assignment until they see the new one. Regions lose
/// contact for up to an hour, so that a seal outlasts the retention by this time.
const SEAL_MARGIN: Duration = Duration::from_secs(3600);

/// Key records of one agent: owner of some ranges, witness of others.
///
/// A table lives as long as its agent's incarnation. A restarted agent has a new incarnation, which
/// no map names, and so it owns nothing until it is assigned a range again.
#[derive(Clone, Debug)]
pub struct KeyTable {
    agent: AgentId,
    limits: Limits,
    ranges: Vec<RangeState>,
    batches: BTreeMap<u64, (usize, Vec<String>)>,
    last_batch: u64,
    sweep: usize,
}

impl KeyTable {
    /// Returns the empty table of `agent`.
    pub fn new(agent: AgentId, limits: Limits) -> Self {
        let ranges = vec![RangeState::default(); RANGE_COUNT];
        Self { agent, limits, ranges, batches: BTreeMap::new(), last_batch: 0, sweep: 0 }
    }

    /// Adopts the assignments in `map` that are newer than those in force.
    pub fn apply_map(&mut self, map: &RangeMap, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, range) in map.ranges.iter().enumerate().take(RANGE_COUNT) {
            if range.epoch > self.ranges[index].epoch {
                self.enter_mapped(index, range, now, &mut actions);
            }
        }
        actions
    }

    /// Handles a request for the right to run an attempt. The reply carries `ticket` and comes at
    /// once or when the witness has confirmed the record.
    pub fn reserve(&mut self, ticket: u64, request: ReserveRequest, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(reply) = self.try_reserve(ticket, &request) else {
            self.propose(ticket, request, now, &mut actions);
            return actions;
        };
        if let Some(reply) = reply {
            actions.push(Action::Reply { ticket, reply });
        }
        actions
    }

    /// Records the outcome of an attempt: its response, or `None` when it is unknown. The reply
    /// comes when the witness has confirmed the record.
    pub fn complete(
        &mut self,
        ticket: u64,
        attempt: &Attempt,
        response: Option<Response>,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(reply) = self.check_held(attempt) {
            return vec![Action::Reply { ticket, reply }];
        }
        self.settle(attempt, response.map(Arc::new), now);
        let state = &mut self.ranges[attempt.range];
        if let Some(entry) = state.records.get_mut(&attempt.key) {
            if entry.acked {
                actions.push(Action::Reply { ticket, reply: KeyReply::Completed });
            } else {
                entry.waiting.push(Waiting::Complete(ticket));
            }
        }
        self.pump(attempt.range, now, &mut actions);
        actions
    }

    /// Frees the key of an attempt that was proved not to have run.
    pub fn release(&mut self, ticket: u64, attempt: &Attempt, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let reply = match self.check_held(attempt) {
            Some(reply) => reply,
            None if self.free(attempt, &mut actions) => KeyReply::Released,
            None => KeyReply::NotHeld,
        };
        actions.push(Action::Reply { ticket, reply });
        self.pump(attempt.range, now, &mut actions);
        actions
    }

    /// Handles records from a range's owner.
    pub fn handle_copy(&mut self, copy: &CopyRequest, now: Instant) -> (CopyReply, Vec<Action>) {
        let mut actions = Vec::new();
        let accepted = copy.range < RANGE_COUNT && self.accept_copy(copy, now, &mut actions);
        let witness_epoch = self.ranges.get(copy.range).map_or(0, |state| state.epoch);
        let CopyRequest { range, epoch, sequence, .. } = *copy;
        (CopyReply { range, epoch, sequence, accepted, witness_epoch }, actions)
    }

    /// Handles the witness's answer to a copy.
    pub fn handle_copy_reply(&mut self, reply: CopyReply, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(reply.range) else { return actions };
        let current = state.role == Role::Owner && state.epoch == reply.epoch;
        if !current || state.flight.as_ref().map(|f| f.copy.sequence) != Some(reply.sequence) {
            return actions;
        }
        if reply.accepted {
            self.acknowledge(reply.range, &mut actions);
        } else if reply.witness_epoch > reply.epoch {
            self.depose(reply.range, &mut actions);
        } else {
            state.flight = None;
            state.phase = Phase::Syncing { after: None, started: false };
        }
        self.pump(reply.range, now, &mut actions);
        actions
    }

    /// Handles a new owner's request for the records of a range.
    pub fn handle_fence(
        &mut self,
        fence: &FenceRequest,
        now: Instant,
    ) -> (FenceReply, Vec<Action>) {
        let mut actions = Vec::new();
        if let Some(state) = self.ranges.get(fence.range)
            && fence.epoch > state.epoch
        {
            self.enter(fence.range, (fence.epoch, false), Role::Witness, None, now, &mut actions);
        }
        (self.fence_page(fence, now), actions)
    }

    /// Handles the witness's answer to a fence.
    pub fn handle_fence_reply(&mut self, reply: FenceReply, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(reply.range) else { return actions };
        let Phase::Fencing { after, .. } = &state.phase else { return actions };
        if state.epoch != reply.epoch || *after != reply.after {
            return actions;
        }
        if reply.witness_epoch > reply.epoch {
            self.depose(reply.range, &mut actions);
        } else if reply.complete {
            self.take_page(reply, now, &mut actions);
        } else {
            self.load(reply.range, now, &mut actions);
        }
        actions
    }

    /// Handles the answer to [`Action::Lookup`].
    pub fn handle_lookup_result(
        &mut self,
        attempt: &Attempt,
        result: LookupResult,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(attempt.range) else { return actions };
        if state.role != Role::Owner || state.phase != Phase::Serving {
            return actions;
        }
        let Some(entry) = state.records.get_mut(&attempt.key) else { return actions };
        if entry.record.state != RecordState::Granted || entry.record.attempt != attempt.attempt {
            return actions;
        }
        let forgotten = entry.age(now) >= self.limits.attempt_retention;
        match result {
            LookupResult::NotRun if forgotten => self.settle(attempt, None, now),
            LookupResult::Running => entry.lookups = 0,
            LookupResult::NoAnswer if entry.lookups < LOOKUP_TRIES => {}
            LookupResult::NoAnswer | LookupResult::Unknown => self.settle(attempt, None, now),
            LookupResult::Answered(response) => self.settle(attempt, Some(response), now),
            LookupResult::NotRun => {
                self.free(attempt, &mut actions);
            }
        }
        self.pump(attempt.range, now, &mut actions);
        actions
    }

    /// Hands over the journal of a range whose records are lost. From here on the range answers
    /// from these records, and unknown for every other key until the seal ends.
    pub fn import_journal(
        &mut self,
        range: usize,
        epoch: u64,
        records: Vec<KeyRecord>,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(range) else { return actions };
        if state.epoch != epoch || !matches!(state.phase, Phase::Loading { .. }) {
            return actions;
        }
        for record in records {
            let retained = record.state.is_finished() && record.age < self.limits.retention;
            let answered = state
                .records
                .get(&record.key)
                .is_some_and(|entry| matches!(entry.record.state, RecordState::Answered(_)));
            if retained && !answered {
                state.records.put(record, now);
            }
        }
        state.complete = true;
        state.seal = Some((Duration::ZERO, now));
        state.index(false);
        state.phase = Phase::Syncing { after: None, started: false };
        self.pump(range, now, &mut actions);
        actions
    }

    /// Sends lost messages again, asks for attempts past their deadline and drops records past
    /// their retention. Call it at least every 250 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        // One range per call keeps a tick short; a full sweep takes 16 s at 250 ms.
        self.sweep = (self.sweep + 1) % RANGE_COUNT;
        self.expire(self.sweep, now);
        for index in 0..RANGE_COUNT {
            self.resend(index, now, &mut actions);
            if self.serves(index) {
                self.check_open(index, now, &mut actions);
                self.check_seal(index, now, &mut actions);
            }
            self.pump(index, now, &mut actions);
        }
        actions
    }

    /// Returns the next batch of finished records for the journal, or `None` when all are stored.
    /// Call it every 500 ms and report the result with `batch_stored` or `batch_failed`.
    pub fn next_batch(&mut self, now: Instant) -> Option<JournalBatch> {
        let serving = (0..RANGE_COUNT).filter(|index| self.serves(*index));
        let range = serving.max_by_key(|index| self.ranges[*index].unjournaled.len())?;
        let state = &mut self.ranges[range];
        let (mut keys, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for key in &state.unjournaled {
            let Some(entry) = state.records.get(key).filter(|entry| entry.acked) else { continue };
            if bytes >= BATCH_BYTES {
                break;
            }
            bytes += entry.record.size();
            records.push(entry.export(now));
            keys.push(key.clone());
        }
        state.unjournaled.retain(|key| keys.binary_search(key).is_err());
        if records.is_empty() {
            return None;
        }
        self.last_batch += 1;
        self.batches.insert(self.last_batch, (range, keys));
        Some(JournalBatch { id: self.last_batch, range, records })
    }

    /// Notes that the store holds batch `id`.
    pub fn batch_stored(&mut self, id: u64) {
        self.batches.remove(&id);
    }

    /// Notes that batch `id` was not stored; its records go into a later batch.
    pub fn batch_failed(&mut self, id: u64) {
        let Some((range, keys)) = self.batches.remove(&id) else { return };
        let state = &mut self.ranges[range];
        let finished = |key: &String| {
            state.records.get(key).is_some_and(|entry| entry.record.state.is_finished())
        };
        let keys: Vec<String> = keys.into_iter().filter(finished).collect();
        if state.role == Role::Owner {
            state.unjournaled.extend(keys);
        }
    }

    /// Returns the ranges that this agent serves as owner, with their epochs.
    pub fn serving_ranges(&self) -> Vec<(usize, u64)> {
        let serving = (0..RANGE_COUNT).filter(|index| self.serves(*index));
        serving.map(|index| (index, self.ranges[index].epoch)).collect()
    }

    /// Returns the record of `key` as this agent holds it, as owner or as witness.
    pub fn find(&self, key: &str, now: Instant) -> Option<KeyRecord> {
        self.ranges[range_of(key)].records.get(key).map(|entry| entry.export(now))
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.ranges.iter().map(|state| state.records.len()).sum()
    }

    /// Reports whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes that the records are accounted with.
    pub fn bytes(&self) -> usize {
        self.ranges.iter().map(|state| state.records.bytes()).sum()
    }

    fn serves(&self, index: usize) -> bool {
        let state = &self.ranges[index];
        state.role == Role::Owner && state.phase == Phase::Serving
    }

    fn enter_mapped(
        &mut self,
        index: usize,
        range: &KeyRange,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (role, peer) = if range.owned_by(&self.agent) {
            (Role::Owner, range.witness.clone())
        } else if range.witnessed_by(&self.agent) {
            (Role::Witness, range.owner.clone())
        } else {
            (Role::None, None)
        };
        let reset = range.reset_epoch == range.epoch;
        self.enter(index, (range.epoch, reset), role, peer, now, actions);
    }

    /// Takes over `role` at a higher epoch. What is held stays usable only when this agent was
    /// owner or witness in the epoch just before: no key can then have been granted without it.
    fn enter(
        &mut self,
        index: usize,
        (epoch, reset): (u64, bool),
        role: Role,
        peer: Option<AgentEndpoint>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.depose(index, actions);
        let state = &mut self.ranges[index];
        let was_owner = state.role == Role::Owner;
        let continuous = state.role != Role::None && epoch == state.epoch + 1;
        if !(state.complete && continuous) || role == Role::None {
            state.clear_records();
            state.seal = None;
        }
        if reset {
            state.seal = None;
            state.complete = role != Role::None;
        }
        (state.epoch, state.role, state.peer) = (epoch, role, peer);
        (state.sequence, state.staging) = (0, None);
        if role != Role::Owner {
            state.unjournaled.clear();
        }
        state.index(role == Role::Owner && !was_owner);
        if role == Role::Owner {
            self.start(index, now, actions);
        }
    }

    /// Starts an owner on the way to serving its range.
    fn start(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let Some(to) = state.peer.clone() else { return };
        if state.complete {
            state.phase = Phase::Syncing { after: None, started: false };
            return self.pump(index, now, actions);
        }
        state.phase = Phase::Fencing { after: None, sent: now };
        let fence = FenceRequest { range: index, epoch: state.epoch, after: None };
        actions.push(Action::Fence { to, fence });
    }

    /// Stops serving; requests that wait for the witness are refused.
    fn depose(&mut self, index: usize, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        (state.phase, state.flight) = (Phase::Idle, None);
        let epoch = state.epoch;
        for waiting in state.take_waiting() {
            let (Waiting::Grant(ticket) | Waiting::Complete(ticket)) = waiting;
            actions.push(Action::Reply { ticket, reply: KeyReply::NotOwner { epoch } });
        }
    }

    /// Returns `None` when the key is free, otherwise the reply, if it is known already.
    fn try_reserve(&mut self, ticket: u64, request: &ReserveRequest) -> Option<Option<KeyReply>> {
        let index = request.range;
        let epoch = self.ranges.get(index).map_or(0, |state| state.epoch);
        if index != range_of(&request.key) || !self.serves(index) || request.epoch > epoch {
            return Some(Some(KeyReply::NotOwner { epoch }));
        }
        let state = &mut self.ranges[index];
        let Some(entry) = state.records.get_mut(&request.key) else {
            if state.seal.is_some() {
                return Some(Some(KeyReply::Unknown));
            }
            // `dirty` also holds freed keys that an unreachable witness does not know of yet.
            let full = state.records.len() >= self.limits.records_per_range
                || state.dirty.len() >= self.limits.records_per_range
                || state.records.bytes() >= self.limits.bytes_per_range;
            return full.then_some(Some(KeyReply::Full));
        };
        let record = &entry.record;
        let same = record.attempt == request.attempt && record.target == request.target;
        Some(match &record.state {
            _ if record.digest != request.digest => Some(KeyReply::Mismatch),
            RecordState::Granted if same && entry.acked => Some(KeyReply::Granted),
            RecordState::Granted if same => {
                entry.waiting.push(Waiting::Grant(ticket));
                None
            }
            // Until the witness holds an outcome, a takeover could settle the key differently.
            _ if !entry.acked => Some(KeyReply::InProgress),
            RecordState::Answered(response) => Some(KeyReply::Answered(response.clone())),
            RecordState::Unknown => Some(KeyReply::Unknown),
            RecordState::Granted | RecordState::Released => Some(KeyReply::InProgress),
        })
    }

    fn propose(
        &mut self,
        ticket: u64,
        request: ReserveRequest,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let ReserveRequest { range, key, attempt, digest, target, budget, .. } = request;
        let (state, age) = (RecordState::Granted, Duration::ZERO);
        let record = KeyRecord { key: key.clone(), attempt, digest, state, target, age, budget };
        let state = &mut self.ranges[range];
        state.records.put(record, now);
        if let Some(entry) = state.records.get_mut(&key) {
            entry.proposed = true;
            entry.waiting.push(Waiting::Grant(ticket));
        }
        state.open.insert(key.clone());
        state.dirty.insert(key);
        self.pump(range, now, actions);
    }

    /// Returns the reply that refuses to change the key on behalf of `attempt`, if any.
    fn check_held(&self, attempt: &Attempt) -> Option<KeyReply> {
        let Some(state) = self.ranges.get(attempt.range) else {
            return Some(KeyReply::NotOwner { epoch: 0 });
        };
        let ready = matches!(state.phase, Phase::Syncing { .. } | Phase::Serving);
        if state.role != Role::Owner || !ready {
            return Some(KeyReply::NotOwner { epoch: state.epoch });
        }
        let holds =
            |key: &str| state.records.get(key)?.record.attempt.eq(&attempt.attempt).then_some(());
        holds(&attempt.key).is_none().then_some(KeyReply::NotHeld)
    }

    /// Records an outcome unless a response is recorded already. An unknown outcome may still be
    /// replaced by the response.
    fn settle(&mut self, attempt: &Attempt, response: Option<Arc<Response>>, now: Instant) {
        let state = &mut self.ranges[attempt.range];
        let Some(entry) = state.records.get(&attempt.key) else { return };
        let next = match response.filter(|response| response.size() <= RESPONSE_BYTES) {
            Some(response) => RecordState::Answered(response),
            None => RecordState::Unknown,
        };
        let better = match &entry.record.state {
            RecordState::Granted => true,
            RecordState::Unknown => next != RecordState::Unknown,
            RecordState::Answered(_) | RecordState::Released => false,
        };
        if !better {
            return;
        }
        state.records.set_state(&attempt.key, next, now);
        state.open.remove(&attempt.key);
        state.unjournaled.insert(attempt.key.clone());
        state.dirty.insert(attempt.key.clone());
    }

    /// Frees the key unless a response is recorded.
    fn free(&mut self, attempt: &Attempt, actions: &mut Vec<Action>) -> bool {
        let state = &mut self.ranges[attempt.range];
        let entry = state.records.get(&attempt.key);
        if entry.is_none_or(|entry| matches!(entry.record.state, RecordState::Answered(_))) {
            return false;
        }
        self.drop_record(attempt.range, &attempt.key, actions);
        true
    }

    fn drop_record(&mut self, index: usize, key: &str, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let epoch = state.epoch;
        let waiting = state.records.remove(key).map(|entry| entry.waiting).unwrap_or_default();
        for Waiting::Grant(ticket) | Waiting::Complete(ticket) in waiting {
            actions.push(Action::Reply { ticket, reply: KeyReply::NotOwner { epoch } });
        }
        state.open.remove(key);
        state.unjournaled.remove(key);
        state.dirty.insert(key.to_owned());
    }

    fn check_seal(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        if state.seal_age(now).is_some_and(|age| age >= self.limits.retention + SEAL_MARGIN) {
            state.seal = None;
            actions.push(Action::SealExpired { range: index, epoch: state.epoch });
        }
    }

    fn expire(&mut self, index: usize, now: Instant) {
        if !self.serves(index) {
            return;
        }
        let state = &self.ranges[index];
        let old = state.records.iter().filter(|entry| {
            entry.record.state.is_finished() && entry.age(now) >= self.limits.retention
        });
        let old: Vec<String> = old.map(|entry| entry.record.key.clone()).collect();
        for key in old {
            self.drop_record(index, &key, &mut Vec::new());
        }
    }
}
