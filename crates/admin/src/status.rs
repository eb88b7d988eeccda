use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// The system as one entry sees it. Lists are in order of their first fields.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: String,
    /// Version of the tables in force at this entry; 0 when it has none.
    pub version: u64,
    /// Lowest version at any known process.
    pub oldest_version: u64,
    /// Time since `oldest_version` was superseded, in milliseconds; 0 when it is in force.
    pub oldest_age_ms: u64,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Teams, one element for each pool that they use.
    pub teams: Vec<TeamStatus>,
    /// Gangs that hold workers.
    pub gangs: Vec<GangStatus>,
    /// Queues, requests and jobs alike.
    pub queues: Vec<QueueStatus>,
    /// Entries and agents with the version of the tables in force there.
    pub processes: Vec<ProcessStatus>,
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
    /// Requests that run.
    pub busy: u32,
    /// Requests that can run at once.
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
    /// `serving`, `draining`, `quarantined` or `silent`.
    pub state: String,
    /// Accelerators in all.
    pub accelerators: u32,
    /// Accelerators held by guaranteed grants.
    pub guaranteed: u32,
    /// Accelerators held by borrowed grants.
    pub borrowed: u32,
    /// Accelerators reserved for unclaimed guarantees.
    pub reserved: u32,
}

/// One team on one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamStatus {
    /// Pool.
    pub pool: String,
    /// Team.
    pub team: String,
    /// Paid share.
    pub weight: u32,
    /// Requests or jobs that wait.
    pub waiting: u32,
    /// Slots or accelerators in use.
    pub used: u32,
    /// Guarantee instances that the team holds.
    pub guarantees: u32,
    /// Of these, the claimed ones.
    pub claimed: u32,
    /// Of these, the ones that do not fit on the live workers.
    pub at_risk: u32,
}

/// One gang and its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GangStatus {
    /// Pool.
    pub pool: String,
    /// Id of the job.
    pub job: String,
    /// The team that pays.
    pub team: String,
    /// Accelerators that the gang holds together.
    pub shape: Shape,
    /// `starting`, `running` or `stopping`.
    pub state: String,
    /// Name of the agent that issues the lease.
    pub lead: String,
    /// Time until the lease expires when it is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// Guarantee that the gang claims; none for borrowed capacity.
    pub claim: Option<String>,
}

/// One queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Route.
    pub route: String,
    /// Team.
    pub team: String,
    /// Requests or jobs that wait.
    pub waiting: u32,
    /// Wait of the oldest, in milliseconds.
    pub oldest_ms: u64,
}

/// One entry or agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Name of the process.
    pub process: String,
    /// `entry` or `agent`.
    pub kind: String,
    /// Version of the tables in force there.
    pub version: u64,
    /// Time since its last report, in milliseconds.
    pub seen_ms: u64,
}
