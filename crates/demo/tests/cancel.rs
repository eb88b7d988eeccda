//! Tests the cancellation of a request whose caller closes its connection.

use std::time::{Duration, Instant};

use skylarkpulley_demo::{Deployment, DeploymentSpec};

const ROUTES: &str = r#"
[[route]]
name = "slow"
path = "/slow"
pool = "service"
priority = 0
idempotent = true
deadline = "30s"
"#;

const POOLS: &str = r#"
[[pool]]
name = "service"
kind = "upstream"
slots = 1
connections = 8
[[pool.team]]
name = "a"
weight = 1
"#;

/// Guards against a queued request that stays in the queue, and is run later, after its caller has
/// closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn queued_request_cancelled() {
    let spec = DeploymentSpec::new(ROUTES, POOLS)
        .with_entries(1)
        .with_upstreams(1)
        .with_service_time(Duration::from_secs(3));
    let deployment = Deployment::start(spec).await.expect("the deployment starts");
    let url = deployment.url("/slow");
    let send = move |timeout: Duration| {
        let request = reqwest::Client::new().post(&url).header("skylarkpulley-team", "a");
        request.timeout(timeout).send()
    };
    let first = tokio::spawn(send(Duration::from_secs(20)));
    deployment
        .wait_status("the first request running", |status| status.upstreams[0].busy == 1)
        .await
        .expect("it runs");
    assert!(send(Duration::from_millis(500)).await.is_err(), "the second caller times out");
    let timed_out_at = Instant::now();
    deployment
        .wait_status("an empty queue", |status| status.queues.is_empty())
        .await
        .expect("the queue is empty");
    let elapsed = timed_out_at.elapsed();
    first.await.expect("no panic").expect("the first request is answered");
    assert_eq!(deployment.upstreams[0].upstream.runs(), 1, "the queue was empty after {elapsed:?}");
}
