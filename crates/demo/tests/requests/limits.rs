use std::net::SocketAddr;
use std::time::Duration;

use skylarkpulley_demo::{Deployment, DeploymentSpec};
use skylarkpulley_standins::UpstreamFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::{Call, POOLS, Reply, route, spec, start, wait_until};

fn runs(deployment: &Deployment) -> u64 {
    deployment.upstreams.iter().map(|vm| vm.upstream.runs()).sum()
}

/// Sends `count` requests to the entries in rotation, with at most `open` of them open at once.
async fn send_many(deployment: &Deployment, call: &Call, count: usize, open: usize) -> Vec<Reply> {
    use futures::StreamExt;
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.callers).collect();
    let sends = (0..count).map(|number| call.send_with(&client, entries[number % entries.len()]));
    futures::stream::iter(sends).buffer_unordered(open).collect().await
}

/// Guards against more running requests than slots when two entries load one pool. The deadline is
/// long, so that no expected wait on a busy machine exceeds it.
#[tokio::test(flavor = "multi_thread")]
async fn slots_never_exceeded() {
    let routes = route("slow", "false", "20s") + &route("check", "true", "600s");
    let deployment = start(DeploymentSpec::new(&routes, POOLS)).await;
    let call = Call::new("/check").with_service_time(20);
    let replies = send_many(&deployment, &call, 1500, 150).await;
    for reply in replies {
        assert_eq!(reply.outcome, "answered", "{reply:?}");
    }
    let most: Vec<_> = deployment.upstreams.iter().map(|vm| vm.upstream.most_active()).collect();
    assert!(most.iter().all(|most| *most <= 8), "{most:?}");
    assert!(most.contains(&8), "the load did not fill any upstream: {most:?}");
}

/// Guards against an upstream that gets more requests than the others because it answers them
/// immediately with an error.
#[tokio::test(flavor = "multi_thread")]
async fn failing_upstream_avoided() {
    let deployment = start(spec()).await;
    deployment.upstreams[0].upstream.set_fault(Some(UpstreamFault::Error));
    let call = Call::new("/check").with_service_time(10);
    let before: Vec<_> = deployment.upstreams.iter().map(|vm| vm.upstream.runs()).collect();
    send_many(&deployment, &call, 1000, 24).await;
    let after = deployment.upstreams.iter().map(|vm| vm.upstream.runs());
    let new_runs: Vec<_> = after.zip(before).map(|(after, before)| after - before).collect();
    println!("runs with upstream 0 failing: {new_runs:?}");
    assert!(4 * new_runs[0] < new_runs[1].min(new_runs[2]), "{new_runs:?}");
}

/// Guards against invalid input that is executed, that closes the connection without a response, or
/// that gets another error than docs/wire.md states.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_refused() {
    let spec = spec().with_limits(10_000, Duration::from_millis(500));
    let deployment = start(spec).await;
    let entry = deployment.entries[0].callers;
    let before = runs(&deployment);
    let check = Call::new("/check");
    let cases = [
        (check.clone().with_body(&"b".repeat(16 * 1024 + 1)), 413),
        (Call::new(&format!("/check/{}", "p".repeat(4096))), 414),
        (check.clone().with_header("x-large", &"h".repeat(17 * 1024)), 431),
        (Call::new("/nowhere"), 404),
        (Call::new("/checks"), 404),
        (Call { headers: Vec::new(), ..check.clone() }, 400),
        (
            Call { headers: vec![("skylarkpulley-team".into(), "east".into())], ..check.clone() },
            403,
        ),
        (check.clone().with_header("skylarkpulley-deadline-ms", "soon"), 400),
        (check.clone().with_header("skylarkpulley-deadline-ms", "0"), 400),
    ];
    let mut failures = Vec::new();
    for (call, status) in cases {
        let reply = call.send(entry).await;
        if (reply.status, reply.outcome.as_str()) != (status, "not-run") {
            failures.push(format!("{status} expected for {:.60}: {reply:?}", format!("{call:?}")));
        }
    }
    let head = "POST /check HTTP/1.1\r\nhost: x\r\nskylarkpulley-team: north\r\n";
    let many: String = (0..150).map(|number| format!("x-{number}: v\r\n")).collect();
    // Input that the HTTP parser refuses does not become a request, so the response has a status
    // and no outcome.
    let raw_cases = [
        ("slow body", format!("{head}content-length: 10\r\n\r\nhalf"), "408", true),
        ("150 headers", format!("{head}{many}\r\n"), "431", false),
        ("not HTTP", "hello\r\n\r\n".to_owned(), "400", false),
    ];
    for (name, text, status, outcome) in raw_cases {
        let answer = send_raw(entry, &text).await;
        let expected = answer.starts_with(&format!("HTTP/1.1 {status}"))
            && answer.to_lowercase().contains("skylarkpulley-outcome: not-run") == outcome;
        if !expected {
            failures.push(format!("{status} expected for {name}: {answer:?}"));
        }
    }
    assert_eq!(runs(&deployment), before);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a connection that stays open without limit because its caller does not finish the
/// headers.
#[tokio::test(flavor = "multi_thread")]
async fn slow_headers_refused() {
    let deployment = start(spec().with_limits(10_000, Duration::from_millis(500))).await;
    let answer =
        send_raw(deployment.entries[0].callers, "POST /check HTTP/1.1\r\nhost: x\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
}

/// Sends `text`, keeps the connection open, and returns what the entry sends until it closes the
/// connection or 10 s have passed.
async fn send_raw(entry: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a send");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(10), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against an entry that accepts more open requests than its limit, or that still refuses
/// requests after the open ones have ended.
#[tokio::test(flavor = "multi_thread")]
async fn flood_refused() {
    let spec = spec().with_entries(1).with_limits(20, Duration::from_secs(5));
    let deployment = start(spec).await;
    let entry = deployment.entries[0].callers;
    let check = Call::new("/check").with_service_time(500);
    // The entry refuses the keyed request before it looks up the key, so the outcome of an earlier
    // attempt is unknown.
    let cases = [(check.clone(), "not-run"), (check.with_key("flood"), "unknown")];
    for (call, outcome) in cases {
        let replies = send_many(&deployment, &call, 60, 60).await;
        let answered = replies.iter().filter(|reply| reply.outcome == "answered").count();
        let refused = replies.iter().filter(|reply| reply.status == 503);
        let refused = refused.filter(|reply| reply.outcome == outcome).count();
        assert!(answered >= 20, "{answered} answered");
        assert_eq!(answered + refused, 60, "{outcome}");
        wait_until("the end of all runs", || {
            deployment.upstreams.iter().all(|vm| vm.upstream.active() == 0)
        })
        .await;
        assert_eq!(call.send(entry).await.outcome, "answered");
    }
}
