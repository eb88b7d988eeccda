//! Replication of records between the owner and the witness of a range.

use std::mem;
use std::time::{Duration, Instant};

use super::KeyTable;
use crate::range_state::{PendingCopy, Phase, RangeState, Role};
use crate::records::{Records, Waiter};
use crate::{
    Action, AgentEndpoint, CopyRequest, FenceReply, FenceRequest, KeyRecord, KeyReply, RecordState,
};

/// Size of the records in a message at which no further record is added, well below the protocol's
/// limit of 4 MiB per message.
const COPY_RECORD_BYTES: usize = 1 << 20;
/// Time after which an unanswered message is sent again; the round trip between failure domains is
/// about 3 ms.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a sealed range requests its journal; the store may take 10 s to respond.
const JOURNAL_RETRY_INTERVAL: Duration = Duration::from_secs(15);
/// Interval between lookups of an attempt past its deadline at its target.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

impl KeyTable {
    /// Applies a copy from the owner and reports whether this witness has its records.
    pub(super) fn apply_copy(
        &mut self,
        copy: &CopyRequest,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let epoch = self.ranges[copy.range].epoch;
        if copy.epoch > epoch && copy.snapshot_start {
            self.change_role(copy.range, (copy.epoch, false), Role::Witness, None, now, actions);
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

    /// Applies the witness's confirmation of the pending copy.
    pub(super) fn apply_copy_ack(&mut self, index: usize, actions: &mut Vec<Action>) {
        let state = &mut self.ranges[index];
        let Some(pending) = state.pending_copy.take() else { return };
        for (key, revision) in pending.revisions {
            let Some(tracked) = state.records.get_mut(&key) else { continue };
            if tracked.revision != revision {
                continue;
            }
            (tracked.acked, tracked.never_granted) = (true, false);
            let finished = tracked.record.state.is_finished();
            for waiter in mem::take(&mut tracked.waiters) {
                let (ticket, reply) = match waiter {
                    Waiter::Grant(ticket) if finished => (ticket, KeyReply::InProgress),
                    Waiter::Grant(ticket) => (ticket, KeyReply::Granted),
                    Waiter::Complete(ticket) => (ticket, KeyReply::Completed),
                };
                actions.push(Action::Reply { ticket, reply });
            }
        }
        if pending.copy.snapshot_end {
            state.phase = Phase::Serving;
        }
    }

    /// Returns the page of records that `fence` requests, or a refusal.
    pub(super) fn build_fence_reply(&self, fence: &FenceRequest, now: Instant) -> FenceReply {
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
        for tracked in state.records.entries_after(reply.after.as_ref()).map(|(_, tracked)| tracked)
        {
            if bytes >= COPY_RECORD_BYTES {
                reply.more = true;
                return reply;
            }
            bytes += tracked.record.size();
            reply.records.push(tracked.with_age_at(now));
        }
        reply
    }

    /// Adds a page of records from the witness, then requests the next page or, after the last one,
    /// starts the snapshot.
    pub(super) fn apply_fence_page(
        &mut self,
        reply: FenceReply,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
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
        state.rebuild_key_sets(true);
        state.phase = Phase::Syncing { after: None, started: false };
        self.send_next_copy(reply.range, now, actions);
    }

    /// Requests the seal and the journal of a range whose records neither agent has.
    pub(super) fn request_journal(
        &mut self,
        range: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.ranges[range];
        state.phase = Phase::Loading { sent: now };
        let epoch = state.epoch;
        actions.push(Action::Seal { range, epoch });
        actions.push(Action::LoadJournal { range, epoch });
    }

    /// Sends messages again that the witness or the journal has not answered in time.
    pub(super) fn resend_unanswered(
        &mut self,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.ranges[index];
        let Some(to) = state.peer.clone() else { return };
        let due = |sent: Instant, interval| now.saturating_duration_since(sent) >= interval;
        match &mut state.phase {
            Phase::Fencing { after, sent } if due(*sent, RESEND_INTERVAL) => {
                *sent = now;
                let after = after.clone();
                let fence = FenceRequest { range: index, epoch: state.epoch, after };
                actions.push(Action::Fence { to, fence });
            }
            Phase::Loading { sent } if due(*sent, JOURNAL_RETRY_INTERVAL) => {
                self.request_journal(index, now, actions)
            }
            Phase::Syncing { .. } | Phase::Serving => {
                if let Some(pending) =
                    state.pending_copy.as_mut().filter(|pending| due(pending.sent, RESEND_INTERVAL))
                {
                    pending.sent = now;
                    actions.push(Action::Copy { to, copy: pending.copy.clone() });
                }
            }
            _ => {}
        }
    }

    /// Sends the next copy unless one is pending. A single pending copy keeps the records in order,
    /// and changes made during a round trip are sent together.
    pub(super) fn send_next_copy(&mut self, index: usize, now: Instant, actions: &mut Vec<Action>) {
        let Some(state) = self.ranges.get_mut(index) else { return };
        let Some(to) = state.peer.clone().filter(|_| state.pending_copy.is_none()) else { return };
        let (records, revisions, snapshot_start, snapshot_end) = match mem::take(&mut state.phase) {
            Phase::Syncing { after, started } => {
                let (records, revisions, last) = snapshot_part(&state.records, after.as_ref(), now);
                let end = last.is_none();
                state.phase = Phase::Syncing { after: last, started: true };
                (records, revisions, !started, end)
            }
            phase => {
                let ready = phase == Phase::Serving && !state.dirty.is_empty();
                state.phase = phase;
                if !ready {
                    return;
                }
                let (records, revisions) = take_changed_records(state, now);
                (records, revisions, false, false)
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
        state.pending_copy = Some(PendingCopy { copy: copy.clone(), revisions, sent: now });
        actions.push(Action::Copy { to, copy });
    }

    /// Looks up attempts past their deadline, and removes those that were never granted.
    pub(super) fn check_overdue_attempts(
        &mut self,
        index: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.ranges[index];
        let mut overdue = Vec::new();
        for key in &state.in_progress {
            let Some(tracked) = state.records.get_mut(key) else { continue };
            if tracked.age(now) <= tracked.record.budget {
                continue;
            }
            if tracked.never_granted {
                overdue.push(key.clone());
                continue;
            }
            if tracked
                .last_lookup
                .is_some_and(|at| now.saturating_duration_since(at) < LOOKUP_INTERVAL)
            {
                continue;
            }
            tracked.last_lookup = Some(now);
            tracked.unanswered_lookups += 1;
            let KeyRecord { target, attempt, key, .. } = tracked.record.clone();
            actions.push(Action::Lookup { target, range: index, key, attempt });
        }
        for key in overdue {
            self.remove_record(index, &key, actions);
        }
    }
}

/// Records of a message, with key and revision of each record that awaits confirmation.
type CopyPart = (Vec<KeyRecord>, Vec<(String, u64)>);

/// Returns the records after the key `after` that fit into a message, their revisions, and the key
/// after which the next part starts, or `None` for the last part.
fn snapshot_part(
    records: &Records,
    after: Option<&String>,
    now: Instant,
) -> (Vec<KeyRecord>, Vec<(String, u64)>, Option<String>) {
    let (mut part, mut revisions, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (key, tracked) in records.entries_after(after) {
        if bytes >= COPY_RECORD_BYTES {
            return (part, revisions.clone(), revisions.pop().map(|(key, _)| key));
        }
        bytes += tracked.record.size();
        part.push(tracked.with_age_at(now));
        revisions.push((key.clone(), tracked.revision));
    }
    (part, revisions, None)
}

/// Removes from `dirty` the keys whose records fit into a message and returns these records.
fn take_changed_records(state: &mut RangeState, now: Instant) -> CopyPart {
    let (mut records, mut revisions, mut bytes) = (Vec::new(), Vec::new(), 0);
    while bytes < COPY_RECORD_BYTES
        && let Some(key) = state.dirty.pop_first()
    {
        let Some(tracked) = state.records.get(&key) else {
            records.push(released(key));
            continue;
        };
        bytes += tracked.record.size();
        revisions.push((key, tracked.revision));
        records.push(tracked.with_age_at(now));
    }
    (records, revisions)
}

/// Returns the record that frees `key` at the witness.
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
