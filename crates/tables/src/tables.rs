use serde::{Deserialize, Serialize};

use crate::{Pool, Route};

/// Both tables after their checks. They are versioned as one unit.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Tables {
    /// Routes, sorted by name.
    pub routes: Vec<Route>,
    /// Pools, sorted by name.
    pub pools: Vec<Pool>,
}

impl Tables {
    /// Returns the route with the longest path that is a prefix of `path`. A prefix matches only
    /// whole path segments.
    pub fn route_for(&self, path: &str) -> Option<&Route> {
        let matches = |route: &&Route| {
            path.strip_prefix(route.path.trim_end_matches('/'))
                .is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('/'))
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.path.len())
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
