use std::time::{Duration, Instant};

use skylarkpulley_demo::Deployment;
use skylarkpulley_standins::UpstreamFault;
use skylarkpulley_store::Fault as StoreFault;

use crate::caller::{
    Call, PATIENCE, Reply, executions, range, restart_agent, spec, start, target_of,
    upstream_named, wait_until,
};

/// What strikes while a keyed request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strike {
    Nothing,
    EntryDies,
    OwnerDies,
    WitnessDies,
    TargetDies,
    Upstream(UpstreamFault),
}

struct Row {
    strike: Strike,
    store_down: bool,
    /// What the first caller may see: status and outcome.
    first: (u16, &'static str),
    /// How a repeat through the other entry must end once all processes are back.
    repeat: (u16, &'static str),
}

const fn row(
    strike: Strike,
    store_down: bool,
    first: (u16, &'static str),
    repeat: (u16, &'static str),
) -> Row {
    Row { strike, store_down, first, repeat }
}

const ANSWERED: (u16, &str) = (200, "answered");
const BROKEN: (u16, &str) = (0, "broken");
const LATE: (u16, &str) = (504, "unknown");
const UNKNOWN: (u16, &str) = (502, "unknown");

const ROWS: [Row; 15] = [
    row(Strike::Nothing, false, ANSWERED, ANSWERED),
    row(Strike::Nothing, true, ANSWERED, ANSWERED),
    row(Strike::EntryDies, false, BROKEN, ANSWERED),
    row(Strike::EntryDies, true, BROKEN, ANSWERED),
    row(Strike::OwnerDies, false, ANSWERED, ANSWERED),
    row(Strike::OwnerDies, true, ANSWERED, ANSWERED),
    row(Strike::WitnessDies, false, ANSWERED, ANSWERED),
    row(Strike::WitnessDies, true, ANSWERED, ANSWERED),
    row(Strike::TargetDies, false, LATE, UNKNOWN),
    row(Strike::TargetDies, true, LATE, UNKNOWN),
    row(Strike::Upstream(UpstreamFault::Close), false, LATE, UNKNOWN),
    row(Strike::Upstream(UpstreamFault::Truncated), false, LATE, UNKNOWN),
    row(Strike::Upstream(UpstreamFault::Freeze), false, LATE, UNKNOWN),
    row(Strike::Upstream(UpstreamFault::Error), false, (500, "answered"), (500, "answered")),
    row(Strike::Upstream(UpstreamFault::Error), true, (500, "answered"), (500, "answered")),
];

/// Guards against a second execution of a key and against an untrue outcome, whatever fails while
/// the request runs.
#[tokio::test(flavor = "multi_thread")]
async fn key_repeated_after_faults() {
    let mut failures = Vec::new();
    for rows in ROWS.chunks(5) {
        let cases = rows.iter().map(check);
        failures.extend(futures::future::join_all(cases).await.into_iter().flatten());
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn check(row: &Row) -> Option<String> {
    let mut deployment = start(spec().with_upstreams(4)).await;
    if row.store_down {
        deployment.store.faults().set(Some(StoreFault::Outage));
    }
    let (call, key, first) = run_first(&mut deployment, row.strike).await;
    let name = format!("{:?} store down {}", row.strike, row.store_down);
    let ran = executions(&deployment, &key);
    let mut problems = Vec::new();
    if (first.status, first.outcome.as_str()) != row.first {
        problems.push(format!("first {first:?}"));
    }
    let entry = deployment.entries[1].callers;
    let mut repeats: Vec<Reply> = Vec::new();
    let mut deadline = Instant::now() + Duration::from_secs(15);
    let mut outage = row.store_down;
    loop {
        let reply = call.send(entry).await;
        if reply.outcome == "not-run" && executions(&deployment, &key) > 0 {
            problems.push(format!("not-run after a run: {reply:?}"));
        }
        if repeats.last() != Some(&reply) {
            repeats.push(reply.clone());
        }
        // A repeat while its key is in doubt may be refused honestly; a recorded end is final.
        if (reply.status, reply.outcome.as_str()) == row.repeat && !is_passing(&reply) {
            break;
        }
        if Instant::now() >= deadline || problems.len() > 10 {
            if outage {
                outage = false;
                deployment.store.faults().set(None);
                deadline = Instant::now() + PATIENCE;
                continue;
            }
            problems.push(format!("repeats never ended as expected: {repeats:?}"));
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let last = repeats.last()?;
    if first.outcome == "answered" && last.outcome == "answered" && first.body != last.body {
        problems.push(format!("another answer: {first:?} {last:?}"));
    }
    if last.status == 200 && last.body != format!("POST /settle {key} 1\ncontent") {
        problems.push(format!("not the request's own answer: {last:?}"));
    }
    let total = executions(&deployment, &key);
    if ran != 1 || total != 1 {
        problems.push(format!("{ran} and then {total} executions"));
    }
    (!problems.is_empty()).then(|| format!("{name}: {problems:?}"))
}

/// The range cannot be reached at this moment, so the reply says nothing about the key.
fn is_passing(reply: &Reply) -> bool {
    reply.body.contains("cannot be ruled out")
}

/// Sends a keyed request through the first entry, lets the fault strike while it runs and returns
/// its end. Dying agents hold one part only, so keys are tried until the parts fall apart.
async fn run_first(deployment: &mut Deployment, strike: Strike) -> (Call, String, Reply) {
    if let Strike::Upstream(fault) = strike {
        for vm in &deployment.upstreams {
            vm.upstream.set_fault(Some(fault));
        }
    }
    let entry = deployment.entries[0].callers;
    for number in 0..100 {
        let key = format!("key-{number}");
        let call = Call::new("/settle").with_key(&key).with_service(400);
        let sent = call.clone();
        let reply = tokio::spawn(async move { sent.send(entry).await });
        wait_until("the run", || executions(deployment, &key) > 0).await;
        let target = target_of(deployment, &key).expect("a target");
        let range = range(deployment, "settle", &key);
        let place = |place: &Option<skylarkpulley_keys::AgentEndpoint>| {
            upstream_named(deployment, &place.as_ref().expect("an agent").agent.name)
        };
        let (owner, witness) = (place(&range.owner), place(&range.witness));
        let struck = match strike {
            Strike::OwnerDies => owner,
            Strike::WitnessDies => witness,
            _ => target,
        };
        let apart = owner != target && witness != target;
        let agent_dies =
            matches!(strike, Strike::OwnerDies | Strike::WitnessDies | Strike::TargetDies);
        if agent_dies && !apart {
            reply.await.expect("a reply");
            continue;
        }
        if agent_dies {
            restart_agent(deployment, struck).await;
        }
        if strike == Strike::EntryDies {
            deployment.entries[0].vm.kill();
        }
        let reply = reply.await.expect("a reply");
        for vm in &deployment.upstreams {
            vm.upstream.set_fault(None);
        }
        return (call, key, reply);
    }
    panic!("owner, witness and target of no key fell apart")
}

/// Guards against a request without a usable key that runs, and against a key that stands for two
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn key_refused() {
    let deployment = start(spec()).await;
    let entry = deployment.entries[0].callers;
    let long = "k".repeat(129);
    let settle = Call::new("/settle/1");
    let used = settle.clone().with_key("used");
    assert_eq!(used.send(entry).await.outcome, "answered");
    let before: u64 = deployment.upstreams.iter().map(|vm| vm.upstream.runs()).sum();
    let rows = [
        (settle.clone(), 400),
        (settle.clone().with_key(""), 400),
        (settle.clone().with_key(&long), 400),
        (settle.clone().with_key("with space"), 400),
        (settle.clone().with_key("caf\u{e9}"), 400),
        (settle.clone().with_key("one").with_key("two"), 400),
        (used.clone().with_body("other"), 422),
        (Call { path: "/settle/2".to_owned(), ..used }, 422),
    ];
    for (call, status) in rows {
        for entry in &deployment.entries {
            let reply = call.send(entry.callers).await;
            assert_eq!((reply.status, reply.outcome.as_str()), (status, "not-run"), "{call:?}");
        }
    }
    let after: u64 = deployment.upstreams.iter().map(|vm| vm.upstream.runs()).sum();
    assert_eq!(before, after);
}

/// Guards against idempotent requests that wait for a dead agent until their deadline instead of
/// running elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_rerun_elsewhere() {
    let mut deployment = start(spec()).await;
    let calls = (0..12).map(|number| {
        let entry = deployment.entries[number % 2].callers;
        let call = Call::new("/check").with_service(400);
        tokio::spawn(async move { call.send(entry).await })
    });
    let calls: Vec<_> = calls.collect();
    wait_until("runs", || deployment.upstreams[0].upstream.active() > 0).await;
    deployment.upstreams[0].agent.kill();
    for call in calls {
        let reply = call.await.expect("a reply");
        assert_eq!((reply.status, reply.outcome.as_str()), (200, "answered"), "{reply:?}");
    }
}

/// Guards against "not run" for a repeat of an executed request that is refused for another cause.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_refused() {
    let deployment = start(spec()).await;
    let used = Call::new("/settle").with_key("used");
    let first = used.send(deployment.entries[0].callers).await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    for vm in &deployment.upstreams {
        vm.upstream.leave();
    }
    for (number, entry) in deployment.entries.iter().enumerate() {
        let fresh = Call::new("/settle").with_key(&format!("fresh-{number}"));
        let fresh = fresh.send(entry.callers).await;
        assert_eq!(fresh.outcome, "not-run", "{fresh:?}");
        let repeat = used.send(entry.callers).await;
        assert_eq!(repeat, first);
    }
}
