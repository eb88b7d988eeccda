//! Tests of key tables with explicit sequences of messages.

use std::time::{Duration, Instant};

use skylarkpulley_keys::{
    Action, AgentEndpoint, Attempt, CopyReply, CopyRequest, FenceRequest, KeyRange, KeyRecord,
    KeyReply, KeyTable, Limits, LookupResult, RANGE_COUNT, RangeMap, RecordState, ReserveRequest,
    Response,
};
use skylarkpulley_types::{AgentId, Digest};

use crate::sim::{RANGE, key};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

/// The tables of three agents; messages between them are delivered immediately.
struct Cluster {
    tables: Vec<KeyTable>,
    now: Instant,
    version: u64,
    /// Actions other than copies and fence requests, in order.
    other_actions: Vec<Action>,
    /// Every copy that was sent, including undelivered ones.
    copies: Vec<CopyRequest>,
    /// Agents to which no copy is delivered.
    unreachable: Vec<usize>,
}

fn endpoint(index: usize) -> AgentEndpoint {
    AgentEndpoint::new(AgentId::new(&format!("agent-{index}"), 1), &format!("10.0.0.{index}:7"))
}

fn attempt(key: &str, name: &str) -> Attempt {
    Attempt { range: RANGE, key: key.to_owned(), attempt: name.to_owned() }
}

fn ok_response(text: &str) -> Option<Response> {
    Some(Response::new(200, text.as_bytes()))
}

impl Cluster {
    /// Returns a cluster in which agent 0 owns the range and agent 1 witnesses it.
    fn new(limits: Limits) -> Self {
        let tables = (0..3).map(|index| KeyTable::new(endpoint(index).agent, limits));
        let mut cluster = Self {
            tables: tables.collect(),
            now: Instant::now() + Duration::from_secs(1000),
            version: 0,
            other_actions: Vec::new(),
            copies: Vec::new(),
            unreachable: Vec::new(),
        };
        cluster.assign(1, 0, 1, 1, &[0, 1, 2]);
        cluster
    }

    /// Publishes an assignment to the agents in `to`.
    fn assign(&mut self, epoch: u64, owner: usize, witness: usize, reset_epoch: u64, to: &[usize]) {
        self.version += 1;
        let mut map =
            RangeMap { version: self.version, ranges: vec![KeyRange::default(); RANGE_COUNT] };
        let (owner, witness) = (Some(endpoint(owner)), Some(endpoint(witness)));
        map.ranges[RANGE] = KeyRange { epoch, reset_epoch, owner, witness, sealed: false };
        for index in to {
            let actions = self.tables[*index].apply_map(&map, self.now);
            self.perform(*index, actions);
        }
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        let index = |to: &AgentEndpoint| to.agent.name["agent-".len()..].parse::<usize>().unwrap();
        for action in actions {
            match action {
                Action::Copy { to, copy } => {
                    self.copies.push(copy.clone());
                    if !self.unreachable.contains(&index(&to)) {
                        let reply = self.deliver_copy(index(&to), &copy);
                        let actions = self.tables[from].handle_copy_reply(reply, self.now);
                        self.perform(from, actions);
                    }
                }
                Action::Fence { to, fence } => {
                    let (reply, actions) = self.tables[index(&to)].handle_fence(&fence, self.now);
                    self.perform(index(&to), actions);
                    let actions = self.tables[from].handle_fence_reply(reply, self.now);
                    self.perform(from, actions);
                }
                action => self.other_actions.push(action),
            }
        }
    }

    /// Delivers `copy` to agent `to` and returns the reply.
    fn deliver_copy(&mut self, to: usize, copy: &CopyRequest) -> CopyReply {
        let (reply, actions) = self.tables[to].handle_copy(copy, self.now);
        self.perform(to, actions);
        reply
    }

    /// Performs the actions of agent `index` and returns the first reply among them.
    fn perform_for_reply(&mut self, index: usize, actions: Vec<Action>) -> Option<KeyReply> {
        self.other_actions.clear();
        self.perform(index, actions);
        self.other_actions.iter().find_map(|action| match action {
            Action::Reply { reply, .. } => Some(reply.clone()),
            _ => None,
        })
    }

    fn reserve_with_digest(
        &mut self,
        owner: usize,
        key: &str,
        name: &str,
        digest: u64,
    ) -> Option<KeyReply> {
        let request = ReserveRequest {
            range: RANGE,
            epoch: 1,
            key: key.to_owned(),
            attempt: name.to_owned(),
            digest: Digest(digest),
            target: endpoint(2),
            budget: SECOND,
        };
        let actions = self.tables[owner].reserve(1, request, self.now);
        self.perform_for_reply(owner, actions)
    }

    fn reserve(&mut self, owner: usize, key: &str, name: &str) -> Option<KeyReply> {
        self.reserve_with_digest(owner, key, name, 0)
    }

    fn complete(&mut self, key: &str, name: &str, response: Option<Response>) -> Option<KeyReply> {
        let actions = self.tables[0].complete(1, &attempt(key, name), response, self.now);
        self.perform_for_reply(0, actions)
    }

    fn release(&mut self, key: &str, name: &str) -> Option<KeyReply> {
        let actions = self.tables[0].release(1, &attempt(key, name), self.now);
        self.perform_for_reply(0, actions)
    }

    /// Ticks agent `index` after `after` has passed and returns the actions that remain.
    fn tick(&mut self, index: usize, after: Duration) -> Vec<Action> {
        self.now += after;
        let actions = self.tables[index].tick(self.now);
        self.other_actions.clear();
        self.perform(index, actions);
        self.other_actions.clone()
    }

    fn record(&self, index: usize, key: &str) -> Option<KeyRecord> {
        self.tables[index].find(key, self.now)
    }
}

/// Guards against wrong replies to repeated requests, and against a recorded response that changes.
#[test]
fn repeat_gets_state_of_key() {
    let mut cluster = Cluster::new(Limits::default());
    let (key, freed, unknown) = (key(0), key(1), key(2));
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(cluster.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert_eq!(cluster.reserve_with_digest(0, &key, "b", 9), Some(KeyReply::Mismatch));
    assert_eq!(cluster.complete(&key, "b", ok_response("no")), Some(KeyReply::NotReserved));
    assert_eq!(cluster.complete(&key, "a", ok_response("yes")), Some(KeyReply::Completed));
    assert_eq!(cluster.complete(&key, "a", ok_response("other")), Some(KeyReply::Completed));
    assert_eq!(cluster.release(&key, "a"), Some(KeyReply::NotReserved));
    let answer = cluster.reserve(0, &key, "b");
    assert_eq!(answer, Some(KeyReply::Answered(ok_response("yes").unwrap().into())));
    assert_eq!(cluster.record(1, &key).unwrap().state, cluster.record(0, &key).unwrap().state);

    assert_eq!(cluster.reserve(0, &freed, "c"), Some(KeyReply::Granted));
    assert_eq!(cluster.release(&freed, "b"), Some(KeyReply::NotReserved));
    assert_eq!(cluster.release(&freed, "c"), Some(KeyReply::Released));
    assert_eq!(cluster.record(1, &freed), None);
    assert_eq!(cluster.reserve(0, &freed, "d"), Some(KeyReply::Granted));

    assert_eq!(cluster.reserve(0, &unknown, "e"), Some(KeyReply::Granted));
    assert_eq!(cluster.complete(&unknown, "e", None), Some(KeyReply::Completed));
    assert_eq!(cluster.reserve(0, &unknown, "f"), Some(KeyReply::Unknown));
    assert_eq!(cluster.complete(&unknown, "e", ok_response("late")), Some(KeyReply::Completed));
    assert!(matches!(cluster.reserve(0, &unknown, "f"), Some(KeyReply::Answered(_))));
}

/// Guards against a grant or a response that is sent before the witness has confirmed it, and
/// against a request that waits for an unreachable witness past its deadline.
#[test]
fn nothing_is_granted_without_witness() {
    let mut cluster = Cluster::new(Limits::default());
    let (key, other) = (key(0), key(1));
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    cluster.unreachable = vec![1];
    assert_eq!(cluster.complete(&key, "a", ok_response("yes")), None);
    assert_eq!(cluster.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert_eq!(cluster.reserve(0, &other, "c"), None);
    let actions = cluster.tick(0, 2 * SECOND);
    assert!(actions.contains(&Action::Reply { ticket: 1, reply: KeyReply::NotOwner { epoch: 1 } }));
    cluster.unreachable.clear();
    cluster.tick(0, SECOND);
    assert!(matches!(cluster.reserve(0, &key, "b"), Some(KeyReply::Answered(_))));
    assert_eq!((cluster.record(0, &other), cluster.record(1, &other)), (None, None));
}

/// Guards against a replaced owner that grants a key after its witness became the owner.
#[test]
fn deposed_owner_grants_nothing() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    cluster.assign(2, 1, 2, 1, &[1, 2]);
    assert_eq!(cluster.reserve(1, &key, "new"), Some(KeyReply::Granted));
    assert_eq!(cluster.reserve(0, &key, "old"), Some(KeyReply::NotOwner { epoch: 1 }));
    assert_eq!(cluster.record(1, &key).unwrap().attempt, "new");
    assert!(cluster.tables[0].serving_ranges().is_empty());
    assert_eq!(cluster.tables[1].serving_ranges(), [(RANGE, 2)]);
}

/// Guards against an owner that has not received the map that replaces it, and grants a key to
/// another attempt than the one for which it is reserved. A repeated grant to that attempt is
/// harmless, because its target runs it only once.
#[test]
fn deposed_owner_repeats_only_old_grants() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    cluster.assign(2, 1, 2, 1, &[1, 2]);
    let actions =
        cluster.tables[1].complete(1, &attempt(&key, "a"), ok_response("yes"), cluster.now);
    assert_eq!(cluster.perform_for_reply(1, actions), Some(KeyReply::Completed));
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(cluster.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert!(matches!(cluster.reserve(1, &key, "b"), Some(KeyReply::Answered(_))));
}

/// Guards against a delayed copy that replaces newer records of the witness.
#[test]
fn witness_ignores_late_copies() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    cluster.reserve(0, &key, "a");
    let delayed = cluster.copies.last().unwrap().clone();
    cluster.release(&key, "a");
    cluster.reserve(0, &key, "b");
    assert!(cluster.deliver_copy(1, &delayed).accepted);
    assert_eq!(cluster.record(1, &key).unwrap().attempt, "b");
    let gap = CopyRequest { sequence: delayed.sequence + 9, ..delayed };
    assert!(!cluster.deliver_copy(1, &gap).accepted);
}

/// Guards against a new owner that had no role in the range during an epoch that it missed: keys
/// may be missing there, so that it must request a seal and answer unknown.
#[test]
fn member_that_missed_an_epoch_seals() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    // Agent 2 replaces agent 1 as witness, but agent 1 does not receive that map. A key is granted,
    // and its record is lost on agent 2.
    cluster.assign(2, 0, 2, 1, &[0, 2]);
    assert_eq!(cluster.reserve(0, &key, "a"), Some(KeyReply::Granted));
    cluster.tables[2] = KeyTable::new(endpoint(2).agent, Limits::default());
    cluster.other_actions.clear();
    cluster.assign(3, 1, 2, 1, &[1, 2]);
    assert!(cluster.other_actions.contains(&Action::Seal { range: RANGE, epoch: 3 }));
    assert!(cluster.other_actions.contains(&Action::LoadJournal { range: RANGE, epoch: 3 }));
    assert!(cluster.tables[1].serving_ranges().is_empty());
    let actions = cluster.tables[1].import_journal(RANGE, 3, Vec::new(), cluster.now);
    cluster.perform(1, actions);
    assert_eq!(cluster.reserve(1, &key, "b"), Some(KeyReply::Unknown));
}

/// Guards against an owner that requests a seal when its witness has already accepted a newer epoch.
#[test]
fn fence_of_newer_epoch_deposes() {
    let mut cluster = Cluster::new(Limits::default());
    cluster.assign(5, 2, 1, 1, &[1]);
    cluster.other_actions.clear();
    cluster.assign(4, 0, 1, 1, &[0]);
    assert_eq!(
        (cluster.other_actions.as_slice(), cluster.tables[0].serving_ranges()),
        (&[][..], vec![])
    );
    assert_eq!(cluster.tick(0, 60 * SECOND), []);
}

/// Guards against a seal that is lost when the owner changes, or kept after the lost keys have
/// expired or an operator has unsealed the range, and against a journal that is not used.
#[test]
fn seal_survives_takeover() {
    let mut cluster = Cluster::new(Limits::default());
    let (journaled, missing) = (key(0), key(1));
    cluster.reserve(0, &journaled, "a");
    cluster.complete(&journaled, "a", ok_response("yes"));
    let batch = cluster.tables[0].next_batch(cluster.now).unwrap();
    assert_eq!(batch.records.len(), 1);
    for index in [1, 2] {
        cluster.tables[index] = KeyTable::new(endpoint(index).agent, Limits::default());
    }
    cluster.assign(2, 1, 2, 1, &[1, 2]);
    let actions = cluster.tables[1].import_journal(RANGE, 2, batch.records, cluster.now);
    cluster.perform(1, actions);
    for (epoch, owner, witness) in [(2, 1, 2), (3, 2, 1)] {
        cluster.assign(epoch, owner, witness, 1, &[1, 2]);
        assert!(matches!(cluster.reserve(owner, &journaled, "b"), Some(KeyReply::Answered(_))));
        assert_eq!(cluster.reserve(owner, &missing, "b"), Some(KeyReply::Unknown));
    }
    // A new owner without records receives the seal from its witness.
    cluster.tables[0] = KeyTable::new(endpoint(0).agent, Limits::default());
    cluster.assign(4, 0, 2, 1, &[0, 2]);
    assert_eq!(cluster.reserve(0, &missing, "b"), Some(KeyReply::Unknown));
    assert!(matches!(cluster.reserve(0, &journaled, "b"), Some(KeyReply::Answered(_))));

    let mut unsealed =
        Cluster { tables: cluster.tables.clone(), ..Cluster::new(Limits::default()) };
    (unsealed.now, unsealed.version) = (cluster.now, cluster.version);
    unsealed.assign(5, 0, 2, 5, &[0, 2]);
    assert_eq!(unsealed.reserve(0, &missing, "b"), Some(KeyReply::Granted));
    assert!(matches!(unsealed.reserve(0, &journaled, "b"), Some(KeyReply::Answered(_))));

    cluster.tick(0, 24 * HOUR);
    assert_eq!(cluster.reserve(0, &missing, "b"), Some(KeyReply::Unknown));
    let actions = cluster.tick(0, HOUR);
    assert!(actions.contains(&Action::SealExpired { range: RANGE, epoch: 4 }));
    assert_eq!(cluster.reserve(0, &missing, "b"), Some(KeyReply::Granted));
}

/// Guards against a wrong state after a lookup of an attempt past its deadline at its target.
#[test]
fn lookup_settles_late_attempts() {
    let answer = LookupResult::Answered(ok_response("yes").unwrap().into());
    let cases = [
        (LookupResult::Running, Some(RecordState::Granted)),
        (answer, Some(RecordState::Answered(ok_response("yes").unwrap().into()))),
        (LookupResult::NotRun, None),
        (LookupResult::Unknown, Some(RecordState::Unknown)),
        (LookupResult::NoAnswer, Some(RecordState::Granted)),
    ];
    for (result, expected) in cases {
        let mut cluster = Cluster::new(Limits::default());
        let key = key(0);
        cluster.reserve(0, &key, "a");
        assert_eq!(cluster.tick(0, SECOND), []);
        let actions = cluster.tick(0, SECOND);
        assert!(matches!(&actions[..], [Action::Lookup { attempt, .. }] if attempt == "a"));
        let actions = cluster.tables[0].handle_lookup_result(
            &attempt(&key, "a"),
            result.clone(),
            cluster.now,
        );
        cluster.perform(0, actions);
        assert_eq!(cluster.record(0, &key).map(|record| record.state), expected, "{result:?}");
        assert_eq!(cluster.record(1, &key).map(|record| record.state), expected, "{result:?}");
    }
}

/// Guards against a second run after the target has dropped its record of the first one.
#[test]
fn lookup_of_forgotten_attempt_is_unknown() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    cluster.reserve(0, &key, "a");
    cluster.now += Limits::default().attempt_retention;
    let actions = cluster.tables[0].handle_lookup_result(
        &attempt(&key, "a"),
        LookupResult::NotRun,
        cluster.now,
    );
    cluster.perform(0, actions);
    assert_eq!(cluster.reserve(0, &key, "b"), Some(KeyReply::Unknown));
}

/// Guards against a key that remains in progress forever when its target never answers.
#[test]
fn lookup_gives_up() {
    let mut cluster = Cluster::new(Limits::default());
    let key = key(0);
    cluster.reserve(0, &key, "a");
    for _ in 0..5 {
        if !cluster.tick(0, SECOND + SECOND / 10).is_empty() {
            let result = LookupResult::NoAnswer;
            let actions =
                cluster.tables[0].handle_lookup_result(&attempt(&key, "a"), result, cluster.now);
            cluster.perform(0, actions);
        }
    }
    assert_eq!(cluster.record(0, &key).unwrap().state, RecordState::Unknown);
}

/// Guards against unbounded memory, and against a full range that evicts a key to admit another.
#[test]
fn full_range_refuses_new_keys() {
    let by_count = Limits { range_records: 3, ..Limits::default() };
    let by_bytes = Limits { range_bytes: 1600, ..Limits::default() };
    for limits in [by_count, by_bytes] {
        let mut cluster = Cluster::new(limits);
        let replies: Vec<_> = (0..5).map(|n| cluster.reserve(0, &key(n), "a").unwrap()).collect();
        let granted = replies.iter().filter(|reply| **reply == KeyReply::Granted).count();
        assert_eq!(granted, 3);
        assert_eq!(replies[4], KeyReply::Full);
        assert_eq!(cluster.reserve(0, &key(0), "b"), Some(KeyReply::InProgress));
        assert_eq!(cluster.release(&key(0), "a"), Some(KeyReply::Released));
        assert_eq!(cluster.reserve(0, &key(4), "b"), Some(KeyReply::Granted));
    }
}

/// Guards against keys that are removed within their retention, or kept forever.
#[test]
fn retention_ends_finished_keys() {
    let mut cluster = Cluster::new(Limits::default());
    let (finished, in_progress) = (key(0), key(1));
    cluster.reserve(0, &finished, "a");
    cluster.complete(&finished, "a", ok_response("yes"));
    cluster.reserve(0, &in_progress, "b");
    cluster.now += 24 * HOUR - 10 * SECOND;
    for _ in 0..RANGE_COUNT {
        cluster.tick(0, SECOND / 10);
    }
    assert!(cluster.record(0, &finished).is_some() && cluster.record(1, &finished).is_some());
    for _ in 0..2 * RANGE_COUNT {
        cluster.tick(0, SECOND / 10);
    }
    assert_eq!((cluster.record(0, &finished), cluster.record(1, &finished)), (None, None));
    assert_eq!(cluster.record(0, &in_progress).unwrap().state, RecordState::Granted);
}

/// Guards against a snapshot or fence reply that exceeds the message size or loses records.
#[test]
fn snapshot_travels_in_parts() {
    let mut cluster = Cluster::new(Limits { range_bytes: 8 << 20, ..Limits::default() });
    let body = vec![7; 300 << 10];
    for number in 0..12 {
        cluster.reserve(0, &key(number), "a");
        cluster.complete(&key(number), "a", Some(Response::new(200, &body)));
    }
    cluster.copies.clear();
    cluster.assign(2, 0, 2, 1, &[0, 2]);
    let parts = cluster.copies.clone();
    assert!(parts.len() >= 3 && parts[0].snapshot_start && parts.last().unwrap().snapshot_end);
    for part in &parts {
        let bytes: usize = part.records.iter().map(KeyRecord::size).sum();
        assert!(bytes < 2 << 20, "{bytes} bytes in one message");
    }
    assert_eq!(cluster.tables[2].len(), 12);

    cluster.tables[1] = KeyTable::new(endpoint(1).agent, Limits::default());
    cluster.assign(3, 1, 2, 1, &[1, 2]);
    assert_eq!(
        (cluster.tables[1].len(), cluster.tables[1].serving_ranges()),
        (12, vec![(RANGE, 3)])
    );
    let fence = FenceRequest { range: RANGE, epoch: 2, after: None };
    assert_eq!(cluster.tables[2].handle_fence(&fence, cluster.now).0.witness_epoch, 3);
}

/// Guards against more messages to the witness than docs/at-most-once.md states.
#[test]
fn copies_per_request() {
    let mut cluster = Cluster::new(Limits::default());
    cluster.copies.clear();
    cluster.reserve(0, &key(0), "a");
    cluster.complete(&key(0), "a", ok_response("yes"));
    assert_eq!(cluster.copies.len(), 2);
    cluster.unreachable = vec![1];
    (1..51).for_each(|number| assert_eq!(cluster.reserve(0, &key(number), "a"), None));
    cluster.unreachable.clear();
    cluster.tick(0, SECOND / 2);
    let granted = Action::Reply { ticket: 1, reply: KeyReply::Granted };
    assert_eq!(cluster.other_actions.iter().filter(|action| **action == granted).count(), 50);
    let sequences: std::collections::BTreeSet<u64> =
        cluster.copies.iter().skip(2).map(|copy| copy.sequence).collect();
    assert_eq!(sequences.len(), 2);
}

/// Guards against finished records that never reach the journal when the store fails.
#[test]
fn journal_retries_failed_batches() {
    let mut cluster = Cluster::new(Limits::default());
    cluster.reserve(0, &key(0), "a");
    assert_eq!(cluster.tables[0].next_batch(cluster.now), None);
    cluster.complete(&key(0), "a", ok_response("yes"));
    let first = cluster.tables[0].next_batch(cluster.now).unwrap();
    assert_eq!(cluster.tables[0].next_batch(cluster.now), None);
    cluster.tables[0].batch_failed(first.id);
    let second = cluster.tables[0].next_batch(cluster.now).unwrap();
    assert_eq!(second.records, first.records);
    cluster.tables[0].batch_stored(second.id);
    assert_eq!(cluster.tables[0].next_batch(cluster.now), None);
}
