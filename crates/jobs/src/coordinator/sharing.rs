use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;

use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::order::Rank;
use crate::{Resources, Shares};

/// Shares of the teams in contended pools, for operators. All are 0 while no pool is contended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareCounts {
    /// Pools in which the order of work depends on shares.
    pub contended: usize,
    /// Highest share of a team in percent of its fair share.
    pub highest_percent: u64,
    /// Lowest share of a team in percent of its fair share.
    pub lowest_percent: u64,
}

/// Units that one round of planning has not handled yet, by rank.
///
/// Placements put teams over their share, which changes the ranks of their other units. A rank only
/// becomes lower within a round, so that it is enough to compare it when its unit is next.
pub(super) struct Round {
    /// Rank and index of each unit, and the number of its tasks that have been handled.
    queue: BinaryHeap<Reverse<(Rank, usize, usize)>>,
}

impl Round {
    /// Returns a round over units that are sorted by rank.
    pub(super) fn new(units: &[Unit]) -> Self {
        let ranks = units.iter().enumerate().map(|(index, unit)| Reverse((unit.rank, index, 0)));
        Self { queue: ranks.collect() }
    }

    /// Returns the index of the next unit and the number of its tasks that have been handled.
    /// `is_over` reports whether a unit yields because its team is over its share.
    pub(super) fn next(
        &mut self,
        units: &mut [Unit],
        is_over: impl Fn(&Unit) -> bool,
    ) -> Option<(usize, usize)> {
        while let Some(Reverse((_, index, handled))) = self.queue.pop() {
            let unit = &mut units[index];
            if unit.rank.over_share || !is_over(unit) {
                return Some((index, handled));
            }
            unit.rank.over_share = true;
            self.queue.push(Reverse((unit.rank, index, handled)));
        }
        None
    }

    /// Puts a unit back after `handled` of its tasks, since its team has passed its share.
    pub(super) fn defer(&mut self, unit: &Unit, index: usize, handled: usize) {
        self.queue.push(Reverse((unit.rank, index, handled)));
    }
}

impl Coordinator {
    /// Returns the shares of the teams in each pool with waiting work. Those of a pool that is not
    /// contended leave out the running work.
    pub(super) fn pool_shares(&self, now: Timestamp, units: &[Unit]) -> BTreeMap<String, Shares> {
        let mut sizes: BTreeMap<&str, (Resources, Resources)> = BTreeMap::new();
        for unit in units {
            let Some(entry) = self.jobs.get(&unit.job) else { continue };
            sizes.entry(&entry.job.pool).or_default();
        }
        let open = || self.fleet.workers.values().filter(|worker| worker.is_open(now.monotonic));
        for worker in open() {
            let Some((capacity, free)) = sizes.get_mut(worker.status.pool.as_str()) else {
                continue;
            };
            capacity.add(&worker.status.resources);
            let Resources { accelerators, cores, memory } = worker.free();
            free.add(&Resources {
                accelerators: accelerators.max(0),
                cores: cores.max(0),
                memory: memory.max(0),
            });
        }
        let shares = sizes
            .into_iter()
            .map(|(pool, (capacity, free))| (pool.to_owned(), Shares::new(capacity, free)));
        let mut pools: BTreeMap<String, Shares> = shares.collect();
        for unit in units {
            let (Some(entry), Some(first)) = (self.jobs.get(&unit.job), unit.keys.first()) else {
                continue;
            };
            let Some(shares) = pools.get_mut(&entry.job.pool) else { continue };
            let need = entry.resources(first.step).times(unit.keys.len());
            shares.add_waiting(&entry.job.team, &need);
        }
        for worker in open() {
            let Some(shares) = pools.get_mut(&worker.status.pool) else { continue };
            if !shares.is_contended() {
                continue;
            }
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                shares.add_use(&entry.job.team, &entry.resources(task.key.step));
            }
        }
        for shares in pools.values_mut() {
            shares.set_weights(&self.tables);
        }
        pools
    }

    /// Returns the shares that decide on a unit. Claims within a guarantee are not affected.
    fn deciding_shares(&self, unit: &Unit) -> Option<&Shares> {
        let pool = &self.jobs.get(&unit.job)?.job.pool;
        self.shares.get(pool).filter(|shares| unit.rank.tier > 0 && shares.decide())
    }

    /// Reports whether a unit yields because its team is over its share.
    pub(super) fn is_over_share(&self, unit: &Unit) -> bool {
        let (Some(shares), Some(entry), Some(first)) =
            (self.deciding_shares(unit), self.jobs.get(&unit.job), unit.keys.first())
        else {
            return false;
        };
        let count = if entry.is_gang(first.step) { unit.keys.len() } else { 1 };
        shares.is_over(&entry.job.team, &entry.resources(first.step).times(count))
    }

    /// Reports whether a unit can no longer end within three times its objective, and yields
    /// therefore. Lasting jobs have no end.
    fn is_expired(&self, unit: &Unit) -> bool {
        let (Some(_), Some(entry), Some(first)) =
            (self.deciding_shares(unit), self.jobs.get(&unit.job), unit.keys.first())
        else {
            return false;
        };
        let waited_ms = u64::try_from(unit.waited.as_millis()).unwrap_or(u64::MAX);
        !entry.job.lasts()
            && self.has_objective(&entry.job)
            && self.gain_time_ms(&entry.job, first.step, waited_ms).is_none()
    }

    /// Sets the parts of a unit's rank that depend on contention.
    pub(super) fn mark_unit(&self, unit: &mut Unit) {
        unit.rank.over_share = self.is_over_share(unit);
        unit.rank.expired = self.is_expired(unit);
    }

    /// Records that tasks were placed in this round.
    pub(super) fn add_share_use(&mut self, job: &str, resources: &Resources, count: usize) {
        let Some(entry) = self.jobs.get(job) else { return };
        let Some(shares) = self.shares.get_mut(&entry.job.pool) else { return };
        shares.add_use(&entry.job.team, &resources.times(count));
    }

    /// Returns why a unit yields to others of its class; empty if it does not.
    pub(super) fn yield_reason(&self, unit: &Unit) -> String {
        let mut text = String::new();
        if unit.rank.over_share
            && let Some(entry) = self.jobs.get(&unit.job)
            && let Some(shares) = self.shares.get(&entry.job.pool)
        {
            // Writing to a string cannot fail.
            let percent = percent(shares.share(&entry.job.team));
            let _ = write!(text, ", its team is over its share ({percent} % of it)");
        }
        if unit.rank.expired {
            text.push_str(", it can no longer end within three times its objective");
        }
        text
    }

    /// Returns the shares in contended pools after the last round of planning.
    pub fn share_counts(&self) -> ShareCounts {
        let contended = || self.shares.values().filter(|shares| shares.decide());
        let ranges = contended().filter_map(Shares::range);
        let range = ranges.reduce(|a, b| (a.0.min(b.0), a.1.max(b.1))).unwrap_or_default();
        ShareCounts {
            contended: contended().count(),
            highest_percent: percent(range.1),
            lowest_percent: percent(range.0),
        }
    }

    /// Returns the refused submissions since the last call, by team and route.
    pub fn take_refusals(&mut self) -> BTreeMap<(String, String), u64> {
        std::mem::take(&mut self.refusals)
    }
}

fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
}
