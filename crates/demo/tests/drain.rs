//! Tests draining through the operators' interface.

use skylarkpulley_demo::{Deployment, DeploymentSpec};

const ROUTES: &str = include_str!("../../../samples/canteen/routes.toml");
const POOLS: &str = include_str!("../../../samples/canteen/pools.toml");

/// Guards against a drain command that has an effect only at the entry that received it.
#[tokio::test(flavor = "multi_thread")]
async fn drain_upstream_and_worker() {
    let deployment = Deployment::start(DeploymentSpec::new(ROUTES, POOLS)).await.expect("a start");
    let upstream = deployment.upstreams[0].settings.name.clone();
    let worker = deployment.workers[0].settings.name.clone();
    let admin = deployment.admin().expect("an entry");
    for member in [&upstream, &worker] {
        assert_eq!(admin.drain(member).await.expect("an answer").member, *member);
    }
    assert!(admin.drain("nobody").await.is_err());
    for entry in &deployment.entries {
        let url = format!("http://{}", entry.admin);
        let other = skylarkpulley_admin::Client::new(&url).expect("an address");
        let mut states = Vec::new();
        for _ in 0..500 {
            let status = other.status().await.expect("a status");
            let upstreams = status.upstreams.iter().filter(|member| member.name == upstream);
            let workers = status.workers.iter().filter(|member| member.name == worker);
            states = upstreams.map(|member| member.state.clone()).collect();
            states.extend(workers.map(|member| member.state.clone()));
            if states == ["leaving", "draining"] {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(states, ["leaving", "draining"]);
    }
}
