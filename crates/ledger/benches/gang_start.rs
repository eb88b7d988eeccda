//! Benchmarks of holds, commits and gang leases at one ledger, without a network.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use skylarkpulley_ledger::{
    Action, Commit, Hold, Ledger, Member, MemberState, Ready, RenewReply, WorkerEvent,
};
use skylarkpulley_types::AgentId;

fn member(index: usize) -> Member {
    Member::new(AgentId::new(&format!("worker-{index}"), 1), "10.20.30.40:7400")
}

fn ledger(now: Instant) -> Ledger {
    Ledger::new(member(0).agent, 8, now).with_idle_worker(now)
}

fn commit(ledger: &mut Ledger, gang: &str, members: usize, now: Instant) -> Vec<Action> {
    let gang = gang.to_owned();
    let hold = Hold { gang: gang.clone(), epoch: 1, accelerators: 8, ..Hold::default() };
    ledger.hold(&hold, now);
    let members = (0..members).map(member).collect();
    ledger.commit(&Commit { gang, epoch: 1, members, task: Arc::new([]) }, now).1
}

/// Reports every member but the lead as ready and returns the first renewals.
fn report_members_ready(ledger: &mut Ledger, members: usize, now: Instant) -> Vec<Action> {
    let ready = |index| Ready {
        gang: "gang".to_owned(),
        epoch: 1,
        member: member(index).agent,
        stamp: 1,
        state: MemberState::Ready,
    };
    (1..members).flat_map(|index| ledger.handle_ready(&ready(index), now).1).collect()
}

/// Replies to every renewal and returns the next renewals.
fn reply_to_renewals(ledger: &mut Ledger, actions: &[Action], now: Instant) -> Vec<Action> {
    for action in actions {
        if let Action::SendRenew { to, renew } = action {
            let reply = RenewReply { state: MemberState::Running, stamp: renew.stamp + 1 };
            black_box(ledger.handle_renew_reply(to, renew, reply, now));
        }
    }
    ledger.tick(now + Duration::from_millis(500))
}

fn bench(c: &mut Criterion) {
    let now = Instant::now();
    let mut count = 0_u64;
    let mut single = ledger(now);
    c.bench_function("hold, commit, start and finish of a single task", |b| {
        b.iter(|| {
            count += 1;
            let gang = format!("task-{}", count % 4096);
            // The fence of an earlier gang with the same id would refuse the hold, so the ledger is
            // replaced before ids repeat.
            if count.is_multiple_of(4096) {
                single = ledger(now);
            }
            black_box(commit(&mut single, &gang, 1, now));
            single.handle_worker_event(&gang, 1, WorkerEvent::Finished, now)
        });
    });
    c.bench_function("lead starts a gang of 128", |b| {
        b.iter_batched_ref(
            || {
                let mut lead = ledger(now);
                commit(&mut lead, "gang", 128, now);
                lead
            },
            |lead| black_box(report_members_ready(lead, 128, now)),
            BatchSize::SmallInput,
        );
    });
    let mut lead = ledger(now);
    commit(&mut lead, "gang", 128, now);
    let first_renewals = report_members_ready(&mut lead, 128, now);
    c.bench_function("lead renews a gang of 128", |b| {
        b.iter_batched_ref(
            || lead.clone(),
            |lead| black_box(reply_to_renewals(lead, &first_renewals, now)),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
