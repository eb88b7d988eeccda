use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures::StreamExt;
use skylarkpulley_demo::Deployment;
use skylarkpulley_standins::{LoadSettings, UpstreamFault, run_load};
use skylarkpulley_store::Fault as StoreFault;

use crate::caller::{Call, Reply, restart_agent, spec, start};

/// Guards against a second execution of any key, and against a wrong outcome, under many requests
/// with mixed faults.
#[tokio::test(flavor = "multi_thread")]
async fn volume_small() {
    run_volume(3_000, 3).await;
}

/// Runs the same check with the number of keys that the design requires; see
/// docs/requests-measured.md.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes"]
async fn volume_large() {
    run_volume(100_000, 40).await;
}

/// Sends `count` keyed requests, every one of them a second time through the other entry, while
/// upstreams fail a fraction of them. Each round does the next of three things in rotation: kill
/// and restart an agent, make the store unavailable, make the store available again.
async fn run_volume(count: u64, rounds: usize) {
    let mut deployment = start(spec().with_upstreams(4).with_service_time(Duration::ZERO)).await;
    for (seed, vm) in deployment.upstreams.iter().enumerate() {
        let mix = vec![
            (UpstreamFault::Error, 10),
            (UpstreamFault::Close, 5),
            (UpstreamFault::Truncated, 5),
            (UpstreamFault::Slow(Duration::from_millis(20)), 20),
        ];
        vm.upstream.set_mix(seed as u64, mix);
    }
    let since = Instant::now();
    let done = Arc::new(AtomicU64::new(0));
    let (first, second) = (deployment.entries[0].callers, deployment.entries[1].callers);
    let client = reqwest::Client::builder().no_proxy().retry(reqwest::retry::never()).build();
    let client = client.expect("a client");
    let counted = Arc::clone(&done);
    let requests = tokio::spawn(async move {
        let sends = (0..count).map(|number| {
            let (client, counted) = (client.clone(), Arc::clone(&counted));
            async move {
                let call = Call::new("/settle").with_key(&format!("volume-{number}"));
                let (one, two) = if number % 2 == 0 { (first, second) } else { (second, first) };
                let first = call.send_with(&client, one).await;
                let replies = [first, repeat_until_final(&call, &client, two).await];
                counted.fetch_add(1, Ordering::Relaxed);
                (number, replies)
            }
        });
        futures::stream::iter(sends).buffer_unordered(64).collect::<Vec<_>>().await
    });
    for round in 0..rounds {
        let required_count = (round as u64 + 1) * count / (rounds as u64 + 1);
        wait_ten_minutes("progress", || done.load(Ordering::Relaxed) >= required_count).await;
        match round % 3 {
            0 => {
                let index = round % deployment.upstreams.len();
                restart_agent(&mut deployment, index).await;
            }
            1 => deployment.store.faults().set(Some(StoreFault::Outage)),
            _ => deployment.store.faults().set(None),
        }
    }
    deployment.store.faults().set(None);
    let replies = requests.await.expect("all requests");
    let seconds = since.elapsed().as_secs_f64();
    check(&deployment, replies, seconds);
}

/// Repeats a request until its key is no longer in progress and its key range is not being handed
/// over.
async fn repeat_until_final(call: &Call, client: &reqwest::Client, entry: SocketAddr) -> Reply {
    let mut last = call.send_with(client, entry).await;
    for _ in 0..200 {
        let is_transient = last.status == 409 || last.body.contains("cannot be ruled out");
        if !is_transient {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        last = call.send_with(client, entry).await;
    }
    last
}

async fn wait_ten_minutes(what: &str, test: impl Fn() -> bool) {
    for _ in 0..20 {
        let waited = tokio::time::timeout(Duration::from_secs(30), async {
            while !test() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        if waited.await.is_ok() {
            return;
        }
    }
    panic!("timed out waiting for {what}");
}

fn check(deployment: &Deployment, replies: Vec<(u64, [Reply; 2])>, seconds: f64) {
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    let mut executions_by_key: BTreeMap<String, u64> = BTreeMap::new();
    for vm in &deployment.upstreams {
        for (key, count) in vm.upstream.executions_by_key() {
            *executions_by_key.entry(key).or_default() += count;
        }
    }
    let most_executions = executions_by_key.values().max().copied().unwrap_or(0);
    let count = replies.len();
    let mut violations = Vec::new();
    for (number, pair) in replies {
        let key = format!("volume-{number}");
        let executed = executions_by_key.get(&key).copied().unwrap_or(0);
        let not_run = pair.iter().all(|reply| reply.outcome == "not-run");
        let answers: Vec<_> = pair.iter().filter(|reply| reply.outcome == "answered").collect();
        let expected_body = format!("POST /settle {key} 1\ncontent");
        let body_mismatched =
            answers.iter().any(|reply| reply.status == 200 && reply.body != expected_body);
        let answers_differ = answers.len() == 2 && answers[0] != answers[1];
        // After the first reply showed that the request was executed, the second must not be
        // not-run.
        let execution_denied = pair[0].outcome == "answered" && pair[1].outcome == "not-run";
        if (not_run && executed > 0)
            || (!answers.is_empty() && executed != 1)
            || body_mismatched
            || answers_differ
            || execution_denied
        {
            violations.push((key, executed, pair.clone()));
        }
        for reply in pair {
            *outcomes.entry(format!("{} {}", reply.outcome, reply.status)).or_default() += 1;
        }
    }
    println!(
        "{count} keys, each sent twice, in {seconds:.1} s; most executions {most_executions}; \
         {outcomes:?}"
    );
    assert!(most_executions <= 1, "a key was executed {most_executions} times");
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Compares direct access to the upstreams with the path through entry and agent; prints figures
/// for docs/requests-measured.md.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn path_compared() {
    let deployment = start(spec().with_service_time(Duration::ZERO)).await;
    let direct: Vec<_> =
        deployment.upstreams.iter().map(|vm| vm.upstream.server().url() + "/check").collect();
    let entries: Vec<_> =
        deployment.entries.iter().map(|entry| format!("http://{}/check", entry.callers)).collect();
    let keyed: Vec<_> =
        deployment.entries.iter().map(|entry| format!("http://{}/slow", entry.callers)).collect();
    for (rate, count, open) in [(500.0, 5_000, 16), (100_000.0, 2_000_000, 16)] {
        for (name, urls) in [("direct", &direct), ("entry", &entries), ("entry keyed", &keyed)] {
            let urls: Vec<&str> = urls.iter().map(String::as_str).collect();
            let settings = LoadSettings::new(&urls, rate, count)
                .with_header("skylarkpulley-team", "north")
                .with_keys(&format!("{rate}-"))
                .with_open(open)
                .with_duration(Duration::from_secs(10));
            let report = run_load(&settings).await.expect("a report");
            println!("{name} at {rate}/s, {open} open: {report}");
        }
    }
}
