//! Processor time of one keyed request at owner and witness, without the network.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use skylarkpulley_keys::{
    Action, AgentEndpoint, Attempt, KeyRange, KeyTable, Limits, RANGE_COUNT, RangeMap,
    ReserveRequest, Response, range_of,
};
use skylarkpulley_types::{AgentId, Digest};

fn endpoint(index: usize) -> AgentEndpoint {
    AgentEndpoint::new(AgentId::new(&format!("balance-agent-{index}"), 1), "10.20.30.40:7400")
}

/// Delivers the copies in `actions` of the owner to the witness until none is left.
fn exchange(tables: &mut [KeyTable; 2], mut actions: Vec<Action>, now: Instant) {
    while let Some(action) = actions.pop() {
        if let Action::Copy { copy, .. } = action {
            let (reply, _) = tables[1].handle_copy(&copy, now);
            actions.extend(tables[0].handle_copy_reply(reply, now));
        }
    }
}

/// Returns the tables of an owner and a witness that serve all ranges.
fn tables(now: Instant) -> [KeyTable; 2] {
    let mut tables = [0, 1].map(|index| KeyTable::new(endpoint(index).agent, Limits::default()));
    let (owner, witness) = (Some(endpoint(0)), Some(endpoint(1)));
    let range = KeyRange { epoch: 1, reset_epoch: 1, owner, witness, sealed: false };
    let map = RangeMap { version: 1, ranges: vec![range; RANGE_COUNT] };
    for index in [1, 0] {
        let actions = tables[index].apply_map(&map, now);
        exchange(&mut tables, actions, now);
    }
    tables
}

/// Reserves key `number` and completes it with a response.
fn reserve_and_complete(tables: &mut [KeyTable; 2], number: usize, now: Instant) {
    let key = format!("0192f0c1-7a2b-7cc3-8d4e-{number:012}");
    let (range, attempt_id) = (range_of(&key), format!("entry-3/{number}"));
    let request = ReserveRequest {
        range,
        epoch: 1,
        key: key.clone(),
        attempt: attempt_id.clone(),
        digest: Digest(number as u64),
        target: endpoint(2),
        budget: Duration::from_millis(800),
    };
    let actions = tables[0].reserve(1, request, now);
    exchange(tables, actions, now);
    let attempt = Attempt { range, key, attempt: attempt_id };
    let response = Some(Response::new(200, &[b'x'; 120]));
    let actions = tables[0].complete(1, &attempt, response, now);
    exchange(tables, actions, now);
}

fn bench(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut loaded = tables(now);
    (0..100_000).for_each(|number| reserve_and_complete(&mut loaded, number, now));
    criterion.bench_function("reserve and complete 1000 keys, 100,000 held", |bencher| {
        bencher.iter_batched_ref(
            || loaded.clone(),
            |tables| {
                (100_000..101_000).for_each(|number| reserve_and_complete(tables, number, now))
            },
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("tick of an owner, 100,000 held", |bencher| {
        bencher.iter(|| black_box(loaded[0].tick(now)));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = bench
}
criterion_main!(benches);
