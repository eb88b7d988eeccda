use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_connections::{
    ClientConnections, ControlListener, RequestLimits, control_server,
};
use skylarkpulley_process::{StartError, bind, new_incarnation, open_metrics};
use skylarkpulley_proto::v1::agent_server::AgentServer;
use skylarkpulley_proto::{AgentClients, MAX_MESSAGE_BYTES, Secret, v1};
use skylarkpulley_store::{
    CircuitSettings, GuardedStore, HttpSettings, HttpStore, LimiterSettings, Store,
};
use skylarkpulley_tables::PoolKind;
use skylarkpulley_telemetry::{Decisions, Event, Metrics};
use skylarkpulley_types::{AgentId, Clock};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tonic::service::interceptor::InterceptedService;

use crate::Settings;
use crate::announce_server::serve_announcements;
use crate::entry_session::{SessionContext, hello};
use crate::gangs_task::Gangs;
use crate::keys_task::Keys;
use crate::runner::Runner;
use crate::service::AgentService;
use crate::sessions::run_sessions;
use crate::state_task::{StateParts, run_state};

/// Number of recent decisions that are kept for `explain`. At about 200 bytes each, they take 1 MB.
const DECISION_CAPACITY: usize = 5_000;

/// Longest time that a graceful shutdown waits for the handover of the key ranges of this agent,
/// after the entries have been told that the agent is leaving.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an idle connection for announcements is closed. Upstreams announce themselves every
/// 500 ms.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A running agent: its listeners, its sessions to the entries and the tasks behind them.
pub struct Agent {
    clock: Arc<dyn Clock>,
    control: SocketAddr,
    decisions: Arc<Decisions>,
    drain_timeout: Duration,
    id: AgentId,
    leaving: watch::Sender<bool>,
    announcement_address: Option<SocketAddr>,
    gangs: Option<Gangs>,
    keys: Keys,
    runner: Option<Runner>,
    stop_server: Option<oneshot::Sender<()>>,
    tasks: JoinSet<()>,
}

impl Agent {
    /// Opens the listeners and starts the tasks of the agent.
    ///
    /// # Errors
    /// [`StartError`] names the listener or setting that cannot be used.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let secret =
            Secret::new(&settings.secret).map_err(|source| StartError::Secret { source })?;
        let id = AgentId::new(&settings.name, new_incarnation());
        let metrics = open_metrics("agent", settings.metrics)?;
        let listener = bind(settings.control).await?;
        let control = listener.local_addr().unwrap_or(settings.control);
        let store = open_store(&settings, &clock, id.incarnation)?;
        let decisions = Arc::new(Decisions::new(DECISION_CAPACITY));
        let clients = Arc::new(AgentClients::new(secret.clone()));
        let keys = Keys::new(&id, Arc::clone(&clients), store.clone(), Arc::clone(&clock));
        let mut agent = Self {
            clock: Arc::clone(&clock),
            control,
            decisions: Arc::clone(&decisions),
            drain_timeout: settings.drain_timeout,
            gangs: None,
            id: id.clone(),
            keys,
            leaving: watch::Sender::new(false),
            announcement_address: None,
            runner: None,
            stop_server: None,
            tasks: JoinSet::new(),
        };
        match settings.kind {
            PoolKind::Upstream => agent.start_runner(&settings, metrics).await?,
            PoolKind::Worker => agent.start_gangs(&settings, clients),
        }
        let memory_mb = settings.resources().memory_mb;
        agent.start_server(ControlListener::new(listener, memory_mb), secret.clone());
        agent.start_sessions(&settings, secret, store);
        let text = format!("pool {}: agent {id} started, control address {control}", settings.pool);
        decisions.record(clock.now(), Event::ProcessStarted, &settings.name, &text);
        Ok(agent)
    }

    /// Returns the name and the incarnation of this agent.
    pub fn id(&self) -> &AgentId {
        &self.id
    }

    /// Returns the address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the address at which the upstream announces itself, or `None` for the agent of a
    /// worker.
    pub fn announcement_address(&self) -> Option<SocketAddr> {
        self.announcement_address
    }

    /// Stops gracefully: refuses new work, waits for running work for up to the drain timeout,
    /// waits for the handover of the key ranges and then closes the listeners and sessions.
    pub async fn shut_down(mut self) {
        let name = self.id.name.clone();
        let now = self.clock.now();
        self.decisions.record(
            now,
            Event::ShutdownStarted,
            &name,
            "a stop was requested; no new work is accepted",
        );
        self.leaving.send_replace(true);
        let drain = async {
            if let Some(runner) = &self.runner {
                runner.drain().await;
            }
            if let Some(gangs) = &self.gangs {
                gangs.drain().await;
            }
        };
        let _ = tokio::time::timeout(self.drain_timeout, drain).await;
        self.wait_for_handover().await;
        if let Some(stop) = self.stop_server.take() {
            let _ = stop.send(());
        }
        self.decisions.record(
            self.clock.now(),
            Event::ShutdownDone,
            &name,
            "drain and handover ended or timed out",
        );
        self.tasks.shutdown().await;
    }

    /// Stops all tasks immediately, without draining, to simulate a crash.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }

    async fn wait_for_handover(&self) {
        let mut range_notes = self.keys.range_notes();
        let handover = async {
            while !range_notes.borrow_and_update().is_empty() {
                if range_notes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(HANDOVER_TIMEOUT, handover).await;
    }

    async fn start_runner(
        &mut self,
        settings: &Settings,
        metrics: Metrics,
    ) -> Result<(), StartError> {
        let listener = bind(settings.local).await?;
        self.announcement_address = listener.local_addr().ok();
        let limits = RequestLimits { idle_timeout: IDLE_TIMEOUT, ..RequestLimits::default() };
        let resources = settings.resources();
        let connections = ClientConnections::start(resources, Arc::new(limits), metrics.clone());
        let runner = Runner::new(self.id.incarnation, Arc::clone(&self.clock), metrics);
        self.runner = Some(runner.clone());
        self.tasks.spawn(async move {
            if let Err(error) = serve_announcements(listener, runner, connections).await {
                tracing::error!(
                    %error,
                    "the announcement listener failed; the upstream counts as not serving"
                );
            }
        });
        Ok(())
    }

    fn start_gangs(&mut self, settings: &Settings, clients: Arc<AgentClients>) {
        let gangs = Gangs::new(
            &self.id,
            settings.worker,
            clients,
            Arc::clone(&self.clock),
            Arc::clone(&self.decisions),
        );
        self.gangs = Some(gangs);
    }

    fn start_server(&mut self, listener: ControlListener, secret: Secret) {
        let service = AgentService {
            agent: self.id.clone(),
            clock: Arc::clone(&self.clock),
            decisions: Arc::clone(&self.decisions),
            gangs: self.gangs.clone(),
            keys: self.keys.clone(),
            runner: self.runner.clone(),
        };
        let server = AgentServer::new(service)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let (stop, stopped) = oneshot::channel::<()>();
        self.stop_server = Some(stop);
        let router = control_server()
            .http2_keepalive_interval(Some(Duration::from_secs(1)))
            .http2_keepalive_timeout(Some(Duration::from_millis(1500)))
            .add_service(InterceptedService::new(server, secret.verifier()));
        self.tasks.spawn(async move {
            let incoming = listener.connections();
            let shutdown = async {
                let _ = stopped.await;
            };
            if let Err(error) = router.serve_with_incoming_shutdown(incoming, shutdown).await {
                tracing::error!(%error, "the control listener failed; the agent is unreachable");
            }
        });
    }

    fn start_sessions(
        &mut self,
        settings: &Settings,
        secret: Secret,
        store: Option<Arc<dyn Store>>,
    ) {
        let (inbound, messages) = mpsc::channel(64);
        let (named_entries, addresses) = mpsc::channel::<BTreeSet<SocketAddr>>(16);
        let report = watch::Sender::new(v1::Report::default());
        let context = SessionContext {
            clock: Arc::clone(&self.clock),
            decisions: Arc::clone(&self.decisions),
            origin: self.clock.now(),
            hello: hello(
                settings,
                self.id.incarnation,
                settings.advertised.unwrap_or(self.control),
            ),
            inbound,
            leaving: self.leaving.subscribe(),
            named_entries,
            report: report.subscribe(),
            secret,
        };
        let parts = StateParts {
            clock: Arc::clone(&self.clock),
            decisions: Arc::clone(&self.decisions),
            gangs: self.gangs.clone(),
            keys: self.keys.clone(),
            pool: settings.pool.clone(),
            runner: self.runner.clone(),
        };
        self.tasks.spawn(run_state(parts, messages, report));
        self.tasks.spawn(run_sessions(settings.entries.clone(), context, addresses, store));
    }
}

fn open_store(
    settings: &Settings,
    clock: &Arc<dyn Clock>,
    seed: u64,
) -> Result<Option<Arc<dyn Store>>, StartError> {
    let Some(url) = &settings.store else { return Ok(None) };
    let store = HttpStore::new(url, HttpSettings::default())
        .map_err(|error| StartError::Store { url: url.clone(), detail: error.to_string() })?;
    // The key journal writes one batch every 500 ms, which is 2 writes per second.
    let limiter = LimiterSettings { burst: 4, rate: 2.0, ..LimiterSettings::default() };
    let circuit = CircuitSettings::default();
    let clock = Arc::clone(clock);
    let guarded = GuardedStore::with_settings(Arc::new(store), clock, seed, limiter, circuit);
    Ok(Some(Arc::new(guarded)))
}
