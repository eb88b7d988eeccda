//! Copies of records between the owner and the witness of a range.

use std::mem;
use std::time::{Duration, Instant};

use super::KeyTable;
use crate::range_state::{Flight, Phase, RangeState, Role};
use crate::records::{Records, Waiting};
use crate::{
    Action, AgentEndpoint, CopyRequest, FenceReply, FenceRequest, KeyRecord, KeyReply, RecordState,
};

/// Bytes of records per message, well below the protocol's limit of 4 MiB per message.
const COPY_BYTES: usize = 1 << 20;
/// A lost message is sent again after this time; the round trip between domains is about 3 ms.
const RETRY: Duration = Duration::from_millis(500);
/// Interval at which a sealed range asks for its journal, which may be slow (10 s a response).
const LOAD_RETRY: Duration = Duration::from_secs(15);
/// Interval at which the target of an attempt past its deadline is asked.
const LOOKUP_RETRY: Duration = Duration::from_secs(1);

impl KeyTable {
    pub(super) fn accept_copy(
        &mut self,
        copy: &CopyRequest,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let epoch = self.ranges[copy.range].epoch;
        if copy.epoch > epoch && copy.snapshot_start {
            self.enter(copy.range, (copy.epoch, false), Role::Witness, None, now, actions);
        }
        let state = &mut self.ranges[copy.range];
        if copy.epoch != state.epoch || state.role != Role::Witness {
            return false;
        }
        if copy.sequence <= state.sequence {
            return true;
        }
        let follows = state.sequence > 0 && copy.sequence == state.sequence + 1;
        if !copy.snapshot_start && !follows {
            return false;
        }
        if copy.snapshot_start {
            state.staging = Some(Records::default());
        }
        let records = state.staging.as_mut().unwrap_or(&mut state.records);
        for record in &copy.records {
            records.put(record.clone(), now);
        }
        state.sequence = copy.sequence;
        if copy.snapshot_end
            && let Some(records) = state.staging.take()
        {
            state.records = records;
            state.complete = true;
            state.seal = copy.seal_age.map(|age| (age, now));
        }
        true
    }

    /// Applies the witness's confirmation of the copy in flight.
    pub(super) fn acknowledge(&mut self, index: usize, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let Some(flight) = state.flight.take() else { return };
        for (key, change) in flight.changes {
            let Some(entry) = state.records.get_mut(&key) else { continue };
            if entry.change != change {
                continue;
            }
            (entry.acked, entry.proposed) = (true, false);
            let finished = entry.record.state.is_finished();
            for waiting in mem::take(&mut entry.waiting) {
                let (ticket, reply) = match waiting {
                    Waiting::Grant(ticket) if finished => (ticket, KeyReply::InProgress),
                    Waiting::Grant(ticket) => (ticket, KeyReply::Granted),
                    Waiting::Complete(ticket) => (ticket, KeyReply::Completed),
                };
                actions.push(Action::Reply { ticket, reply });
            }
        }
        if flight.copy.snapshot_end {
            state.phase = Phase::Serving;
        }
    }

    pub(super) fn fence_page(&self, fence: &FenceRequest, now: Instant) -> FenceReply {
        let FenceRequest { range, epoch, after } = fence.clone();
        let mut reply = FenceReply {
            range,
            epoch,
            after,
            witness_epoch: 0,
            complete: false,
            seal_age: None,
            records: Vec::new(),
            more: false,
        };
        let Some(state) = self.ranges.get(range) else { return reply };
        reply.witness_epoch = state.epoch;
        reply.complete = state.epoch == epoch && state.role == Role::Witness && state.complete;
        if !reply.complete {
            return reply;
        }
        reply.seal_age = state.seal_age(now);
        let mut bytes = 0;
        for entry in state.records.after(reply.after.as_ref()).map(|(_, entry)| entry) {
            if bytes >= COPY_BYTES {
                reply.more = true;
                return reply;
            }
            bytes += entry.record.size();
            reply.records.push(entry.export(now));
        }
        reply
    }

    pub(super) fn take_page(&mut self, reply: FenceReply, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[reply.range];
        let last = reply.records.last().map(|record| record.key.clone());
        let staging = state.staging.get_or_insert_default();
        for record in reply.records {
            staging.put(record, now);
        }
        if reply.more {
            state.phase = Phase::Fencing { after: last.clone(), sent: now };
            let fence = FenceRequest { range: reply.range, epoch: reply.epoch, after: last };
            actions.extend(state.peer.clone().map(|to| Action::Fence { to, fence }));
            return;
        }
        state.records = state.staging.take().unwrap_or_default();
        state.complete = true;
        state.seal = reply.seal_age.map(|age| (age, now));
        state.index(true);
        state.phase = Phase::Syncing { after: None, started: false };
        self.pump(reply.range, now, actions);
    }

    /// Neither agent holds the records: the range is sealed and answers from the journal.
    pub(super) fn load(&mut self, range: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[range];
        state.phase = Phase::Loading { sent: now };
        let epoch = state.epoch;
        actions.push(Action::Seal { range, epoch });
        actions.push(Action::LoadJournal { range, epoch });
    }

    pub(super) fn resend(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let Some(to) = state.peer.clone() else { return };
        let due = |sent: Instant, retry| now.saturating_duration_since(sent) >= retry;
        match &mut state.phase {
            Phase::Fencing { after, sent } if due(*sent, RETRY) => {
                *sent = now;
                let after = after.clone();
                let fence = FenceRequest { range: index, epoch: state.epoch, after };
                actions.push(Action::Fence { to, fence });
            }
            Phase::Loading { sent } if due(*sent, LOAD_RETRY) => self.load(index, now, actions),
            Phase::Syncing { .. } | Phase::Serving => {
                if let Some(flight) = state.flight.as_mut().filter(|f| due(f.sent, RETRY)) {
                    flight.sent = now;
                    actions.push(Action::Copy { to, copy: flight.copy.clone() });
                }
            }
            _ => {}
        }
    }

    /// Sends the next copy when none is in flight. One at a time keeps records in order, and what
    /// gathers during a round trip travels together.
    pub(super) fn pump(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let Some(state) = self.ranges.get_mut(index) else { return };
        let Some(to) = state.peer.clone().filter(|_| state.flight.is_none()) else { return };
        let (records, changes, snapshot_start, snapshot_end) = match mem::take(&mut state.phase) {
            Phase::Syncing { after, started } => {
                let (records, changes, last) = snapshot_part(&state.records, after.as_ref(), now);
                let end = last.is_none();
                state.phase = Phase::Syncing { after: last, started: true };
                (records, changes, !started, end)
            }
            phase => {
                let ready = phase == Phase::Serving && !state.dirty.is_empty();
                state.phase = phase;
                if !ready {
                    return;
                }
                let (records, changes) = take_dirty(state, now);
                (records, changes, false, false)
            }
        };
        state.sequence += 1;
        let copy = CopyRequest {
            range: index,
            epoch: state.epoch,
            owner: self.agent.clone(),
            sequence: state.sequence,
            snapshot_start,
            snapshot_end,
            seal_age: state.seal_age(now),
            records,
        };
        state.flight = Some(Flight { copy: copy.clone(), changes, sent: now });
        actions.push(Action::Copy { to, copy });
    }

    pub(super) fn check_open(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let mut late = Vec::new();
        for key in &state.open {
            let Some(entry) = state.records.get_mut(key) else { continue };
            if entry.age(now) <= entry.record.budget {
                continue;
            }
            if entry.proposed {
                late.push(key.clone());
                continue;
            }
            if entry.asked.is_some_and(|at| now.saturating_duration_since(at) < LOOKUP_RETRY) {
                continue;
            }
            entry.asked = Some(now);
            entry.lookups += 1;
            let KeyRecord { target, attempt, key, .. } = entry.record.clone();
            actions.push(Action::Lookup { target, range: index, key, attempt });
        }
        for key in late {
            self.drop_record(index, &key, actions);
        }
    }
}

type Part = (Vec<KeyRecord>, Vec<(String, u64)>);

/// Returns the records after `after` that fit into a message and the key to go on from, if any.
fn snapshot_part(
    records: &Records,
    after: Option<&String>,
    now: Instant,
) -> (Vec<KeyRecord>, Vec<(String, u64)>, Option<String>) {
    let (mut part, mut changes, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (key, entry) in records.after(after) {
        if bytes >= COPY_BYTES {
            return (part, changes.clone(), changes.pop().map(|(key, _)| key));
        }
        bytes += entry.record.size();
        part.push(entry.export(now));
        changes.push((key.clone(), entry.change));
    }
    (part, changes, None)
}

/// Takes the changed records that fit into a message.
fn take_dirty(state: &mut RangeState, now: Instant) -> Part {
    let (mut records, mut changes, mut bytes) = (Vec::new(), Vec::new(), 0);
    while bytes < COPY_BYTES
        && let Some(key) = state.dirty.pop_first()
    {
        let Some(entry) = state.records.get(&key) else {
            records.push(released(key));
            continue;
        };
        bytes += entry.record.size();
        changes.push((key, entry.change));
        records.push(entry.export(now));
    }
    (records, changes)
}

fn released(key: String) -> KeyRecord {
    KeyRecord {
        key,
        attempt: String::new(),
        digest: Default::default(),
        state: RecordState::Released,
        target: AgentEndpoint::unset(),
        age: Duration::ZERO,
        budget: Duration::ZERO,
    }
}
