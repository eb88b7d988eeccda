//! Memory per key. This test has a binary of its own because it reads the resident memory of the
//! whole process.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_keys::{
    Action, AgentEndpoint, Attempt, KeyRange, KeyRecord, KeyTable, Limits, RANGE_COUNT, RangeMap,
    RecordState, ReserveRequest, Response, range_of,
};
use skylarkpulley_types::{AgentId, Digest};

const KEYS: usize = 50_000;

fn endpoint(index: usize) -> AgentEndpoint {
    AgentEndpoint::new(AgentId::new(&format!("balance-agent-{index}"), 1), "10.20.30.40:7400")
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
}

/// Replaces the shared response of the record by a copy, as a message between processes does.
fn copy_response(record: &mut KeyRecord) {
    if let RecordState::Answered(response) = &record.state {
        record.state = RecordState::Answered(Arc::new(Response::clone(response)));
    }
}

/// Delivers the copies in `actions` of the owner to the witness until none is left.
fn exchange(tables: &mut [KeyTable; 2], mut actions: Vec<Action>, now: Instant) {
    while let Some(action) = actions.pop() {
        if let Action::Copy { mut copy, .. } = action {
            copy.records.iter_mut().for_each(copy_response);
            let (reply, _) = tables[1].handle_copy(&copy, now);
            actions.extend(tables[0].handle_copy_reply(reply, now));
        }
    }
}

/// Guards against an estimate of a table's memory that is far below its resident memory, which would
/// make the limit of bytes ineffective.
#[test]
fn table_memory_per_key() {
    let now = Instant::now();
    let mut tables = [0, 1].map(|index| KeyTable::new(endpoint(index).agent, Limits::default()));
    let (owner, witness) = (Some(endpoint(0)), Some(endpoint(1)));
    let range = KeyRange { epoch: 1, reset_epoch: 1, owner, witness, sealed: false };
    let map = RangeMap { version: 1, ranges: vec![range; RANGE_COUNT] };
    for index in [1, 0] {
        let actions = tables[index].apply_map(&map, now);
        exchange(&mut tables, actions, now);
    }
    let before = resident_bytes();
    for number in 0..KEYS {
        let key = format!("0192f0c1-7a2b-7cc3-8d4e-{number:012}");
        let attempt = format!("entry-3/7f3a91c2/{number}");
        let range = range_of(&key);
        let request = ReserveRequest {
            range,
            epoch: 1,
            key: key.clone(),
            attempt: attempt.clone(),
            digest: Digest(number as u64),
            target: endpoint(number % 11),
            budget: Duration::from_millis(800),
        };
        let actions = tables[0].reserve(1, request, now);
        exchange(&mut tables, actions, now);
        let mut response = Response::new(200, &[b'x'; 120]);
        response.headers.push(("content-type".to_owned(), "application/json".to_owned()));
        let attempt = Attempt { range, key, attempt };
        let actions = tables[0].complete(1, &attempt, Some(response), now);
        exchange(&mut tables, actions, now);
    }
    let resident = (resident_bytes() - before) / (2 * KEYS);
    let accounted = tables[1].bytes() / KEYS;
    assert_eq!(tables.each_ref().map(KeyTable::len), [KEYS, KEYS]);
    println!("per key and agent: {resident} bytes resident, {accounted} accounted");
    assert!(resident <= accounted * 5 / 4, "{resident} bytes resident, {accounted} accounted");
    assert!(accounted <= resident * 2, "{resident} bytes resident, {accounted} accounted");
}
