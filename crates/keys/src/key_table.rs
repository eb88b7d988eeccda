use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::range_state::{Phase, RangeState, Role};
use crate::records::Waiter;
use crate::{
    Action, AgentEndpoint, Attempt, CopyReply, CopyRequest, FenceReply, FenceRequest, JournalBatch,
    KeyRange, KeyRecord, KeyReply, Limits, LookupResult, RANGE_COUNT, RangeMap, RecordState,
    ReserveRequest, Response, range_of,
};

mod replication;

/// Maximum size of a recorded response. A larger one is not recorded, and repeats of its key are
/// answered as unknown. A record with a response of this size fits into one message.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Size of the records in a row of the journal at which no further record is added.
const JOURNAL_BATCH_BYTES: usize = 256 << 10;
/// Number of unanswered lookups after which the outcome of an attempt is recorded as unknown.
const MAX_UNANSWERED_LOOKUPS: u32 = 3;
/// Time by which a seal outlasts the retention. A partitioned agent may serve its old assignment
/// until it receives the new one, and partitions between regions last up to an hour.
const SEAL_MARGIN: Duration = Duration::from_secs(3600);

/// Key records of one agent, which is the owner of some ranges and the witness of others.
///
/// A table exists for one incarnation of its agent. A restarted agent has a new incarnation, which
/// no map names, so that it owns nothing until a range is assigned to it again.
#[derive(Clone, Debug)]
pub struct KeyTable {
    agent: AgentId,
    limits: Limits,
    ranges: Vec<RangeState>,
    /// Journal batches whose result is not reported yet: range and keys by batch id.
    batches: BTreeMap<u64, (usize, Vec<String>)>,
    /// Id of the last journal batch.
    last_batch: u64,
    /// Range whose expired records the last tick removed.
    expiry_cursor: usize,
}

impl KeyTable {
    /// Returns the empty table of `agent`.
    pub fn new(agent: AgentId, limits: Limits) -> Self {
        let ranges = vec![RangeState::default(); RANGE_COUNT];
        Self { agent, limits, ranges, batches: BTreeMap::new(), last_batch: 0, expiry_cursor: 0 }
    }

    /// Applies the assignments in `map` whose epoch is higher than the current one.
    pub fn apply_map(&mut self, map: &RangeMap, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, range) in map.ranges.iter().enumerate().take(RANGE_COUNT) {
            if range.epoch > self.ranges[index].epoch {
                self.apply_assignment(index, range, now, &mut actions);
            }
        }
        actions
    }

    /// Handles a request to reserve a key for an attempt. The reply carries `ticket`; it is among
    /// the returned actions or follows when the witness has confirmed the record.
    pub fn reserve(&mut self, ticket: u64, request: ReserveRequest, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(reply) = self.check_reservation(ticket, &request) else {
            self.insert_reservation(ticket, request, now, &mut actions);
            return actions;
        };
        if let Some(reply) = reply {
            actions.push(Action::Reply { ticket, reply });
        }
        actions
    }

    /// Records the outcome of an attempt: its response, or `None` when it is unknown. The reply
    /// follows when the witness has confirmed the record.
    pub fn complete(
        &mut self,
        ticket: u64,
        attempt: &Attempt,
        response: Option<Response>,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(reply) = self.reservation_error(attempt) {
            return vec![Action::Reply { ticket, reply }];
        }
        self.record_outcome(attempt, response.map(Arc::new), now);
        let state = &mut self.ranges[attempt.range];
        if let Some(tracked) = state.records.get_mut(&attempt.key) {
            if tracked.acked {
                actions.push(Action::Reply { ticket, reply: KeyReply::Completed });
            } else {
                tracked.waiters.push(Waiter::Complete(ticket));
            }
        }
        self.send_next_copy(attempt.range, now, &mut actions);
        actions
    }

    /// Frees the key of an attempt that was proved not to have run.
    pub fn release(&mut self, ticket: u64, attempt: &Attempt, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let reply = match self.reservation_error(attempt) {
            Some(reply) => reply,
            None if self.free_key(attempt, &mut actions) => KeyReply::Released,
            None => KeyReply::NotReserved,
        };
        actions.push(Action::Reply { ticket, reply });
        self.send_next_copy(attempt.range, now, &mut actions);
        actions
    }

    /// Handles records that the owner of a range copies to this witness.
    pub fn handle_copy(&mut self, copy: &CopyRequest, now: Instant) -> (CopyReply, Vec<Action>) {
        let mut actions = Vec::new();
        let accepted = copy.range < RANGE_COUNT && self.apply_copy(copy, now, &mut actions);
        let witness_epoch = self.ranges.get(copy.range).map_or(0, |state| state.epoch);
        let CopyRequest { range, epoch, sequence, .. } = *copy;
        (CopyReply { range, epoch, sequence, accepted, witness_epoch }, actions)
    }

    /// Handles the reply of the witness to a copy.
    pub fn handle_copy_reply(&mut self, reply: CopyReply, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(reply.range) else { return actions };
        let owns_epoch = state.role == Role::Owner && state.epoch == reply.epoch;
        if !owns_epoch
            || state.pending_copy.as_ref().map(|pending| pending.copy.sequence)
                != Some(reply.sequence)
        {
            return actions;
        }
        if reply.accepted {
            self.apply_copy_ack(reply.range, &mut actions);
        } else if reply.witness_epoch > reply.epoch {
            self.stop_serving(reply.range, &mut actions);
        } else {
            state.pending_copy = None;
            state.phase = Phase::Syncing { after: None, started: false };
        }
        self.send_next_copy(reply.range, now, &mut actions);
        actions
    }

    /// Handles the request of a new owner to refuse older epochs and return the records of a range.
    pub fn handle_fence(
        &mut self,
        fence: &FenceRequest,
        now: Instant,
    ) -> (FenceReply, Vec<Action>) {
        let mut actions = Vec::new();
        if let Some(state) = self.ranges.get(fence.range)
            && fence.epoch > state.epoch
        {
            self.change_role(
                fence.range,
                (fence.epoch, false),
                Role::Witness,
                None,
                now,
                &mut actions,
            );
        }
        (self.build_fence_reply(fence, now), actions)
    }

    /// Handles the reply of the witness to a fence request.
    pub fn handle_fence_reply(&mut self, reply: FenceReply, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(state) = self.ranges.get_mut(reply.range) else { return actions };
        let Phase::Fencing { after, .. } = &state.phase else { return actions };
        if state.epoch != reply.epoch || *after != reply.after {
            return actions;
        }
        if reply.witness_epoch > reply.epoch {
            self.stop_serving(reply.range, &mut actions);
        } else if reply.complete {
            self.apply_fence_page(reply, now, &mut actions);
        } else {
            self.request_journal(reply.range, now, &mut actions);
        }
        actions
    }

    /// Handles the result of [`Action::Lookup`].
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
        let Some(tracked) = state.records.get_mut(&attempt.key) else { return actions };
        if tracked.record.state != RecordState::Granted || tracked.record.attempt != attempt.attempt
        {
            return actions;
        }
        let may_be_forgotten = tracked.age(now) >= self.limits.attempt_retention;
        match result {
            LookupResult::NotRun if may_be_forgotten => self.record_outcome(attempt, None, now),
            LookupResult::Running => tracked.unanswered_lookups = 0,
            LookupResult::NoAnswer if tracked.unanswered_lookups < MAX_UNANSWERED_LOOKUPS => {}
            LookupResult::NoAnswer | LookupResult::Unknown => {
                self.record_outcome(attempt, None, now)
            }
            LookupResult::Answered(response) => self.record_outcome(attempt, Some(response), now),
            LookupResult::NotRun => {
                self.free_key(attempt, &mut actions);
            }
        }
        self.send_next_copy(attempt.range, now, &mut actions);
        actions
    }

    /// Imports the journal of a range whose records are lost. From then on the range answers from
    /// these records, and answers unknown for every other key until the seal ends.
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
                .is_some_and(|tracked| matches!(tracked.record.state, RecordState::Answered(_)));
            if retained && !answered {
                state.records.put(record, now);
            }
        }
        state.complete = true;
        state.seal = Some((Duration::ZERO, now));
        state.rebuild_key_sets(false);
        state.phase = Phase::Syncing { after: None, started: false };
        self.send_next_copy(range, now, &mut actions);
        actions
    }

    /// Sends unanswered messages again, looks up attempts past their deadline and removes records
    /// past their retention. Call it at least every 250 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        // Expiring one range per call keeps a tick short; all 64 ranges take 16 s at 250 ms.
        self.expiry_cursor = (self.expiry_cursor + 1) % RANGE_COUNT;
        self.expire_records(self.expiry_cursor, now);
        for index in 0..RANGE_COUNT {
            self.resend_unanswered(index, now, &mut actions);
            if self.is_serving(index) {
                self.check_overdue_attempts(index, now, &mut actions);
                self.expire_seal(index, now, &mut actions);
            }
            self.send_next_copy(index, now, &mut actions);
        }
        actions
    }

    /// Returns the next batch of finished records for the journal, or `None` when no records wait
    /// for the journal or, in the range with the most, the witness has confirmed none of them. Call
    /// it every 500 ms and report the result with `batch_stored` or `batch_failed`.
    pub fn next_batch(&mut self, now: Instant) -> Option<JournalBatch> {
        let serving = (0..RANGE_COUNT).filter(|index| self.is_serving(*index));
        let range = serving.max_by_key(|index| self.ranges[*index].unjournaled.len())?;
        let state = &mut self.ranges[range];
        let (mut keys, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for key in &state.unjournaled {
            let Some(tracked) = state.records.get(key).filter(|tracked| tracked.acked) else {
                continue;
            };
            if bytes >= JOURNAL_BATCH_BYTES {
                break;
            }
            bytes += tracked.record.size();
            records.push(tracked.with_age_at(now));
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

    /// Reports that the store has written batch `id`.
    pub fn batch_stored(&mut self, id: u64) {
        self.batches.remove(&id);
    }

    /// Reports that batch `id` was not stored; its records are added to a later batch.
    pub fn batch_failed(&mut self, id: u64) {
        let Some((range, keys)) = self.batches.remove(&id) else { return };
        let state = &mut self.ranges[range];
        let is_finished = |key: &String| {
            state.records.get(key).is_some_and(|tracked| tracked.record.state.is_finished())
        };
        let keys: Vec<String> = keys.into_iter().filter(is_finished).collect();
        if state.role == Role::Owner {
            state.unjournaled.extend(keys);
        }
    }

    /// Returns the ranges that this agent serves as owner, with their epochs.
    pub fn serving_ranges(&self) -> Vec<(usize, u64)> {
        let serving = (0..RANGE_COUNT).filter(|index| self.is_serving(*index));
        serving.map(|index| (index, self.ranges[index].epoch)).collect()
    }

    /// Returns the record of `key` that this agent has as owner or witness.
    pub fn find(&self, key: &str, now: Instant) -> Option<KeyRecord> {
        self.ranges[range_of(key)].records.get(key).map(|tracked| tracked.with_age_at(now))
    }

    /// Returns the number of records in all ranges.
    pub fn len(&self) -> usize {
        self.ranges.iter().map(|state| state.records.len()).sum()
    }

    /// Reports whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the estimated memory of all records in bytes.
    pub fn bytes(&self) -> usize {
        self.ranges.iter().map(|state| state.records.bytes()).sum()
    }

    fn is_serving(&self, index: usize) -> bool {
        let state = &self.ranges[index];
        state.role == Role::Owner && state.phase == Phase::Serving
    }

    fn apply_assignment(
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
        self.change_role(index, (range.epoch, reset), role, peer, now, actions);
    }

    /// Switches to `role` at a higher epoch. The records of this agent remain valid only when it
    /// was owner or witness in the epoch just before, because then no key can have been granted
    /// without it.
    fn change_role(
        &mut self,
        index: usize,
        (epoch, reset): (u64, bool),
        role: Role,
        peer: Option<AgentEndpoint>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.stop_serving(index, actions);
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
        state.rebuild_key_sets(role == Role::Owner && !was_owner);
        if role == Role::Owner {
            self.start_owner(index, now, actions);
        }
    }

    /// Starts serving as owner: sends the snapshot to the witness when this agent has all records,
    /// and fetches them from the witness otherwise.
    fn start_owner(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let Some(to) = state.peer.clone() else { return };
        if state.complete {
            state.phase = Phase::Syncing { after: None, started: false };
            return self.send_next_copy(index, now, actions);
        }
        state.phase = Phase::Fencing { after: None, sent: now };
        let fence = FenceRequest { range: index, epoch: state.epoch, after: None };
        actions.push(Action::Fence { to, fence });
    }

    /// Stops serving the range and refuses the requests that wait for the witness.
    fn stop_serving(&mut self, index: usize, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        (state.phase, state.pending_copy) = (Phase::Idle, None);
        let epoch = state.epoch;
        for waiter in state.take_waiters() {
            let (Waiter::Grant(ticket) | Waiter::Complete(ticket)) = waiter;
            actions.push(Action::Reply { ticket, reply: KeyReply::NotOwner { epoch } });
        }
    }

    /// Returns `None` when the key can be reserved. Otherwise returns the reply, or `Some(None)`
    /// when the reply follows once the witness has confirmed the record.
    fn check_reservation(
        &mut self,
        ticket: u64,
        request: &ReserveRequest,
    ) -> Option<Option<KeyReply>> {
        let index = request.range;
        let epoch = self.ranges.get(index).map_or(0, |state| state.epoch);
        if index != range_of(&request.key) || !self.is_serving(index) || request.epoch > epoch {
            return Some(Some(KeyReply::NotOwner { epoch }));
        }
        let state = &mut self.ranges[index];
        let Some(tracked) = state.records.get_mut(&request.key) else {
            if state.seal.is_some() {
                return Some(Some(KeyReply::Unknown));
            }
            // `dirty` also contains freed keys that were not copied to an unreachable witness yet.
            let full = state.records.len() >= self.limits.range_records
                || state.dirty.len() >= self.limits.range_records
                || state.records.bytes() >= self.limits.range_bytes;
            return full.then_some(Some(KeyReply::Full));
        };
        let record = &tracked.record;
        let same_attempt = record.attempt == request.attempt && record.target == request.target;
        Some(match &record.state {
            _ if record.digest != request.digest => Some(KeyReply::Mismatch),
            RecordState::Granted if same_attempt && tracked.acked => Some(KeyReply::Granted),
            RecordState::Granted if same_attempt => {
                tracked.waiters.push(Waiter::Grant(ticket));
                None
            }
            // Until the witness has the outcome, a new owner could record a different one.
            _ if !tracked.acked => Some(KeyReply::InProgress),
            RecordState::Answered(response) => Some(KeyReply::Answered(response.clone())),
            RecordState::Unknown => Some(KeyReply::Unknown),
            RecordState::Granted | RecordState::Released => Some(KeyReply::InProgress),
        })
    }

    fn insert_reservation(
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
        if let Some(tracked) = state.records.get_mut(&key) {
            tracked.never_granted = true;
            tracked.waiters.push(Waiter::Grant(ticket));
        }
        state.in_progress.insert(key.clone());
        state.dirty.insert(key);
        self.send_next_copy(range, now, actions);
    }

    /// Returns the reply that refuses `attempt` a change of its key, or `None` when this agent is a
    /// ready owner and the key is reserved for `attempt`.
    fn reservation_error(&self, attempt: &Attempt) -> Option<KeyReply> {
        let Some(state) = self.ranges.get(attempt.range) else {
            return Some(KeyReply::NotOwner { epoch: 0 });
        };
        let ready = matches!(state.phase, Phase::Syncing { .. } | Phase::Serving);
        if state.role != Role::Owner || !ready {
            return Some(KeyReply::NotOwner { epoch: state.epoch });
        }
        let reserved =
            |key: &str| state.records.get(key)?.record.attempt.eq(&attempt.attempt).then_some(());
        reserved(&attempt.key).is_none().then_some(KeyReply::NotReserved)
    }

    /// Records an outcome unless a response is already recorded. A response replaces an unknown
    /// outcome.
    fn record_outcome(&mut self, attempt: &Attempt, response: Option<Arc<Response>>, now: Instant) {
        let state = &mut self.ranges[attempt.range];
        let Some(tracked) = state.records.get(&attempt.key) else { return };
        let new_state = match response.filter(|response| response.size() <= MAX_RESPONSE_BYTES) {
            Some(response) => RecordState::Answered(response),
            None => RecordState::Unknown,
        };
        let replaces = match &tracked.record.state {
            RecordState::Granted => true,
            RecordState::Unknown => new_state != RecordState::Unknown,
            RecordState::Answered(_) | RecordState::Released => false,
        };
        if !replaces {
            return;
        }
        state.records.set_state(&attempt.key, new_state, now);
        state.in_progress.remove(&attempt.key);
        state.unjournaled.insert(attempt.key.clone());
        state.dirty.insert(attempt.key.clone());
    }

    /// Frees the key unless a response is recorded, and reports whether it was freed.
    fn free_key(&mut self, attempt: &Attempt, actions: &mut Vec<Action>) -> bool {
        let state = &mut self.ranges[attempt.range];
        let tracked = state.records.get(&attempt.key);
        if tracked.is_none_or(|tracked| matches!(tracked.record.state, RecordState::Answered(_))) {
            return false;
        }
        self.remove_record(attempt.range, &attempt.key, actions);
        true
    }

    fn remove_record(&mut self, index: usize, key: &str, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let epoch = state.epoch;
        let waiters = state.records.remove(key).map(|tracked| tracked.waiters).unwrap_or_default();
        for Waiter::Grant(ticket) | Waiter::Complete(ticket) in waiters {
            actions.push(Action::Reply { ticket, reply: KeyReply::NotOwner { epoch } });
        }
        state.in_progress.remove(key);
        state.unjournaled.remove(key);
        state.dirty.insert(key.to_owned());
    }

    fn expire_seal(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        if state.seal_age(now).is_some_and(|age| age >= self.limits.retention + SEAL_MARGIN) {
            state.seal = None;
            actions.push(Action::SealExpired { range: index, epoch: state.epoch });
        }
    }

    fn expire_records(&mut self, index: usize, now: Instant) {
        if !self.is_serving(index) {
            return;
        }
        let state = &self.ranges[index];
        let expired = state.records.iter().filter(|tracked| {
            tracked.record.state.is_finished() && tracked.age(now) >= self.limits.retention
        });
        let expired: Vec<String> = expired.map(|tracked| tracked.record.key.clone()).collect();
        for key in expired {
            self.remove_record(index, &key, &mut Vec::new());
        }
    }
}
