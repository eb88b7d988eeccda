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
    /// Number of waiting requests.
    pub waiting: usize,
    /// Sum of their expected slot times.
    pub work: Duration,
    /// Number of waiting requests of each team, in order of name.
    pub teams: Vec<(String, usize)>,
}

/// State of one upstream as observed by this entry.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Agent of the upstream.
    pub agent: AgentId,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Whether it receives requests.
    pub state: MemberState,
    /// Number of running attempts of this entry.
    pub own_attempts: u32,
    /// Slots used by other entries according to the last report or refusal.
    pub other_slots: u32,
    /// Recent error rate, 0 to 1.
    pub error_rate: f64,
    /// Recent latency as a multiple of the mean latency of the routes.
    pub latency_ratio: f64,
    /// Number of ejections that have not decayed.
    pub ejections: u32,
}

/// Whether an upstream receives requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The upstream receives requests.
    Serving,
    /// The session of its agent is closed or silent.
    Silent,
    /// The upstream is leaving or its announcement has expired.
    Leaving,
    /// The upstream is ejected; the value is the remaining time.
    Ejected(Duration),
    /// The upstream receives one request at a time after an ejection.
    Probing,
}

/// Retry budget and estimated service time of one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteView {
    /// Name.
    pub name: String,
    /// Mean observed service time; `None` before the first observation.
    pub mean_service: Option<Duration>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of retries that the budget currently allows.
    pub available_retries: u64,
}
