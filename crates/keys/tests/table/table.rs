//! Rules of a single key table, driven by hand.

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

/// Three tables and the messages between them, delivered at once.
struct Bench {
    tables: Vec<KeyTable>,
    now: Instant,
    version: u64,
    /// Other actions of the tables, in order.
    rest: Vec<Action>,
    /// Every copy that was sent.
    copies: Vec<CopyRequest>,
    /// Agents that receive nothing.
    cut: Vec<usize>,
}

fn endpoint(index: usize) -> AgentEndpoint {
    AgentEndpoint::new(AgentId::new(&format!("agent-{index}"), 1), &format!("10.0.0.{index}:7"))
}

fn attempt(key: &str, name: &str) -> Attempt {
    Attempt { range: RANGE, key: key.to_owned(), attempt: name.to_owned() }
}

fn ok(text: &str) -> Option<Response> {
    Some(Response::new(200, text.as_bytes()))
}

impl Bench {
    /// Agent 0 owns the range, agent 1 witnesses it.
    fn new(limits: Limits) -> Self {
        let tables = (0..3).map(|index| KeyTable::new(endpoint(index).agent, limits));
        let mut bench = Self {
            tables: tables.collect(),
            now: Instant::now() + Duration::from_secs(1000),
            version: 0,
            rest: Vec::new(),
            copies: Vec::new(),
            cut: Vec::new(),
        };
        bench.assign(1, 0, 1, 1, &[0, 1, 2]);
        bench
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
            self.act(*index, actions);
        }
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        let index = |to: &AgentEndpoint| to.agent.name["agent-".len()..].parse::<usize>().unwrap();
        for action in actions {
            match action {
                Action::Copy { to, copy } => {
                    self.copies.push(copy.clone());
                    if !self.cut.contains(&index(&to)) {
                        let reply = self.copy(index(&to), &copy);
                        let actions = self.tables[from].handle_copy_reply(reply, self.now);
                        self.act(from, actions);
                    }
                }
                Action::Fence { to, fence } => {
                    let (reply, actions) = self.tables[index(&to)].handle_fence(&fence, self.now);
                    self.act(index(&to), actions);
                    let actions = self.tables[from].handle_fence_reply(reply, self.now);
                    self.act(from, actions);
                }
                action => self.rest.push(action),
            }
        }
    }

    fn copy(&mut self, to: usize, copy: &CopyRequest) -> CopyReply {
        let (reply, actions) = self.tables[to].handle_copy(copy, self.now);
        self.act(to, actions);
        reply
    }

    fn reply(&mut self, index: usize, actions: Vec<Action>) -> Option<KeyReply> {
        self.rest.clear();
        self.act(index, actions);
        self.rest.iter().find_map(|action| match action {
            Action::Reply { reply, .. } => Some(reply.clone()),
            _ => None,
        })
    }

    fn reserve_as(&mut self, owner: usize, key: &str, name: &str, body: u64) -> Option<KeyReply> {
        let request = ReserveRequest {
            range: RANGE,
            epoch: 1,
            key: key.to_owned(),
            attempt: name.to_owned(),
            digest: Digest(body),
            target: endpoint(2),
            budget: SECOND,
        };
        let actions = self.tables[owner].reserve(1, request, self.now);
        self.reply(owner, actions)
    }

    fn reserve(&mut self, owner: usize, key: &str, name: &str) -> Option<KeyReply> {
        self.reserve_as(owner, key, name, 0)
    }

    fn complete(&mut self, key: &str, name: &str, response: Option<Response>) -> Option<KeyReply> {
        let actions = self.tables[0].complete(1, &attempt(key, name), response, self.now);
        self.reply(0, actions)
    }

    fn release(&mut self, key: &str, name: &str) -> Option<KeyReply> {
        let actions = self.tables[0].release(1, &attempt(key, name), self.now);
        self.reply(0, actions)
    }

    fn tick(&mut self, index: usize, after: Duration) -> Vec<Action> {
        self.now += after;
        let actions = self.tables[index].tick(self.now);
        self.rest.clear();
        self.act(index, actions);
        self.rest.clone()
    }

    fn held(&self, index: usize, key: &str) -> Option<KeyRecord> {
        self.tables[index].find(key, self.now)
    }
}

/// Guards against wrong answers to repeats, and against a recorded answer that changes.
#[test]
fn repeat_gets_state_of_key() {
    let mut bench = Bench::new(Limits::default());
    let (key, open, lost) = (key(0), key(1), key(2));
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(bench.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert_eq!(bench.reserve_as(0, &key, "b", 9), Some(KeyReply::Mismatch));
    assert_eq!(bench.complete(&key, "b", ok("no")), Some(KeyReply::NotReserved));
    assert_eq!(bench.complete(&key, "a", ok("yes")), Some(KeyReply::Completed));
    assert_eq!(bench.complete(&key, "a", ok("other")), Some(KeyReply::Completed));
    assert_eq!(bench.release(&key, "a"), Some(KeyReply::NotReserved));
    let answer = bench.reserve(0, &key, "b");
    assert_eq!(answer, Some(KeyReply::Answered(ok("yes").unwrap().into())));
    assert_eq!(bench.held(1, &key).unwrap().state, bench.held(0, &key).unwrap().state);

    assert_eq!(bench.reserve(0, &open, "c"), Some(KeyReply::Granted));
    assert_eq!(bench.release(&open, "b"), Some(KeyReply::NotReserved));
    assert_eq!(bench.release(&open, "c"), Some(KeyReply::Released));
    assert_eq!(bench.held(1, &open), None);
    assert_eq!(bench.reserve(0, &open, "d"), Some(KeyReply::Granted));

    assert_eq!(bench.reserve(0, &lost, "e"), Some(KeyReply::Granted));
    assert_eq!(bench.complete(&lost, "e", None), Some(KeyReply::Completed));
    assert_eq!(bench.reserve(0, &lost, "f"), Some(KeyReply::Unknown));
    assert_eq!(bench.complete(&lost, "e", ok("late")), Some(KeyReply::Completed));
    assert!(matches!(bench.reserve(0, &lost, "f"), Some(KeyReply::Answered(_))));
}

/// Guards against a grant or an answer before the witness has confirmed it, and against a request
/// that waits for an unreachable witness beyond its budget.
#[test]
fn nothing_is_granted_without_witness() {
    let mut bench = Bench::new(Limits::default());
    let (key, other) = (key(0), key(1));
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    bench.cut = vec![1];
    assert_eq!(bench.complete(&key, "a", ok("yes")), None);
    assert_eq!(bench.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert_eq!(bench.reserve(0, &other, "c"), None);
    let actions = bench.tick(0, 2 * SECOND);
    assert!(actions.contains(&Action::Reply { ticket: 1, reply: KeyReply::NotOwner { epoch: 1 } }));
    bench.cut.clear();
    bench.tick(0, SECOND);
    assert!(matches!(bench.reserve(0, &key, "b"), Some(KeyReply::Answered(_))));
    assert_eq!((bench.held(0, &other), bench.held(1, &other)), (None, None));
}

/// Guards against an owner that grants after its witness was promoted.
#[test]
fn deposed_owner_grants_nothing() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    bench.assign(2, 1, 2, 1, &[1, 2]);
    assert_eq!(bench.reserve(1, &key, "new"), Some(KeyReply::Granted));
    assert_eq!(bench.reserve(0, &key, "old"), Some(KeyReply::NotOwner { epoch: 1 }));
    assert_eq!(bench.held(1, &key).unwrap().attempt, "new");
    assert!(bench.tables[0].serving_ranges().is_empty());
    assert_eq!(bench.tables[1].serving_ranges(), [(RANGE, 2)]);
}

/// Guards against an owner that does not know yet that it was replaced, and grants a key to another
/// attempt than the one that holds it. A second grant to that attempt does no harm: its target
/// runs it once.
#[test]
fn deposed_owner_repeats_only_old_grants() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    bench.assign(2, 1, 2, 1, &[1, 2]);
    let actions = bench.tables[1].complete(1, &attempt(&key, "a"), ok("yes"), bench.now);
    assert_eq!(bench.reply(1, actions), Some(KeyReply::Completed));
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    assert_eq!(bench.reserve(0, &key, "b"), Some(KeyReply::InProgress));
    assert!(matches!(bench.reserve(1, &key, "b"), Some(KeyReply::Answered(_))));
}

/// Guards against a late copy that replaces what the witness learned since.
#[test]
fn witness_ignores_late_copies() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    bench.reserve(0, &key, "a");
    let late = bench.copies.last().unwrap().clone();
    bench.release(&key, "a");
    bench.reserve(0, &key, "b");
    assert!(bench.copy(1, &late).accepted);
    assert_eq!(bench.held(1, &key).unwrap().attempt, "b");
    let gap = CopyRequest { sequence: late.sequence + 9, ..late };
    assert!(!bench.copy(1, &gap).accepted);
}

/// Guards against a takeover by an agent that was no member for an epoch that it did not see: it
/// may lack keys, so that it must answer unknown.
#[test]
fn member_that_missed_an_epoch_seals() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    // Agent 1 is replaced by agent 2 without hearing of it, and a key is granted and lost.
    bench.assign(2, 0, 2, 1, &[0, 2]);
    assert_eq!(bench.reserve(0, &key, "a"), Some(KeyReply::Granted));
    bench.tables[2] = KeyTable::new(endpoint(2).agent, Limits::default());
    bench.rest.clear();
    bench.assign(3, 1, 2, 1, &[1, 2]);
    assert!(bench.rest.contains(&Action::Seal { range: RANGE, epoch: 3 }));
    assert!(bench.rest.contains(&Action::LoadJournal { range: RANGE, epoch: 3 }));
    assert!(bench.tables[1].serving_ranges().is_empty());
    let actions = bench.tables[1].import_journal(RANGE, 3, Vec::new(), bench.now);
    bench.act(1, actions);
    assert_eq!(bench.reserve(1, &key, "b"), Some(KeyReply::Unknown));
}

/// Guards against an owner that seals its range because a newer epoch has taken over its witness.
#[test]
fn fence_of_newer_epoch_deposes() {
    let mut bench = Bench::new(Limits::default());
    bench.assign(5, 2, 1, 1, &[1]);
    bench.rest.clear();
    bench.assign(4, 0, 1, 1, &[0]);
    assert_eq!((bench.rest.as_slice(), bench.tables[0].serving_ranges()), (&[][..], vec![]));
    assert_eq!(bench.tick(0, 60 * SECOND), []);
}

/// Guards against a seal that is forgotten in a takeover, or kept after the lost keys have expired
/// or an operator has released the range, and against a journal that is not used.
#[test]
fn seal_survives_takeover() {
    let mut bench = Bench::new(Limits::default());
    let (known, missing) = (key(0), key(1));
    bench.reserve(0, &known, "a");
    bench.complete(&known, "a", ok("yes"));
    let batch = bench.tables[0].next_batch(bench.now).unwrap();
    assert_eq!(batch.records.len(), 1);
    for index in [1, 2] {
        bench.tables[index] = KeyTable::new(endpoint(index).agent, Limits::default());
    }
    bench.assign(2, 1, 2, 1, &[1, 2]);
    let actions = bench.tables[1].import_journal(RANGE, 2, batch.records, bench.now);
    bench.act(1, actions);
    for (epoch, owner, witness) in [(2, 1, 2), (3, 2, 1)] {
        bench.assign(epoch, owner, witness, 1, &[1, 2]);
        assert!(matches!(bench.reserve(owner, &known, "b"), Some(KeyReply::Answered(_))));
        assert_eq!(bench.reserve(owner, &missing, "b"), Some(KeyReply::Unknown));
    }
    // A new owner that holds nothing learns of the seal from its witness.
    bench.tables[0] = KeyTable::new(endpoint(0).agent, Limits::default());
    bench.assign(4, 0, 2, 1, &[0, 2]);
    assert_eq!(bench.reserve(0, &missing, "b"), Some(KeyReply::Unknown));
    assert!(matches!(bench.reserve(0, &known, "b"), Some(KeyReply::Answered(_))));

    let mut released = Bench { tables: bench.tables.clone(), ..Bench::new(Limits::default()) };
    (released.now, released.version) = (bench.now, bench.version);
    released.assign(5, 0, 2, 5, &[0, 2]);
    assert_eq!(released.reserve(0, &missing, "b"), Some(KeyReply::Granted));
    assert!(matches!(released.reserve(0, &known, "b"), Some(KeyReply::Answered(_))));

    bench.tick(0, 24 * HOUR);
    assert_eq!(bench.reserve(0, &missing, "b"), Some(KeyReply::Unknown));
    let actions = bench.tick(0, HOUR);
    assert!(actions.contains(&Action::SealExpired { range: RANGE, epoch: 4 }));
    assert_eq!(bench.reserve(0, &missing, "b"), Some(KeyReply::Granted));
}

/// Guards against wrong conclusions from what the target says about an attempt past its deadline.
#[test]
fn lookup_settles_late_attempts() {
    let answer = LookupResult::Answered(ok("yes").unwrap().into());
    let cases = [
        (LookupResult::Running, Some(RecordState::Granted)),
        (answer, Some(RecordState::Answered(ok("yes").unwrap().into()))),
        (LookupResult::NotRun, None),
        (LookupResult::Unknown, Some(RecordState::Unknown)),
        (LookupResult::NoAnswer, Some(RecordState::Granted)),
    ];
    for (result, expected) in cases {
        let mut bench = Bench::new(Limits::default());
        let key = key(0);
        bench.reserve(0, &key, "a");
        assert_eq!(bench.tick(0, SECOND), []);
        let actions = bench.tick(0, SECOND);
        assert!(matches!(&actions[..], [Action::Lookup { attempt, .. }] if attempt == "a"));
        let actions =
            bench.tables[0].handle_lookup_result(&attempt(&key, "a"), result.clone(), bench.now);
        bench.act(0, actions);
        assert_eq!(bench.held(0, &key).map(|record| record.state), expected, "{result:?}");
        assert_eq!(bench.held(1, &key).map(|record| record.state), expected, "{result:?}");
    }
}

/// Guards against a second run after the target has forgotten the first one.
#[test]
fn lookup_of_forgotten_attempt_is_unknown() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    bench.reserve(0, &key, "a");
    bench.now += Limits::default().attempt_retention;
    let actions =
        bench.tables[0].handle_lookup_result(&attempt(&key, "a"), LookupResult::NotRun, bench.now);
    bench.act(0, actions);
    assert_eq!(bench.reserve(0, &key, "b"), Some(KeyReply::Unknown));
}

/// Guards against a key that stays in progress for ever when its target never answers.
#[test]
fn lookup_gives_up() {
    let mut bench = Bench::new(Limits::default());
    let key = key(0);
    bench.reserve(0, &key, "a");
    for _ in 0..5 {
        if !bench.tick(0, SECOND + SECOND / 10).is_empty() {
            let result = LookupResult::NoAnswer;
            let actions =
                bench.tables[0].handle_lookup_result(&attempt(&key, "a"), result, bench.now);
            bench.act(0, actions);
        }
    }
    assert_eq!(bench.held(0, &key).unwrap().state, RecordState::Unknown);
}

/// Guards against unbounded memory, and against a full table that forgets a key to make room.
#[test]
fn full_range_refuses_new_keys() {
    let by_count = Limits { records_per_range: 3, ..Limits::default() };
    let by_bytes = Limits { bytes_per_range: 1600, ..Limits::default() };
    for limits in [by_count, by_bytes] {
        let mut bench = Bench::new(limits);
        let replies: Vec<_> = (0..5).map(|n| bench.reserve(0, &key(n), "a").unwrap()).collect();
        let granted = replies.iter().filter(|reply| **reply == KeyReply::Granted).count();
        assert_eq!(granted, 3);
        assert_eq!(replies[4], KeyReply::Full);
        assert_eq!(bench.reserve(0, &key(0), "b"), Some(KeyReply::InProgress));
        assert_eq!(bench.release(&key(0), "a"), Some(KeyReply::Released));
        assert_eq!(bench.reserve(0, &key(4), "b"), Some(KeyReply::Granted));
    }
}

/// Guards against keys that are forgotten within their retention, or kept for ever.
#[test]
fn retention_ends_finished_keys() {
    let mut bench = Bench::new(Limits::default());
    let (done, open) = (key(0), key(1));
    bench.reserve(0, &done, "a");
    bench.complete(&done, "a", ok("yes"));
    bench.reserve(0, &open, "b");
    bench.now += 24 * HOUR - 10 * SECOND;
    for _ in 0..RANGE_COUNT {
        bench.tick(0, SECOND / 10);
    }
    assert!(bench.held(0, &done).is_some() && bench.held(1, &done).is_some());
    for _ in 0..2 * RANGE_COUNT {
        bench.tick(0, SECOND / 10);
    }
    assert_eq!((bench.held(0, &done), bench.held(1, &done)), (None, None));
    assert_eq!(bench.held(0, &open).unwrap().state, RecordState::Granted);
}

/// Guards against a snapshot, or the records of a fence, that exceed one message or lose records.
#[test]
fn snapshot_travels_in_parts() {
    let mut bench = Bench::new(Limits { bytes_per_range: 8 << 20, ..Limits::default() });
    let body = vec![7; 300 << 10];
    for number in 0..12 {
        bench.reserve(0, &key(number), "a");
        bench.complete(&key(number), "a", Some(Response::new(200, &body)));
    }
    bench.copies.clear();
    bench.assign(2, 0, 2, 1, &[0, 2]);
    let parts = bench.copies.clone();
    assert!(parts.len() >= 3 && parts[0].snapshot_start && parts.last().unwrap().snapshot_end);
    for part in &parts {
        let bytes: usize = part.records.iter().map(KeyRecord::size).sum();
        assert!(bytes < 2 << 20, "{bytes} bytes in one message");
    }
    assert_eq!(bench.tables[2].len(), 12);

    bench.tables[1] = KeyTable::new(endpoint(1).agent, Limits::default());
    bench.assign(3, 1, 2, 1, &[1, 2]);
    assert_eq!((bench.tables[1].len(), bench.tables[1].serving_ranges()), (12, vec![(RANGE, 3)]));
    let fence = FenceRequest { range: RANGE, epoch: 2, after: None };
    assert_eq!(bench.tables[2].handle_fence(&fence, bench.now).0.witness_epoch, 3);
}

/// Guards against more messages to the witness than the costs in docs/at-most-once.md.
#[test]
fn copies_per_request() {
    let mut bench = Bench::new(Limits::default());
    bench.copies.clear();
    bench.reserve(0, &key(0), "a");
    bench.complete(&key(0), "a", ok("yes"));
    assert_eq!(bench.copies.len(), 2);
    bench.cut = vec![1];
    (1..51).for_each(|number| assert_eq!(bench.reserve(0, &key(number), "a"), None));
    bench.cut.clear();
    bench.tick(0, SECOND / 2);
    let granted = Action::Reply { ticket: 1, reply: KeyReply::Granted };
    assert_eq!(bench.rest.iter().filter(|action| **action == granted).count(), 50);
    let sequences: std::collections::BTreeSet<u64> =
        bench.copies.iter().skip(2).map(|copy| copy.sequence).collect();
    assert_eq!(sequences.len(), 2);
}

/// Guards against finished records that never reach the journal when the store fails.
#[test]
fn journal_retries_failed_batches() {
    let mut bench = Bench::new(Limits::default());
    bench.reserve(0, &key(0), "a");
    assert_eq!(bench.tables[0].next_batch(bench.now), None);
    bench.complete(&key(0), "a", ok("yes"));
    let first = bench.tables[0].next_batch(bench.now).unwrap();
    assert_eq!(bench.tables[0].next_batch(bench.now), None);
    bench.tables[0].batch_failed(first.id);
    let second = bench.tables[0].next_batch(bench.now).unwrap();
    assert_eq!(second.records, first.records);
    bench.tables[0].batch_stored(second.id);
    assert_eq!(bench.tables[0].next_batch(bench.now), None);
}
