use std::net::SocketAddr;
use std::time::{Duration, Instant};

use skylarkpulley_agent::Agent;
use skylarkpulley_demo::{Deployment, DeploymentSpec, Vm};
use skylarkpulley_keys::{KeyRange, RangeMap, range_of};

/// Time after which a wait fails, so that a test does not hang.
pub const WAIT_LIMIT: Duration = Duration::from_secs(40);

pub const POOLS: &str = r#"
[[pool]]
name = "balance"
kind = "upstream"
slots = 8
connections = 64
[[pool.team]]
name = "north"
weight = 2
[[pool.team]]
name = "south"
weight = 1
"#;

const ROUTE_TEMPLATE: &str = r#"
[[route]]
name = "NAME"
path = "/NAME"
pool = "balance"
priority = 0
idempotent = KIND
deadline = "TIME"
queue = 5000
retry_percent = 100
body_limit = "16KiB"
"#;

/// Routes `settle` (not idempotent, 2 s), `slow` (not idempotent, 20 s) and `check` (idempotent).
pub fn routes() -> String {
    let routes = [("settle", "false", "2s"), ("slow", "false", "20s"), ("check", "true", "20s")];
    routes
        .into_iter()
        .map(|(name, idempotent, deadline)| route(name, idempotent, deadline))
        .collect()
}

pub fn route(name: &str, idempotent: &str, deadline: &str) -> String {
    ROUTE_TEMPLATE.replace("NAME", name).replace("KIND", idempotent).replace("TIME", deadline)
}

pub fn spec() -> DeploymentSpec {
    DeploymentSpec::new(&routes(), POOLS)
}

/// Starts a deployment and waits until its key ranges are served.
pub async fn start(spec: DeploymentSpec) -> Deployment {
    let deployment = Deployment::start(spec).await.expect("the deployment starts");
    wait_keys(&deployment).await;
    deployment
}

pub async fn wait_keys(deployment: &Deployment) {
    for entry in deployment.live_entries() {
        for number in 0.. {
            let key = format!("ready-{}-{number}", entry.callers);
            let reply = Call::new("/slow/ready").with_key(&key).send(entry.callers).await;
            if reply.outcome == "answered" {
                break;
            }
            assert!(number < 400, "the key ranges were not served after 400 requests: {reply:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

/// The reply that a caller receives. A broken connection has status 0 and the outcome `broken`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub body: String,
}

impl Call {
    pub fn new(path: &str) -> Self {
        let headers = vec![("skylarkpulley-team".to_owned(), "north".to_owned())];
        Self { path: path.to_owned(), headers, body: "content".to_owned() }
    }

    pub fn with_key(self, key: &str) -> Self {
        self.with_header("idempotency-key", key)
    }

    pub fn with_service_time(self, ms: u64) -> Self {
        self.with_header("service-ms", &ms.to_string())
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn with_body(self, body: &str) -> Self {
        Self { body: body.to_owned(), ..self }
    }

    pub async fn send(&self, entry: SocketAddr) -> Reply {
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .timeout(WAIT_LIMIT)
            .build()
            .expect("a client");
        self.send_with(&client, entry).await
    }

    pub async fn send_with(&self, client: &reqwest::Client, entry: SocketAddr) -> Reply {
        let broken = |error: reqwest::Error| Reply {
            status: 0,
            outcome: "broken".to_owned(),
            body: error.to_string(),
        };
        let mut request =
            client.post(format!("http://{entry}{}", self.path)).body(self.body.clone());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return broken(error),
        };
        let status = response.status().as_u16();
        let outcome = response.headers().get("skylarkpulley-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
        match response.text().await {
            Ok(body) => Reply { status, outcome, body },
            Err(error) => broken(error),
        }
    }
}

pub async fn wait_until(what: &str, mut test: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !test() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub fn executions(deployment: &Deployment, key: &str) -> u64 {
    deployment.upstreams.iter().map(|vm| vm.upstream.executions(key)).sum()
}

/// Returns the upstream that executed `key`.
pub fn executing_upstream(deployment: &Deployment, key: &str) -> Option<usize> {
    deployment.upstreams.iter().position(|vm| vm.upstream.executions(key) > 0)
}

/// Returns the range of a key of `route` from the map in the store.
pub fn key_range(deployment: &Deployment, route: &str, key: &str) -> KeyRange {
    let row = deployment.store.row("key-ranges").expect("a map");
    let map: RangeMap = serde_json::from_slice(&row.value).expect("a valid map");
    map.range(range_of(&format!("{route}/{key}"))).expect("a range").clone()
}

pub fn upstream_index(deployment: &Deployment, name: &str) -> usize {
    let index = deployment.upstreams.iter().position(|vm| vm.settings.name == name);
    index.expect("an upstream of the deployment")
}

/// Kills an agent and starts it again with no state in memory.
pub async fn restart_agent(deployment: &mut Deployment, index: usize) {
    deployment.upstreams[index].agent.kill();
    let settings = deployment.upstreams[index].settings.clone();
    deployment.upstreams[index].agent = start_agent_when_free(deployment, &settings).await;
}

async fn start_agent_when_free(
    deployment: &Deployment,
    settings: &skylarkpulley_agent::Settings,
) -> Vm<Agent> {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        // The listener of the killed agent may not be closed yet.
        match deployment.start_agent(settings).await {
            Ok(agent) => return agent,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
