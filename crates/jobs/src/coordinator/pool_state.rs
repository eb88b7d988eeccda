use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::pool_view::PoolView;
use super::{Coordinator, Timestamp};
use crate::{Closure, Resources};

/// Number of ids that a list in a line shows.
const SHOWN_IDS: usize = 3;

/// Workers of one pool, the causes for which some are closed, and the runs on the others.
pub(super) struct PoolState {
    pub(super) closures: BTreeMap<Closure, Vec<String>>,
    /// Resources of each candidate that are free or occupied without a run that has started.
    pub(super) idle: Vec<Resources>,
    pub(super) known: usize,
    /// Runs that are ordered to stop.
    stopping: usize,
    /// Runs that their workers have not listed for long.
    unlisted: usize,
    /// Runs without a placement, and workers that are occupied by other amounts than their runs need.
    unmatched: usize,
    /// The open workers without any reservations.
    pub(super) view: PoolView,
}

impl Coordinator {
    /// Returns the state of a pool. A run counts as not started after `limit`.
    pub(super) fn pool_state(&self, now: Timestamp, pool: &str, limit: Duration) -> PoolState {
        let mut state = PoolState {
            closures: BTreeMap::new(),
            idle: Vec::new(),
            known: 0,
            stopping: 0,
            unlisted: 0,
            unmatched: 0,
            view: self.pool_view(pool, now),
        };
        for (id, worker) in &self.fleet.workers {
            if worker.status.pool != pool {
                continue;
            }
            state.known += 1;
            if let Some(closure) = worker.closure(now.monotonic) {
                state.closures.entry(closure).or_default().push(id.clone());
            }
            // Starts from the total, so that resources occupied without a run count as idle.
            let mut idle = worker.status.resources;
            let mut needed = Resources::default();
            for task in worker.runs.keys() {
                let entry = self.jobs.get(&task.job);
                let placement = entry.and_then(|entry| entry.placement(&task.key));
                let (Some(entry), Some(placement)) = (entry, placement) else {
                    state.unmatched += 1;
                    continue;
                };
                let resources = entry.resources(task.key.step);
                needed.add(&resources);
                let age = now.monotonic.saturating_duration_since(placement.placed_at);
                if placement.stopping {
                    state.stopping += 1;
                } else if !placement.listed && age >= limit {
                    state.unlisted += 1;
                    continue;
                }
                idle.subtract(&resources);
            }
            state.unmatched += usize::from(needed != worker.occupied);
            if worker.is_open(now.monotonic) {
                state.idle.push(idle);
            }
        }
        state
    }
}

impl Display for PoolState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "workers {} known, {} open", self.known, self.view.candidates.len())?;
        for (closure, ids) in &self.closures {
            write!(f, ", {closure} {} ({})", ids.len(), shown(ids))?;
        }
        let free: i64 =
            self.view.candidates.iter().map(|candidate| candidate.free.accelerators.max(0)).sum();
        write!(f, "; free {free} accelerators on open workers")?;
        let Self { stopping, unlisted, unmatched, .. } = self;
        write!(f, "; runs {stopping} stopping, {unlisted} not listed, {unmatched} unmatched")
    }
}

/// Returns the first of the ids as text.
pub(super) fn shown<T: AsRef<str>>(ids: &[T]) -> String {
    let first: Vec<&str> = ids.iter().take(SHOWN_IDS).map(AsRef::as_ref).collect();
    let more = if ids.len() > SHOWN_IDS { " …" } else { "" };
    format!("{}{more}", first.join(" "))
}
