use std::time::Duration;

use skylarkpulley_types::AgentId;

/// State of a router for status output.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterView {
    /// Pools in order of name.
    pub pools: Vec<PoolView>,
    /// Routes in order of name.
    pub routes: Vec<RouteView>,
}

/// Queues and upstreams of one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// Name.
    pub name: String,
    /// Slots that this entry can expect to use.
    pub capacity: f64,
    /// Classes with waiting requests, most urgent first.
    pub classes: Vec<ClassView>,
    /// Upstreams in order of the agents' names.
    pub members: Vec<MemberView>,
}

/// Waiting requests of one class.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassView {
    /// The class, 0 to 9.
    pub class: u8,
    /// Waiting requests.
    pub waiting: usize,
    /// Their expected slot time.
    pub work: Duration,
    /// Waiting requests by team, in order of name.
    pub teams: Vec<(String, usize)>,
}

/// One upstream as this entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Its agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: String,
    /// Whether it receives work.
    pub state: MemberState,
    /// This entry's running attempts.
    pub own_attempts: u32,
    /// Slots that others were last known to use.
    pub other_slots: u32,
    /// Recent error rate, 0 to 1.
    pub error_rate: f64,
    /// Recent latency over the mean of the routes.
    pub latency_ratio: f64,
    /// Ejections that were not forgiven.
    pub ejections: u32,
}

/// Whether an upstream receives work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It receives work.
    Serving,
    /// Its session is closed or silent.
    Silent,
    /// It is leaving or its announcement has expired.
    Leaving,
    /// It is ejected for the given time.
    Ejected(Duration),
    /// It receives one request at a time.
    Probing,
}

/// Budget and estimate of one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteView {
    /// Name.
    pub name: String,
    /// Mean observed service; `None` before the first observation.
    pub mean_service: Option<Duration>,
    /// Waiting requests.
    pub waiting: u32,
    /// Retries that may follow at once.
    pub available_retries: u64,
}
