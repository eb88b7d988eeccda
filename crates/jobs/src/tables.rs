use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Evacuations, Job, RouteKey};

/// Reason for which a version of the tables cannot be used.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TablesError {
    /// A route names a pool that does not exist.
    #[display("route {route:?}: no pool {pool:?}")]
    MissingPool {
        /// The route.
        route: String,
        /// The pool.
        pool: String,
    },
    /// The document cannot be read.
    #[display("tables: {detail}")]
    Malformed {
        /// Cause and position.
        detail: String,
    },
}

/// A row of the table of routes, as far as it concerns jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRoute {
    /// Whether an external placement policy decides which workers may run a step.
    #[serde(default)]
    pub advised: bool,
    /// Number of failed runs of a task at which its job fails.
    pub attempts: u32,
    /// Priority class, 0 is the most urgent.
    pub class: u8,
    /// Host of the callers' requests.
    pub host: String,
    /// Name of the route.
    pub name: String,
    /// Whether callers need no key.
    pub open: bool,
    /// Path prefix.
    pub path: String,
    /// Name of the pool.
    pub pool: String,
    /// Objective for the end, as a multiple of the estimated critical path.
    pub slack: f64,
    /// Latency objective in milliseconds.
    pub target_ms: u64,
}

impl JobRoute {
    /// Returns what selects the route: host and path prefix. It identifies the route over versions of
    /// the tables, which may change its name.
    pub fn selector(&self) -> String {
        format!("{}{}", self.host, self.path)
    }

    /// Returns the route as a call names it.
    pub fn key(&self) -> RouteKey {
        RouteKey { name: self.name.clone(), selector: self.selector() }
    }
}

/// A row of the table of pools.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerPool {
    /// Whether its workers themselves refuse runs that do not fit.
    pub guarded: bool,
    /// Name of the pool.
    pub name: String,
    /// Whether its VMs are switched off.
    pub spare: bool,
}

/// Resources that are guaranteed to a team.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Guarantee {
    /// Accelerators for jobs of class 0.
    pub accelerators: i64,
}

/// A team with its keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamEntry {
    /// Its guarantee.
    pub guarantee: Guarantee,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Name of the team.
    pub name: String,
}

/// Which parts of the tables a newer version has replaced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TablesChange {
    /// Whether the set of evacuated failure domains was replaced.
    pub evacuated: bool,
    /// Whether the tables themselves were replaced.
    pub tables: bool,
}

impl TablesChange {
    /// Reports whether anything was replaced.
    pub fn any(self) -> bool {
        self.evacuated || self.tables
    }
}

/// Limits of the tables for the connections of clients. Defaults apply to those that are not set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Time within which a head has to be complete, in milliseconds.
    #[serde(default)]
    pub head_ms: Option<u64>,
    /// Largest head of a request in bytes.
    #[serde(default)]
    pub head_size: Option<usize>,
    /// Time without a request after which a connection is closed, in milliseconds.
    #[serde(default)]
    pub idle_ms: Option<u64>,
}

impl ClientLimits {
    /// Returns the largest head of a request in bytes.
    pub fn head_bytes(&self) -> usize {
        self.head_size.unwrap_or(65_536)
    }

    /// Returns the time within which a head has to be complete.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_ms.unwrap_or(10_000))
    }

    /// Returns the time without a request after which a connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms.unwrap_or(15_000))
    }
}

/// One version of both tables, as the coordinator uses them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobTables {
    /// Largest body of a submission in bytes.
    pub body_limit: usize,
    /// Limits for the connections of clients.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// Evacuated failure domains, with a version of their own.
    #[serde(default)]
    pub evacuated: Evacuations,
    /// Pools by name.
    pub pools: BTreeMap<String, WorkerPool>,
    /// Routes.
    pub routes: Vec<JobRoute>,
    /// Teams.
    pub teams: Vec<TeamEntry>,
    /// Version; a higher one replaces a lower one.
    pub version: u64,
}

impl JobTables {
    /// Returns the route of a request: same host, longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&JobRoute> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path))
            .max_by_key(|route| route.path.len())
    }

    /// Takes over the tables and the evacuated failure domains of `other`, each of them if its
    /// version is higher. They change independently, so that neither may hold up the other.
    pub fn adopt_newer(&mut self, other: &Self) -> TablesChange {
        let change = TablesChange {
            evacuated: other.evacuated.version > self.evacuated.version,
            tables: other.version > self.version,
        };
        if change.evacuated {
            self.evacuated = other.evacuated.clone();
        }
        if change.tables {
            let evacuated = std::mem::take(&mut self.evacuated);
            *self = Self { evacuated, ..other.clone() };
        }
        change
    }

    /// Moves a job whose pool does not exist any more to the pool of the route at which it was
    /// submitted.
    pub fn adopt_pool(&self, job: &mut Job) {
        if self.pools.contains_key(&job.pool) {
            return;
        }
        if let Some(route) = self.routes.iter().find(|route| route.key().selects(job)) {
            job.pool.clone_from(&route.pool);
        }
    }

    /// Returns the team that owns `key`.
    pub fn team(&self, key: &str) -> Option<&TeamEntry> {
        self.teams.iter().find(|team| team.keys.iter().any(|team_key| team_key == key))
    }

    /// Returns the accelerators guaranteed to `team`.
    pub fn guarantee(&self, team: &str) -> i64 {
        let team_entry = self.teams.iter().find(|entry| entry.name == team);
        team_entry.map_or(0, |entry| entry.guarantee.accelerators)
    }

    /// Checks that every route names a pool.
    ///
    /// # Errors
    /// [`TablesError::MissingPool`] names the first route whose pool does not exist.
    pub fn check(&self) -> Result<(), TablesError> {
        for route in &self.routes {
            if !self.pools.contains_key(&route.pool) {
                return Err(TablesError::MissingPool {
                    route: route.name.clone(),
                    pool: route.pool.clone(),
                });
            }
        }
        Ok(())
    }
}
