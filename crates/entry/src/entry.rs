use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use skylarkpulley_connections::{
    ClientConnections, ControlListener, RequestLimits, ServerSettings, control_server, serve,
};
use skylarkpulley_process::{StartError, bind, new_incarnation, open_metrics};
use skylarkpulley_proto::v1::entry_server::EntryServer;
use skylarkpulley_proto::{AgentClients, MAX_MESSAGE_BYTES, Secret};
use skylarkpulley_store::{CircuitState, GuardedStore, HttpSettings, HttpStore, Store};
use skylarkpulley_telemetry::{Event, Metrics};
use skylarkpulley_types::Clock;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tonic::service::interceptor::InterceptedService;

use crate::Settings;
use crate::admin_server::{Admin, serve_admin};
use crate::callers::Callers;
use crate::config_task::ConfigTask;
use crate::control_service::ControlService;
use crate::hub::Hub;
use crate::jobs::Jobs;
use crate::peers::Peers;
use crate::ranges_task::RangesTask;
use crate::registration::keep_registered;
use crate::router_task::Router;
use crate::status::StatusTask;

/// Delay after readiness is withdrawn, in which the platform's load balancer stops sending new
/// connections.
const BALANCER_DELAY: Duration = Duration::from_millis(500);

/// Response to a caller that did not send a complete head within the time limit. No endpoint has received
/// the request yet, so the response is written directly to the connection.
const HEADER_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\nskylarkpulley-outcome: not-run\r\n\r\n";

/// A running entry.
pub struct Entry {
    admin_address: SocketAddr,
    caller_address: SocketAddr,
    control_address: SocketAddr,
    drain_timeout: Duration,
    hub: Arc<Hub>,
    /// Number of open requests.
    open: Arc<AtomicUsize>,
    ready: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

struct Listeners {
    admin: TcpListener,
    callers: TcpListener,
    control: TcpListener,
}

impl Entry {
    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    /// [`StartError`] names the listener or setting that cannot be used.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let secret =
            Secret::new(&settings.secret).map_err(|source| StartError::Secret { source })?;
        let metrics = open_metrics("entry", settings.metrics)?;
        let store = HttpStore::new(&settings.store, HttpSettings::default()).map_err(|error| {
            StartError::Store { url: settings.store.clone(), detail: error.to_string() }
        })?;
        let guarded = GuardedStore::new(Arc::new(store), Arc::clone(&clock), new_incarnation());
        let states = guarded.states();
        let store: Arc<dyn Store> = Arc::new(guarded);
        let listeners = Listeners {
            admin: bind(settings.admin).await?,
            callers: bind(settings.callers).await?,
            control: bind(settings.control).await?,
        };
        let mut entry = Self::assemble(settings, clock, secret, metrics, store, listeners);
        entry.tasks.spawn(watch_store(Arc::clone(&entry.hub), states));
        Ok(entry)
    }

    fn assemble(
        settings: Settings,
        clock: Arc<dyn Clock>,
        secret: Secret,
        metrics: Metrics,
        store: Arc<dyn Store>,
        listeners: Listeners,
    ) -> Self {
        let (to_router, router_events) = mpsc::unbounded_channel();
        let (to_ranges, range_events) = mpsc::unbounded_channel();
        let (to_jobs, job_events) = mpsc::unbounded_channel();
        let (to_status, status_events) = mpsc::unbounded_channel();
        let incarnation = new_incarnation();
        let (to_peers, discovered_entries) = mpsc::unbounded_channel();
        let hub = Arc::new(Hub::new(
            &settings.name,
            incarnation,
            AgentClients::new(secret.clone()),
            Arc::clone(&clock),
            metrics,
            vec![to_router, to_ranges, to_jobs, to_status],
            to_peers,
        ));
        let address =
            |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
        let mut entry = Self {
            admin_address: address(&listeners.admin, settings.admin),
            caller_address: address(&listeners.callers, settings.callers),
            control_address: address(&listeners.control, settings.control),
            drain_timeout: settings.drain_timeout,
            hub: Arc::clone(&hub),
            open: Arc::new(AtomicUsize::new(0)),
            ready: Arc::new(AtomicBool::new(true)),
            stop: watch::Sender::new(false),
            tasks: JoinSet::new(),
        };
        let router = Router::new(&hub, router_events, incarnation);
        let config = ConfigTask::new(&hub, Arc::clone(&store));
        let jobs = Jobs::new(&hub, Arc::clone(&store), job_events, incarnation);
        let status = StatusTask::new(&hub, router.clone(), jobs.clone(), status_events);
        entry.tasks.spawn(keep_registered(
            Arc::clone(&hub),
            Arc::clone(&store),
            entry.control_address,
        ));
        entry.tasks.spawn(RangesTask::new(Arc::clone(&hub), store).run(range_events));
        let peers = Peers::new(
            Arc::clone(&hub),
            config.clone(),
            jobs.clone(),
            entry.control_address,
            settings.peers.clone(),
            secret.clone(),
        );
        entry.tasks.spawn(peers.run(discovered_entries));
        let resources = settings.resources();
        entry.serve_control(
            listeners.control,
            secret,
            config.clone(),
            jobs.clone(),
            resources.memory_mb,
        );
        let connections = client_connections(&settings, hub.metrics.clone());
        entry.serve_callers(
            listeners.callers,
            &settings,
            router,
            jobs.clone(),
            incarnation,
            connections.clone(),
        );
        let admin =
            Admin { config, hub: Arc::clone(&hub), jobs, ready: Arc::clone(&entry.ready), status };
        entry.tasks.spawn(serve_admin(listeners.admin, admin, connections));
        let text = format!(
            "callers {} admin {} control {}",
            entry.caller_address, entry.admin_address, entry.control_address
        );
        hub.decisions.record(clock.now(), Event::ProcessStarted, &settings.name, &text);
        entry
    }

    /// Returns the address to which callers send requests.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the operators' interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address of the control listener.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Withdraws readiness, waits for open requests at most `drain_timeout`, and stops.
    pub async fn shut_down(mut self) {
        let hub = Arc::clone(&self.hub);
        let record = |event, text: &str| {
            hub.decisions.record(hub.clock.now(), event, &hub.name, text);
        };
        record(Event::ShutdownStarted, "signal");
        self.ready.store(false, Ordering::Release);
        tokio::time::sleep(BALANCER_DELAY).await;
        self.stop.send_replace(true);
        let no_open_requests = async {
            while self.open.load(Ordering::Acquire) > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let drained = tokio::time::timeout(self.drain_timeout, no_open_requests).await.is_ok();
        // The last responses may not have been written to their connections yet.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let text = if drained {
            "all open requests ended"
        } else {
            "some requests were still open after the drain timeout"
        };
        record(Event::ShutdownDone, text);
        self.tasks.shutdown().await;
    }

    /// Stops at once without finishing open requests, like a crash.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }

    fn serve_control(
        &mut self,
        listener: TcpListener,
        secret: Secret,
        config: ConfigTask,
        jobs: Jobs,
        memory_mb: Option<f64>,
    ) {
        let service = ControlService::new(Arc::clone(&self.hub), config, jobs);
        let server = EntryServer::new(service)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let router = control_server()
            .http2_keepalive_interval(Some(Duration::from_secs(1)))
            .http2_keepalive_timeout(Some(Duration::from_millis(1500)))
            .add_service(InterceptedService::new(server, secret.verifier()));
        self.tasks.spawn(async move {
            let incoming = ControlListener::new(listener, memory_mb).connections();
            if let Err(error) = router.serve_with_incoming(incoming).await {
                tracing::error!(%error, "the control listener failed; agents cannot connect");
            }
        });
    }

    fn serve_callers(
        &mut self,
        listener: TcpListener,
        settings: &Settings,
        router: Router,
        jobs: Jobs,
        incarnation: u64,
        connections: Arc<ClientConnections>,
    ) {
        let callers = Callers {
            hub: Arc::clone(&self.hub),
            jobs,
            open: Arc::clone(&self.open),
            open_limit: settings.open_limit,
            prefix: format!("{}-{incarnation:x}", settings.name),
            read_timeout: settings.read_timeout,
            router,
            sequence: AtomicU64::new(1),
        };
        let mut stop = self.stop.subscribe();
        let timeout = self.drain_timeout;
        self.tasks.spawn(async move {
            let stopped = async move {
                let _ = stop.wait_for(|stop| *stop).await;
            };
            let server = ServerSettings::new()
                .with_grace(timeout)
                .with_timeout_response(HEADER_TIMEOUT_RESPONSE);
            if let Err(error) = serve(listener, callers, connections, server, stopped).await {
                tracing::error!(%error, "the caller listener failed; callers cannot connect");
            }
        });
    }
}

/// Returns the connections of all HTTP listeners. docs/wire.md sets no limit on idle connections, and
/// one on the time of a body that the callers' endpoint applies itself.
fn client_connections(settings: &Settings, metrics: Metrics) -> Arc<ClientConnections> {
    let limits = RequestLimits {
        head_timeout: settings.read_timeout,
        idle_timeout: Duration::MAX,
        slow_body_timeout: Duration::MAX,
        ..RequestLimits::default()
    };
    ClientConnections::start(settings.resources(), Arc::new(limits), metrics)
}

/// Records when the store becomes unavailable and when it is available again.
async fn watch_store(hub: Arc<Hub>, mut states: watch::Receiver<CircuitState>) {
    let mut down = false;
    while states.changed().await.is_ok() {
        let state = *states.borrow_and_update();
        let event = match (down, state) {
            (false, CircuitState::Down) => Event::StoreUnavailable,
            (true, CircuitState::Up) => Event::StoreRestored,
            _ => continue,
        };
        down = !down;
        hub.decisions.record(hub.clock.now(), event, "store", &state.to_string());
    }
}
