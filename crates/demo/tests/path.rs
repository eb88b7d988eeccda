//! Tests the whole path from a caller through an entry and an agent to an upstream or a worker, and
//! back.

use std::time::Duration;

use skylarkpulley_admin::{JobState, Preemption, SubmitReply, SubmitRequest};
use skylarkpulley_demo::{Deployment, DeploymentSpec};
use skylarkpulley_types::{Locality, Shape};

const ROUTES: &str = include_str!("../../../samples/canteen/routes.toml");
const POOLS: &str = include_str!("../../../samples/canteen/pools.toml");

async fn deployment() -> Deployment {
    Deployment::start(DeploymentSpec::new(ROUTES, POOLS)).await.expect("the deployment starts")
}

/// Guards against a failure between a caller and an upstream, for an idempotent and a keyed route.
#[tokio::test(flavor = "multi_thread")]
async fn request_answered() {
    let deployment = deployment().await;
    let client = reqwest::Client::new();
    for (path, key) in [("/check/1", None), ("/settle/1", Some("key-1"))] {
        let mut request =
            client.post(deployment.url(path)).header("skylarkpulley-team", "campus").body("x");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.expect("an answer");
        let outcome = response.headers()["skylarkpulley-outcome"].clone();
        let status = response.status();
        let body = response.text().await.expect("a body");
        assert_eq!((status.as_u16(), outcome.as_bytes()), (200, &b"answered"[..]), "{body}");
    }
}

/// Guards against a gang that starts without some of its members, or whose end is not recorded.
#[tokio::test(flavor = "multi_thread")]
async fn gang_finished() {
    let deployment = deployment().await;
    let job = SubmitRequest {
        claim: Some("campus-menus".to_owned()),
        cores: 8,
        kind: "rebuild".to_owned(),
        memory_mib: 1024,
        preemption: Preemption::Checkpoint,
        route: "rebuild".to_owned(),
        run_time_ms: 500,
        shape: Shape::new(8, 2, Locality::Rack),
        team: "campus".to_owned(),
        urgent: true,
    };
    let admin = deployment.admin().expect("an entry");
    let reply = admin.submit(&job).await.expect("an answer");
    let SubmitReply::Accepted { id, .. } = reply else { panic!("refused: {reply:?}") };
    let mut states = Vec::new();
    for _ in 0..1000 {
        let view = admin.job(&id).await.expect("the job");
        if states.last() != Some(&view.state) {
            states.push(view.state);
        }
        if view.state == JobState::Done {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let lines = admin.explain(&id).await.expect("records").lines;
    assert_eq!(states.last(), Some(&JobState::Done), "{states:?} {lines:#?}");
    let starts: u64 = deployment.workers.iter().map(|worker| worker.worker.starts()).sum();
    assert_eq!(starts, 2, "{lines:#?}");
}
