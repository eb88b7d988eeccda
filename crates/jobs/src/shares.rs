use std::collections::BTreeMap;

use crate::{JobTables, Resources};

/// Factor by which a team may exceed its fair share before its work yields. Without it, teams with
/// nearly equal shares would alternate with each task that is placed.
const TOLERANCE: f64 = 1.25;

/// Resources that one team uses, and its weight.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    used: Resources,
    /// Weight of the team; the mean over all teams is 1.
    weight: f64,
}

/// Weighted dominant shares of the teams with waiting or running work in one pool.
///
/// Load pattern: one team submits far more work than the others while the pool is too small for
/// all. By latest start alone, its backlog goes ahead of every job that the others submit later.
/// The dominant share (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011) is the largest of a
/// team's fractions of cores, memory and accelerators. Divided by the team's weight and by the
/// equal share, it is 1 for a team that uses exactly its fair share.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    capacity: Resources,
    /// Resources that are free.
    free: Resources,
    teams: BTreeMap<String, TeamUse>,
    /// Resources for which work waits.
    waiting: Resources,
}

impl Shares {
    /// Returns shares of a pool without teams. `capacity` are the resources of its open workers,
    /// `free` those that no run occupies.
    pub fn new(capacity: Resources, free: Resources) -> Self {
        Self { capacity, free, ..Self::default() }
    }

    /// Adds resources for which work of `team` waits.
    pub fn add_waiting(&mut self, team: &str, resources: &Resources) {
        self.team(team);
        self.waiting.add(resources);
    }

    /// Adds resources that a run of `team` occupies.
    pub fn add_use(&mut self, team: &str, resources: &Resources) {
        self.team(team).used.add(resources);
    }

    /// Sets the weights by the tables: 1 plus the ratio of the team's guarantee to the mean
    /// guarantee of the teams of the pool, divided by the mean of these values.
    pub fn set_weights(&mut self, tables: &JobTables) {
        let guarantee = |team: &str| tables.guarantee(team).max(0) as f64;
        let count = self.teams.len() as f64;
        let mean = self.teams.keys().map(|team| guarantee(team)).sum::<f64>() / count;
        for (name, team) in &mut self.teams {
            // The mean of 1 plus the ratio is 2.
            team.weight = if mean > 0.0 { (1.0 + guarantee(name) / mean) / 2.0 } else { 1.0 };
        }
    }

    /// Reports whether shares decide: several teams have work in the pool, and the waiting work
    /// exceeds what is free in its dominant resource.
    pub fn decide(&self) -> bool {
        self.teams.len() > 1 && self.is_contended()
    }

    /// Reports whether only `team` has work in the pool.
    pub fn is_single(&self, team: &str) -> bool {
        self.teams.len() == 1 && self.teams.contains_key(team)
    }

    /// Returns the share of a team, 1 for its fair share; 0 for an unknown team.
    pub fn share(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| self.share_of(team))
    }

    /// Reports whether work of `team` whose next tasks start together and need `next` yields to that
    /// of others. Half of these tasks count as used, but at most half a fair share: on a pool of few
    /// workers, a team with its fair share would otherwise take the next worker too, while a gang that
    /// needs more than a fair share must not yield for ever.
    pub fn is_over(&self, team: &str, next: &Resources) -> bool {
        let Some(state) = self.teams.get(team).filter(|_| self.decide()) else { return false };
        let next_use = TeamUse { used: *next, ..*state };
        self.share_of(state) + (self.share_of(&next_use) / 2.0).min(0.5) > TOLERANCE
    }

    /// Returns the lowest and the highest share of any team; `None` without teams.
    pub fn range(&self) -> Option<(f64, f64)> {
        let shares = self.teams.values().map(|team| self.share_of(team));
        shares.fold(None, |range, share| {
            let (lowest, highest) = range.unwrap_or((share, share));
            Some((share.min(lowest), share.max(highest)))
        })
    }

    fn team(&mut self, name: &str) -> &mut TeamUse {
        if !self.teams.contains_key(name) {
            self.teams.insert(name.to_owned(), TeamUse { weight: 1.0, ..TeamUse::default() });
        }
        self.teams.entry(name.to_owned()).or_default()
    }

    fn share_of(&self, team: &TeamUse) -> f64 {
        let dominant = fractions(&team.used, &self.capacity).into_iter().fold(0.0, f64::max);
        dominant * self.teams.len() as f64 / team.weight
    }

    /// Reports whether the waiting work exceeds what is free, in its dominant resource.
    pub fn is_contended(&self) -> bool {
        let waiting = fractions(&self.waiting, &self.capacity);
        let free = fractions(&self.free, &self.capacity);
        let dominant = waiting.into_iter().zip(free).max_by(|a, b| a.0.total_cmp(&b.0));
        dominant.is_some_and(|(waiting, free)| waiting > free)
    }
}

/// Returns the fractions of accelerators, cores and memory. Those of a resource that the pool does
/// not have are 0, so that work that can never start there does not make a pool contended.
fn fractions(part: &Resources, whole: &Resources) -> [f64; 3] {
    let fraction =
        |part: i64, whole: i64| if whole <= 0 { 0.0 } else { part as f64 / whole as f64 };
    [
        fraction(part.accelerators, whole.accelerators),
        fraction(part.cores, whole.cores),
        fraction(part.memory, whole.memory),
    ]
}
