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

/// One row of the pools table: a group of upstreams or workers and what teams hold on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// What the members are.
    pub kind: PoolKind,
    /// Requests that one upstream runs at once; 0 for workers.
    pub slots: u32,
    /// Connections to one upstream; 0 for workers.
    pub connections: u32,
    /// 0.0 weighs only completion time, 1.0 only fragmentation.
    pub objective: f64,
    /// Cores of one worker; 0 for upstreams.
    pub cores: u32,
    /// Memory of one worker in MiB; 0 for upstreams.
    pub memory_mib: u64,
    /// Accelerators of one worker; 0 for upstreams.
    pub accelerators: u32,
    /// Failure domains in which the workers stand; empty for upstreams.
    pub domains: Vec<Domain>,
    /// Teams that may use the pool.
    pub teams: Vec<Team>,
    /// Guaranteed shapes.
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
    /// Paid share, 1 to 1000.
    pub weight: u32,
}

/// A shape that a team can claim at any time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Guarantee {
    /// Unique name within the pool.
    pub name: String,
    /// The team that holds it.
    pub team: String,
    /// What one instance consists of.
    pub shape: Shape,
    /// Instances that may be claimed at once.
    pub count: u32,
}

impl Pool {
    /// Returns the number of described workers.
    pub fn worker_count(&self) -> u32 {
        self.domains.iter().flat_map(|domain| &domain.racks).sum()
    }

    /// Returns the team called `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the guarantee called `name`.
    pub fn guarantee(&self, name: &str) -> Option<&Guarantee> {
        self.guarantees.iter().find(|guarantee| guarantee.name == name)
    }
}
