use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use skylarkpulley_telemetry::Metrics;
use tokio::sync::watch;

use crate::memory_budget::CHECK_INTERVAL;
use crate::{
    CloseCause, ConnectionId, ListenerKind, MemoryBudget, Phase, RequestLimitSource, RequestLimits,
    ShortOfMemory,
};

/// Memory for unfinished requests when the memory of the VM is not known.
const DEFAULT_BUDGET: usize = 16 << 20;

/// Descriptors that are reserved for the store, other entries, agents and workers.
const RESERVED_FDS: usize = 400;

/// Part of the memory of a VM that unfinished requests may hold, as a divisor.
const MEMORY_SHARE: f64 = 4.0;

/// Connections that are allowed in any case.
const MIN_CONNECTIONS: usize = 16;

/// Maximum number of connections when the limit of descriptors is not known. It is below the usual
/// limit of 1024 less the reserve.
const DEFAULT_CONNECTIONS: usize = 600;

/// Least time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Resources that the connections of a process may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionSettings {
    /// Memory of the VM in MB, if it is known.
    pub memory_mb: Option<f64>,
    /// Number of descriptors that the process may open, if it is known.
    pub max_fds: Option<f64>,
}

impl ConnectionSettings {
    /// Returns the settings with values of the system for those that are not known: the memory of the VM
    /// and the limit of descriptors of the process.
    pub fn or_from_system(self) -> Self {
        let memory = || {
            let info = rustix::system::sysinfo();
            let bytes = info.totalram as f64 * f64::from(info.mem_unit);
            bytes / f64::from(1 << 20)
        };
        Self {
            max_fds: self.max_fds.or(descriptor_limit()),
            memory_mb: Some(self.memory_mb.unwrap_or_else(memory)),
        }
    }
}

/// Returns the part `1 / divisor` of `memory_mb` in bytes; `default` when the memory is not known.
pub fn memory_share(memory_mb: Option<f64>, divisor: f64, default: usize) -> usize {
    let known = memory_mb.filter(|memory| *memory > 0.0);
    known.map_or(default, |mb| (mb * f64::from(1 << 20) / divisor) as usize)
}

/// Returns the number of descriptors that the process may open, if it is limited.
fn descriptor_limit() -> Option<f64> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.map(|limit| limit as f64)
}

/// Returns the number of connections that `max_fds` descriptors allow.
fn places(max_fds: f64) -> usize {
    (max_fds as usize).saturating_sub(RESERVED_FDS).max(MIN_CONNECTIONS)
}

struct State {
    budget: MemoryBudget,
    causes: BTreeMap<CloseCause, u64>,
    close: BTreeMap<ConnectionId, watch::Sender<Option<CloseCause>>>,
}

/// The connections of all HTTP listeners of a process.
pub struct ClientConnections {
    /// Number of connections that the budget has closed and whose sockets are still open.
    closing: watch::Sender<usize>,
    limits: Arc<dyn RequestLimitSource>,
    metrics: Metrics,
    state: Mutex<State>,
    stopping: AtomicBool,
}

/// A connection that counts. It returns what it holds when it is dropped.
pub struct Ticket {
    /// Whether a part of the body of the last request may not have been read.
    body_unread: AtomicBool,
    pub connections: Arc<ClientConnections>,
    closed: watch::Receiver<Option<CloseCause>>,
    pub id: ConnectionId,
}

impl Ticket {
    pub(crate) fn body_unread(&self) -> bool {
        self.body_unread.load(Ordering::Relaxed)
    }

    pub(crate) fn set_body_unread(&self, unread: bool) {
        self.body_unread.store(unread, Ordering::Relaxed);
    }

    /// Waits until the connection has to be closed, and returns the reason.
    pub(crate) async fn closed(&self) -> CloseCause {
        let mut closed = self.closed.clone();
        let cause = closed.wait_for(Option::is_some).await;
        cause.ok().and_then(|cause| *cause).unwrap_or(CloseCause::Refused)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.budget.close(self.id);
        if state.close.remove(&self.id).is_none() {
            self.connections.closing.send_modify(|closing| *closing -= 1);
        }
    }
}

impl ClientConnections {
    /// Returns the connections of a process, and starts to check them.
    pub fn start(
        settings: ConnectionSettings,
        limits: Arc<dyn RequestLimitSource>,
        metrics: Metrics,
    ) -> Arc<Self> {
        let budget = memory_share(settings.memory_mb, MEMORY_SHARE, DEFAULT_BUDGET);
        let stated = settings.max_fds.filter(|fds| *fds > 0.0);
        // The limit of the process may be lower than that of the VM.
        let allowed = descriptor_limit().map_or(usize::MAX, places);
        let places = stated.map_or(DEFAULT_CONNECTIONS, places).min(allowed);
        tracing::info!(budget, places, "limits for the connections of clients");
        Self::start_limited(budget, places, limits, metrics)
    }

    /// As [`ClientConnections::start`], with a budget in bytes and a number of places.
    pub(crate) fn start_limited(
        budget: usize,
        places: usize,
        limits: Arc<dyn RequestLimitSource>,
        metrics: Metrics,
    ) -> Arc<Self> {
        let state = State {
            budget: MemoryBudget::new(budget, places),
            causes: BTreeMap::new(),
            close: BTreeMap::new(),
        };
        let stopping = AtomicBool::new(false);
        let connections = Arc::new(Self {
            closing: watch::Sender::new(0),
            limits,
            metrics,
            state: Mutex::new(state),
            stopping,
        });
        let checked = Arc::downgrade(&connections);
        tokio::spawn(async move {
            let mut logged_at = Instant::now();
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                let Some(connections) = checked.upgrade() else { return };
                connections.sweep();
                if logged_at.elapsed() >= LOG_INTERVAL {
                    logged_at = Instant::now();
                    connections.report();
                }
            }
        });
        connections
    }

    /// Returns the limits that apply now.
    pub fn limits(&self) -> RequestLimits {
        self.limits.limits()
    }

    /// Closes stalled connections from now on.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Waits until the sockets of all connections that the budget has closed are closed. Accepting new
    /// ones before that would exceed the limit of descriptors.
    pub(crate) async fn wait_closed(&self) {
        // The channel lives as long as `self`.
        let _ = self.closing.subscribe().wait_for(|closing| *closing == 0).await;
    }

    pub(crate) fn open(self: &Arc<Self>, peer: IpAddr, listener: ListenerKind) -> Option<Ticket> {
        let mut state = self.lock();
        let Some((id, victim)) = state.budget.open(peer, listener, Instant::now()) else {
            state.count(CloseCause::Refused);
            return None;
        };
        self.close_all(&mut state, victim.map(|victim| (victim, CloseCause::Stalled)));
        let (close, closed) = watch::channel(None);
        state.close.insert(id, close);
        let body_unread = AtomicBool::new(false);
        Some(Ticket { body_unread, connections: self.clone(), closed, id })
    }

    pub(crate) fn enter(&self, id: ConnectionId, phase: Phase) {
        self.lock().budget.enter(id, phase, Instant::now());
    }

    pub(crate) fn receive(&self, id: ConnectionId, bytes: usize) -> Result<(), ShortOfMemory> {
        let mut state = self.lock();
        let result = state.budget.receive(id, bytes, Instant::now());
        if result.is_err() {
            state.count(CloseCause::Memory);
        }
        self.close_all(&mut state, result?.into_iter().map(|victim| (victim, CloseCause::Stalled)));
        Ok(())
    }

    /// Records that a part of an answer was sent, and whether a further part is waiting.
    pub(crate) fn send(&self, id: ConnectionId, waiting: bool) {
        self.lock().budget.send(id, waiting, Instant::now());
    }

    pub(crate) fn hold(&self, id: ConnectionId, bytes: usize) -> Result<(), ShortOfMemory> {
        let mut state = self.lock();
        let victims = state.budget.hold(id, bytes, Instant::now())?;
        self.close_all(&mut state, victims.into_iter().map(|victim| (victim, CloseCause::Stalled)));
        Ok(())
    }

    fn sweep(&self) {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let limits = self.limits();
        let mut state = self.lock();
        let closed = state.budget.sweep(Instant::now(), &limits, stopping);
        self.close_all(&mut state, closed);
    }

    /// Updates the metrics, and logs the connections that were closed since the last call.
    fn report(&self) {
        let (connections, held, causes) = {
            let mut state = self.lock();
            let causes = std::mem::take(&mut state.causes);
            (state.budget.connections() as u64, state.budget.held() as u64, causes)
        };
        self.metrics.gauge("connections", connections);
        self.metrics.gauge("connections_bytes", held);
        for (cause, count) in &causes {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            self.metrics.add(&format!("connections-closed-{cause}"), count);
        }
        let unusual = causes.iter().filter(|(cause, _)| **cause != CloseCause::Idle);
        let unusual: Vec<String> =
            unusual.map(|(cause, count)| format!("{cause}: {count}")).collect();
        if !unusual.is_empty() {
            let closed = unusual.join(", ");
            tracing::warn!(closed, connections, held, "connections of clients closed");
        }
    }

    fn close_all(
        &self,
        state: &mut State,
        closed: impl IntoIterator<Item = (ConnectionId, CloseCause)>,
    ) {
        for (id, cause) in closed {
            state.count(cause);
            if let Some(close) = state.close.remove(&id) {
                close.send_replace(Some(cause));
                self.closing.send_modify(|closing| *closing += 1);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn count(&mut self, cause: CloseCause) {
        *self.causes.entry(cause).or_default() += 1;
    }
}
