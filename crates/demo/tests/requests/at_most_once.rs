use std::time::{Duration, Instant};

use skylarkpulley_demo::Deployment;
use skylarkpulley_standins::UpstreamFault;
use skylarkpulley_store::Fault as StoreFault;

use crate::caller::{
    Call, Reply, WAIT_LIMIT, executing_upstream, executions, key_range, restart_agent, spec, start,
    upstream_index, wait_until,
};

/// Fault that is injected while a keyed request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedFault {
    None,
    EntryKilled,
    OwnerKilled,
    WitnessKilled,
    TargetKilled,
    Upstream(UpstreamFault),
}

struct Case {
    fault: InjectedFault,
    store_down: bool,
    /// Status and outcome that the first caller must get.
    first: (u16, &'static str),
    /// Status and outcome that a repeat through the other entry must finally get, after the killed
    /// agent was restarted and, if need be, the store is available again.
    repeat: (u16, &'static str),
}

const fn case(
    fault: InjectedFault,
    store_down: bool,
    first: (u16, &'static str),
    repeat: (u16, &'static str),
) -> Case {
    Case { fault, store_down, first, repeat }
}

const ANSWERED: (u16, &str) = (200, "answered");
const BROKEN: (u16, &str) = (0, "broken");
const DEADLINE_EXCEEDED: (u16, &str) = (504, "unknown");
const UNKNOWN: (u16, &str) = (502, "unknown");

const CASES: [Case; 15] = [
    case(InjectedFault::None, false, ANSWERED, ANSWERED),
    case(InjectedFault::None, true, ANSWERED, ANSWERED),
    case(InjectedFault::EntryKilled, false, BROKEN, ANSWERED),
    case(InjectedFault::EntryKilled, true, BROKEN, ANSWERED),
    case(InjectedFault::OwnerKilled, false, ANSWERED, ANSWERED),
    case(InjectedFault::OwnerKilled, true, ANSWERED, ANSWERED),
    case(InjectedFault::WitnessKilled, false, ANSWERED, ANSWERED),
    case(InjectedFault::WitnessKilled, true, ANSWERED, ANSWERED),
    case(InjectedFault::TargetKilled, false, DEADLINE_EXCEEDED, UNKNOWN),
    case(InjectedFault::TargetKilled, true, DEADLINE_EXCEEDED, UNKNOWN),
    case(InjectedFault::Upstream(UpstreamFault::Close), false, DEADLINE_EXCEEDED, UNKNOWN),
    case(InjectedFault::Upstream(UpstreamFault::Truncated), false, DEADLINE_EXCEEDED, UNKNOWN),
    case(InjectedFault::Upstream(UpstreamFault::Freeze), false, DEADLINE_EXCEEDED, UNKNOWN),
    case(
        InjectedFault::Upstream(UpstreamFault::Error),
        false,
        (500, "answered"),
        (500, "answered"),
    ),
    case(InjectedFault::Upstream(UpstreamFault::Error), true, (500, "answered"), (500, "answered")),
];

/// Guards against a second execution of a key, and against a wrong outcome, when a process, an
/// upstream or the store fails while the request runs.
#[tokio::test(flavor = "multi_thread")]
async fn key_repeated_after_faults() {
    let mut failures = Vec::new();
    for cases in CASES.chunks(5) {
        let checks = cases.iter().map(check);
        failures.extend(futures::future::join_all(checks).await.into_iter().flatten());
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn check(case: &Case) -> Option<String> {
    let mut deployment = start(spec().with_upstreams(4)).await;
    if case.store_down {
        deployment.store.faults().set(Some(StoreFault::Outage));
    }
    let (call, key, first) = run_first(&mut deployment, case.fault).await;
    let name = format!("{:?} store down {}", case.fault, case.store_down);
    let first_executions = executions(&deployment, &key);
    let mut problems = Vec::new();
    if (first.status, first.outcome.as_str()) != case.first {
        problems.push(format!("the first caller got {first:?}"));
    }
    let entry = deployment.entries[1].callers;
    let mut repeats: Vec<Reply> = Vec::new();
    let mut deadline = Instant::now() + Duration::from_secs(15);
    let mut store_down = case.store_down;
    loop {
        let reply = call.send(entry).await;
        if reply.outcome == "not-run" && executions(&deployment, &key) > 0 {
            problems.push(format!("not-run after an execution: {reply:?}"));
        }
        if repeats.last() != Some(&reply) {
            repeats.push(reply.clone());
        }
        // While the outcome of the key is not confirmed, a repeat may be refused. A recorded
        // outcome is final.
        if (reply.status, reply.outcome.as_str()) == case.repeat && !is_transient(&reply) {
            break;
        }
        if Instant::now() >= deadline || problems.len() > 10 {
            if store_down {
                store_down = false;
                deployment.store.faults().set(None);
                deadline = Instant::now() + WAIT_LIMIT;
                continue;
            }
            problems.push(format!("no repeat got the expected reply: {repeats:?}"));
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let last = repeats.last()?;
    if first.outcome == "answered" && last.outcome == "answered" && first.body != last.body {
        problems.push(format!("the repeat got another answer: {first:?} {last:?}"));
    }
    if last.status == 200 && last.body != format!("POST /settle {key} 1\ncontent") {
        problems.push(format!("the answer is not that of this request: {last:?}"));
    }
    let total_executions = executions(&deployment, &key);
    if first_executions != 1 || total_executions != 1 {
        problems.push(format!(
            "{first_executions} executions after the first reply, {total_executions} at the end"
        ));
    }
    (!problems.is_empty()).then(|| format!("{name}: {problems:?}"))
}

/// Reports whether the key range could not be reached, so that the reply says nothing about the
/// key.
fn is_transient(reply: &Reply) -> bool {
    reply.body.contains("cannot be ruled out")
}

/// Sends a keyed request through the first entry, injects the fault while the request runs, and
/// returns the reply. An agent that is killed must have only one role for the key, so keys are
/// tried until neither the owner nor the witness of the key is the target.
async fn run_first(deployment: &mut Deployment, fault: InjectedFault) -> (Call, String, Reply) {
    if let InjectedFault::Upstream(upstream_fault) = fault {
        for vm in &deployment.upstreams {
            vm.upstream.set_fault(Some(upstream_fault));
        }
    }
    let entry = deployment.entries[0].callers;
    for number in 0..100 {
        let key = format!("key-{number}");
        let call = Call::new("/settle").with_key(&key).with_service_time(400);
        let sent = call.clone();
        let reply = tokio::spawn(async move { sent.send(entry).await });
        wait_until("the run of the request", || executions(deployment, &key) > 0).await;
        let target = executing_upstream(deployment, &key).expect("a target");
        let key_range = key_range(deployment, "settle", &key);
        let agent_index = |agent: &Option<skylarkpulley_keys::AgentEndpoint>| {
            upstream_index(deployment, &agent.as_ref().expect("an agent").agent.name)
        };
        let (owner, witness) = (agent_index(&key_range.owner), agent_index(&key_range.witness));
        let killed = match fault {
            InjectedFault::OwnerKilled => owner,
            InjectedFault::WitnessKilled => witness,
            _ => target,
        };
        let roles_separate = owner != target && witness != target;
        let agent_killed = matches!(
            fault,
            InjectedFault::OwnerKilled | InjectedFault::WitnessKilled | InjectedFault::TargetKilled
        );
        if agent_killed && !roles_separate {
            reply.await.expect("a reply");
            continue;
        }
        if agent_killed {
            restart_agent(deployment, killed).await;
        }
        if fault == InjectedFault::EntryKilled {
            deployment.entries[0].vm.kill();
        }
        let reply = reply.await.expect("a reply");
        for vm in &deployment.upstreams {
            vm.upstream.set_fault(None);
        }
        return (call, key, reply);
    }
    panic!("no key has a target that is neither its owner nor its witness")
}

/// Guards against the execution of a request with a missing or invalid key, and against a key that
/// is accepted for two different requests.
#[tokio::test(flavor = "multi_thread")]
async fn key_refused() {
    let deployment = start(spec()).await;
    let entry = deployment.entries[0].callers;
    let long = "k".repeat(129);
    let settle = Call::new("/settle/1");
    let used = settle.clone().with_key("used");
    assert_eq!(used.send(entry).await.outcome, "answered");
    let before: u64 = deployment.upstreams.iter().map(|vm| vm.upstream.runs()).sum();
    let cases = [
        (settle.clone(), 400),
        (settle.clone().with_key(""), 400),
        (settle.clone().with_key(&long), 400),
        (settle.clone().with_key("with space"), 400),
        (settle.clone().with_key("caf\u{e9}"), 400),
        (settle.clone().with_key("one").with_key("two"), 400),
        (used.clone().with_body("other"), 422),
        (Call { path: "/settle/2".to_owned(), ..used }, 422),
    ];
    for (call, status) in cases {
        for entry in &deployment.entries {
            let reply = call.send(entry.callers).await;
            assert_eq!((reply.status, reply.outcome.as_str()), (status, "not-run"), "{call:?}");
        }
    }
    let after: u64 = deployment.upstreams.iter().map(|vm| vm.upstream.runs()).sum();
    assert_eq!(before, after);
}

/// Guards against idempotent requests that wait until their deadline for an agent that was killed,
/// instead of being run by another upstream.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_rerun_elsewhere() {
    let mut deployment = start(spec()).await;
    let calls = (0..12).map(|number| {
        let entry = deployment.entries[number % 2].callers;
        let call = Call::new("/check").with_service_time(400);
        tokio::spawn(async move { call.send(entry).await })
    });
    let calls: Vec<_> = calls.collect();
    wait_until("a run at the first upstream", || deployment.upstreams[0].upstream.active() > 0)
        .await;
    deployment.upstreams[0].agent.kill();
    for call in calls {
        let reply = call.await.expect("a reply");
        assert_eq!((reply.status, reply.outcome.as_str()), (200, "answered"), "{reply:?}");
    }
}

/// Guards against the outcome "not run" for a repeat of an executed request, when no upstream is
/// left that could run it.
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
