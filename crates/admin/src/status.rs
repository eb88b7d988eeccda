use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// Status of the system as known to one entry. Each list is sorted by the first fields of its
/// elements.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the entry that returns the status.
    pub entry: String,
    /// Version of the entry's current tables; 0 if it has none.
    pub version: u64,
    /// Lowest version of the tables among all processes that the entry knows.
    pub oldest_version: u64,
    /// Time since `oldest_version` was superseded, in milliseconds; 0 if it is the current version.
    pub oldest_age_ms: u64,
    /// Evacuated failure domains. Missing in the status of earlier builds.
    #[serde(default)]
    pub evacuated: Vec<DomainStatus>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// All workers.
    pub workers: Vec<WorkerStatus>,
    /// Teams, with one element for each pool that a team uses.
    pub teams: Vec<TeamStatus>,
    /// Gangs that occupy workers.
    pub gangs: Vec<GangStatus>,
    /// Queues of requests and of jobs.
    pub queues: Vec<QueueStatus>,
    /// Entries and agents, with the version of the tables that each of them has.
    pub processes: Vec<ProcessStatus>,
}

/// One evacuated failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: String,
    /// Version of the store at which the evacuated failure domains were read.
    pub version: u64,
    /// Number of its workers.
    pub workers: u32,
    /// Number of runs that still go on there.
    pub runs: u32,
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Pool of the upstream.
    pub pool: String,
    /// Name of its agent.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// `serving`, `leaving`, `ejected` or `silent`.
    pub state: String,
    /// Requests that are running.
    pub busy: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
}

/// One worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Pool of the worker.
    pub pool: String,
    /// Name of its agent.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Rack within the failure domain.
    pub rack: String,
    /// `serving`, `draining`, `evacuated`, `quarantined` or `silent`.
    pub state: String,
    /// Total number of accelerators.
    pub accelerators: u32,
    /// Accelerators used by guaranteed grants.
    pub guaranteed: u32,
    /// Accelerators used by borrowed grants.
    pub borrowed: u32,
    /// Accelerators reserved for guarantees that are not claimed.
    pub reserved: u32,
    /// What is known about its speed; absent if nothing is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowness: Option<WorkerSlowness>,
}

/// Learned slowness of a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSlowness {
    /// Time that runs take there, in percent of the usual time.
    pub percent: u32,
    /// Standard deviation of the logarithm of the slowness, in hundredths.
    pub deviation: u32,
}

/// One team in one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStatus {
    /// Name of the pool.
    pub pool: String,
    /// Name of the team.
    pub team: String,
    /// Weight of the team's share, for which it pays.
    pub weight: u32,
    /// Requests or jobs that wait.
    pub waiting: u32,
    /// Slots or accelerators in use.
    pub used: u32,
    /// Number of the team's guarantee instances.
    pub guarantees: u32,
    /// Number of these instances that are claimed.
    pub claimed: u32,
    /// Number of these instances that do not fit on the live workers.
    pub at_risk: u32,
}

/// One gang and its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangStatus {
    /// Name of the pool.
    pub pool: String,
    /// Id of the gang's job.
    pub job: String,
    /// Team that pays for the job.
    pub team: String,
    /// Accelerators that the gang uses at the same time.
    pub shape: Shape,
    /// `starting`, `running` or `stopping`.
    pub state: String,
    /// Name of the lead, the agent that issues the lease.
    pub lead: String,
    /// Time until the lease expires if it is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// Guarantee that the gang claims; `None` if it runs on borrowed capacity.
    pub claim: Option<String>,
}

/// One queue: the waiting work of one team on one route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Name of the route.
    pub route: String,
    /// Name of the team.
    pub team: String,
    /// Requests or jobs that wait.
    pub waiting: u32,
    /// Time for which the oldest of them has waited, in milliseconds.
    pub oldest_ms: u64,
}

/// One entry or agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub process: String,
    /// `entry` or `agent`.
    pub kind: String,
    /// Version of the tables that the process has.
    pub version: u64,
    /// Time since the last report of the process, in milliseconds.
    pub seen_ms: u64,
}
