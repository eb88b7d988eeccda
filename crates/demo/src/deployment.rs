use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::{ApplyReply, ApplyRequest, Client, Status};
use skylarkpulley_agent::{Agent, Settings as AgentSettings};
use skylarkpulley_entry::{Entry, Settings as EntrySettings};
use skylarkpulley_standins::{TableService, Upstream, UpstreamSettings, Worker, WorkerSettings};
use skylarkpulley_tables::{PoolKind, Tables, parse};
use skylarkpulley_telemetry::LogFormat;
use skylarkpulley_types::SystemClock;

use crate::{DemoError, Vm};

const SECRET: &str = "a shared secret for loopback";

/// Pause between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Number of entries.
    pub entries: usize,
    /// Limit of open requests at one entry.
    pub open_limit: usize,
    /// Text of the pools table.
    pub pools: String,
    /// Time within which a caller must send its whole request.
    pub read_timeout: Duration,
    /// Text of the routes table.
    pub routes: String,
    /// Service time of the upstreams.
    pub service_time: Duration,
    /// Number of upstreams in each upstream pool.
    pub upstreams: usize,
}

impl DeploymentSpec {
    /// Returns a deployment of two entries and three upstreams with the given tables.
    pub fn new(routes: &str, pools: &str) -> Self {
        Self {
            entries: 2,
            open_limit: 10_000,
            pools: pools.to_owned(),
            read_timeout: Duration::from_secs(5),
            routes: routes.to_owned(),
            service_time: Duration::from_millis(5),
            upstreams: 3,
        }
    }

    /// Sets the number of entries.
    pub fn with_entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets the number of upstreams in each upstream pool.
    pub fn with_upstreams(self, upstreams: usize) -> Self {
        Self { upstreams, ..self }
    }

    /// Sets the limits of an entry for callers: open requests, and the time to send one request.
    pub fn with_limits(self, open_limit: usize, read_timeout: Duration) -> Self {
        Self { open_limit, read_timeout, ..self }
    }

    /// Sets the service time of the upstreams.
    pub fn with_service_time(self, service_time: Duration) -> Self {
        Self { service_time, ..self }
    }
}

/// An entry and its VM.
pub struct EntryVm {
    /// Address of the operators' interface.
    pub admin: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// The VM.
    pub vm: Vm<Entry>,
}

/// An upstream with its agent.
pub struct UpstreamVm {
    /// The agent's VM.
    pub agent: Vm<Agent>,
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// The stand-in for the upstream.
    pub upstream: Upstream,
}

/// A worker with its agent.
pub struct WorkerVm {
    /// The agent's VM.
    pub agent: Vm<Agent>,
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// The stand-in for the worker.
    pub worker: Worker,
}

/// All programs of a deployment, each on a VM of its own, on loopback ports that the kernel
/// assigns.
pub struct Deployment {
    /// Entries.
    pub entries: Vec<EntryVm>,
    /// Stand-in for the platform's table service.
    pub store: TableService,
    /// Upstreams in order of their pools.
    pub upstreams: Vec<UpstreamVm>,
    /// Workers in order of their pools, failure domains and racks.
    pub workers: Vec<WorkerVm>,
    spec: DeploymentSpec,
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

impl Deployment {
    /// Starts all programs, applies the tables, and waits until every agent has them and all
    /// upstreams serve.
    ///
    /// # Errors
    /// [`DemoError`] names what did not start.
    pub async fn start(spec: DeploymentSpec) -> Result<Self, DemoError> {
        let store = TableService::start(loopback())
            .await
            .map_err(|error| DemoError::Start { detail: error.to_string() })?;
        let mut deployment = Self {
            entries: Vec::new(),
            spec: spec.clone(),
            store,
            upstreams: Vec::new(),
            workers: Vec::new(),
        };
        for _ in 0..spec.entries {
            deployment.add_entry().await?;
        }
        deployment.apply(0, &spec.routes, &spec.pools).await?;
        let tables = deployment.tables()?;
        for pool in &tables.pools {
            match pool.kind {
                PoolKind::Upstream => deployment.add_upstreams(&pool.name).await?,
                PoolKind::Worker => deployment.add_workers(pool).await?,
            }
        }
        deployment.wait_joined().await?;
        Ok(deployment)
    }

    /// Starts one more entry, with the running entries as its peers.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn add_entry(&mut self) -> Result<(), DemoError> {
        let index = self.entries.len() + 1;
        let settings = EntrySettings {
            admin: loopback(),
            callers: loopback(),
            control: loopback(),
            domain: format!("domain-{}", index % 3),
            drain_timeout: Duration::from_secs(10),
            log_filter: "info".to_owned(),
            log_format: LogFormat::Plain,
            max_fds: None,
            memory_mb: None,
            metrics: None,
            name: format!("entry-{index}"),
            open_limit: self.spec.open_limit,
            peers: self.live_entries().map(|entry| entry.control).collect(),
            read_timeout: self.spec.read_timeout,
            secret: SECRET.to_owned(),
            store: self.store.url(),
        };
        let vm = Vm::start(Entry::start(settings, Arc::new(SystemClock::new()))).await?;
        let Some(entry) = vm.program() else { return Ok(()) };
        let (admin, callers, control) =
            (entry.admin_address(), entry.caller_address(), entry.control_address());
        self.entries.push(EntryVm { admin, callers, control, vm });
        Ok(())
    }

    /// Returns the running entries.
    pub fn live_entries(&self) -> impl Iterator<Item = &EntryVm> {
        self.entries.iter().filter(|entry| entry.vm.program().is_some())
    }

    /// Returns the callers' URL of the first running entry, with `path`.
    pub fn url(&self, path: &str) -> String {
        let callers = self.live_entries().next().map_or_else(loopback, |entry| entry.callers);
        format!("http://{callers}{path}")
    }

    /// Returns an operator's client of the first running entry.
    ///
    /// # Errors
    /// When no entry runs.
    pub fn admin(&self) -> Result<Client, DemoError> {
        let entry = self.live_entries().next();
        let entry =
            entry.ok_or_else(|| DemoError::Start { detail: "no entry is running".to_owned() })?;
        Client::new(&format!("http://{}", entry.admin))
            .map_err(|error| DemoError::Start { detail: error.to_string() })
    }

    /// Applies an edit of the tables and returns the new version.
    ///
    /// # Errors
    /// When the edit is not accepted.
    pub async fn apply(
        &self,
        from_version: u64,
        routes: &str,
        pools: &str,
    ) -> Result<u64, DemoError> {
        let edit = ApplyRequest {
            edit_id: format!("edit-after-{from_version}"),
            from_version,
            pools: pools.to_owned(),
            routes: routes.to_owned(),
        };
        match self.admin()?.apply(&edit).await {
            Ok(ApplyReply::Accepted { version }) => Ok(version),
            Ok(other) => Err(DemoError::Apply { detail: format!("{other:?}") }),
            Err(error) => Err(DemoError::Apply { detail: error.to_string() }),
        }
    }

    /// Returns the status of the system as the first running entry reports it.
    pub async fn status(&self) -> Option<Status> {
        self.admin().ok()?.status().await.ok()
    }

    /// Waits until `test` holds for the status.
    ///
    /// # Errors
    /// [`DemoError::TimedOut`] when it does not hold within 20 s.
    pub async fn wait_status(
        &self,
        condition: &str,
        test: impl Fn(&Status) -> bool,
    ) -> Result<Status, DemoError> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Some(status) = self.status().await
                && test(&status)
            {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(DemoError::TimedOut { condition: condition.to_owned() })
    }

    /// Starts an agent with the given settings and the running entries, as a replaced VM does.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_agent(&self, settings: &AgentSettings) -> Result<Vm<Agent>, DemoError> {
        let entries = self.live_entries().map(|entry| entry.control).collect();
        let settings = AgentSettings { entries, ..settings.clone() };
        Vm::start(Agent::start(settings, Arc::new(SystemClock::new()))).await
    }

    async fn add_upstreams(&mut self, pool: &str) -> Result<(), DemoError> {
        for index in 0..self.spec.upstreams {
            let settings = self.agent_settings(
                &format!("{pool}-{:02}", index + 1),
                PoolKind::Upstream,
                pool,
                &format!("domain-{}", index % 3),
            );
            self.add_upstream(settings).await?;
        }
        Ok(())
    }

    async fn add_upstream(&mut self, mut settings: AgentSettings) -> Result<(), DemoError> {
        let agent = self.start_agent(&settings).await?;
        // The upstream announces itself at this address, so later incarnations of the agent must
        // listen there too.
        settings.local =
            agent.program().and_then(Agent::announcement_address).unwrap_or_else(loopback);
        let upstream = UpstreamSettings::new(loopback(), self.spec.service_time)
            .with_agent(&format!("http://{}", settings.local), 1);
        let upstream = Upstream::start(upstream)
            .await
            .map_err(|error| DemoError::Start { detail: error.to_string() })?;
        self.upstreams.push(UpstreamVm { agent, settings, upstream });
        Ok(())
    }

    async fn add_workers(&mut self, pool: &skylarkpulley_tables::Pool) -> Result<(), DemoError> {
        for domain in &pool.domains {
            for (rack, workers) in domain.racks.iter().enumerate() {
                for index in 0..*workers {
                    let name = format!("{}-{}-{rack}-{index}", pool.name, domain.name);
                    let worker = Worker::start(
                        WorkerSettings::new(loopback(), pool.accelerators)
                            .with_lag(Duration::from_millis(200)),
                    );
                    let mut worker = worker
                        .await
                        .map_err(|error| DemoError::Start { detail: error.to_string() })?;
                    let settings = AgentSettings {
                        rack: format!("{}-{rack}", domain.name),
                        worker: Some(worker.server().address()),
                        ..self.agent_settings(&name, PoolKind::Worker, &pool.name, &domain.name)
                    };
                    let agent = self.start_agent(&settings).await?;
                    self.workers.push(WorkerVm { agent, settings, worker });
                }
            }
        }
        Ok(())
    }

    /// Returns the settings of an agent called `name`.
    pub fn agent_settings(
        &self,
        name: &str,
        kind: PoolKind,
        pool: &str,
        domain: &str,
    ) -> AgentSettings {
        AgentSettings {
            advertised: None,
            control: loopback(),
            domain: domain.to_owned(),
            drain_timeout: Duration::from_secs(10),
            entries: Vec::new(),
            kind,
            local: loopback(),
            log_filter: "info".to_owned(),
            log_format: LogFormat::Plain,
            max_fds: None,
            memory_mb: None,
            metrics: None,
            name: name.to_owned(),
            pool: pool.to_owned(),
            rack: String::new(),
            secret: SECRET.to_owned(),
            store: Some(self.store.url()),
            worker: None,
        }
    }

    fn tables(&self) -> Result<Tables, DemoError> {
        parse(self.spec.routes.as_bytes(), self.spec.pools.as_bytes())
            .map_err(|faults| DemoError::Apply { detail: format!("{faults:?}") })
    }

    async fn wait_joined(&self) -> Result<(), DemoError> {
        let (upstreams, agents) = (self.upstreams.len(), self.upstreams.len() + self.workers.len());
        self.wait_status("the first version of the tables at all agents", |status| {
            let serving = status.upstreams.iter().filter(|member| member.state == "serving");
            let up_to_date = status
                .processes
                .iter()
                .filter(|process| process.kind == "agent" && process.version >= 1);
            serving.count() == upstreams && up_to_date.count() == agents
        })
        .await?;
        self.wait_ready().await
    }

    async fn wait_ready(&self) -> Result<(), DemoError> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in self.live_entries() {
            let url = format!("http://{}/readyz", entry.admin);
            while !reqwest::get(&url).await.is_ok_and(|reply| reply.status().is_success()) {
                if Instant::now() >= deadline {
                    return Err(DemoError::TimedOut { condition: "readiness".to_owned() });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
