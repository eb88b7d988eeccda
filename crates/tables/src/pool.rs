use derive_more::Display;
use serde::{Deserialize, Serialize};
use skylarkpulley_types::Shape;

/// What the members of a pool are.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Upstreams that answer requests.
    #[display("upstream")]
    Upstream,
    /// Workers that run jobs on accelerators.
    #[display("worker")]
    Worker,
}

/// One row of the pools table: a group of upstreams or workers, the teams that use it and what it
/// guarantees to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// What the members are.
    pub kind: PoolKind,
    /// Requests that one upstream runs concurrently; 0 for workers.
    pub slots: u32,
    /// Connections to one upstream; 0 for workers.
    pub connections: u32,
    /// Weight of fragmentation against completion time in the placement of jobs: 0.0 counts only
    /// completion time, 1.0 only fragmentation.
    pub objective: f64,
    /// Cores of one worker; 0 for upstreams.
    pub cores: u32,
    /// Memory of one worker in MiB; 0 for upstreams.
    pub memory_mib: u64,
    /// Accelerators of one worker; 0 for upstreams.
    pub accelerators: u32,
    /// Failure domains in which the workers are located; empty for upstreams.
    pub domains: Vec<Domain>,
    /// Teams that may use the pool.
    pub teams: Vec<Team>,
    /// Shapes that are guaranteed to the teams; empty for upstreams.
    pub guarantees: Vec<Guarantee>,
}

/// The described workers of one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: String,
    /// Number of workers in each rack.
    pub racks: Vec<u32>,
}

/// A team that uses a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Unique name within the pool.
    pub name: String,
    /// Paid share of the pool relative to the other teams, 1 to 1000.
    pub weight: u32,
}

/// A shape that a team can claim at any time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Guarantee {
    /// Unique name within the pool.
    pub name: String,
    /// Name of the team that has the guarantee.
    pub team: String,
    /// Accelerators, workers and locality of one instance.
    pub shape: Shape,
    /// Number of instances that the team may claim at the same time.
    pub count: u32,
}

impl Pool {
    /// Returns the number of described workers.
    pub fn worker_count(&self) -> u32 {
        self.domains.iter().flat_map(|domain| &domain.racks).sum()
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the guarantee with this name.
    pub fn guarantee(&self, name: &str) -> Option<&Guarantee> {
        self.guarantees.iter().find(|guarantee| guarantee.name == name)
    }
}
