use std::collections::BTreeMap;

use crate::Resources;

/// A worker on which tasks may be placed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Free room.
    pub free: Resources,
    /// Id of the worker.
    pub id: String,
    /// How much the worker is avoided, from its health.
    pub penalty: u32,
    /// Rack of the worker.
    pub rack: String,
    /// Tasks of the same step and occurrence that it already runs.
    pub same: u32,
}

/// Tasks to place together.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Number of tasks.
    pub count: u32,
    /// Whether the tasks use only the cores that others leave.
    pub fills: bool,
    /// Rack near the data, if any.
    pub near_rack: Option<String>,
    /// Needs of one task.
    pub resources: Resources,
    /// Whether all must be on one rack.
    pub same_rack: bool,
    /// Most tasks on one worker; 0 means no limit.
    pub spread: u32,
}

impl Demand {
    /// Returns how many of the tasks fit into `free` when `same` already run there.
    pub fn slots(&self, free: &Resources, same: u32) -> u32 {
        let limit = if self.spread == 0 { self.count } else { self.spread.saturating_sub(same) };
        let per = |have: i64, need: i64| if need <= 0 { i64::MAX } else { have.max(0) / need };
        let fit = per(free.accelerators, self.resources.accelerators)
            .min(per(free.cores, self.resources.cores))
            .min(per(free.memory, self.resources.memory));
        u32::try_from(fit).unwrap_or(u32::MAX).min(limit).min(self.count)
    }
}

/// Chooses a worker for each task of `demand`, as indexes into `candidates`, or `None` when they do
/// not all fit now.
///
/// Load pattern: small tasks scattered over all workers keep tasks that need a whole worker waiting.
/// Therefore the worker with the least room left over is taken first, and the rack with the least
/// room left over that can hold the whole gang.
pub fn choose_workers(demand: &Demand, candidates: &[Candidate]) -> Option<Vec<usize>> {
    if demand.same_rack && demand.count > 1 {
        return choose_rack(demand, candidates);
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    fill(demand, candidates, all)
}

fn choose_rack(demand: &Demand, candidates: &[Candidate]) -> Option<Vec<usize>> {
    let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(index);
    }
    let mut best: Option<((bool, u32, i64), Vec<usize>)> = None;
    for (rack, members) in racks {
        let left: i64 = members.iter().map(|index| candidates[*index].free.accelerators).sum();
        let Some(chosen) = fill(demand, candidates, members) else { continue };
        let penalty = chosen.iter().map(|index| candidates[*index].penalty).sum();
        let far = demand.near_rack.as_deref().is_some_and(|near| near != rack);
        let score = (far, penalty, left);
        if best.as_ref().is_none_or(|(other, _)| score < *other) {
            best = Some((score, chosen));
        }
    }
    best.map(|(_, chosen)| chosen)
}

fn fill(demand: &Demand, candidates: &[Candidate], mut order: Vec<usize>) -> Option<Vec<usize>> {
    order.sort_by_key(|index| {
        let candidate = &candidates[*index];
        let far = demand.near_rack.as_deref().is_some_and(|near| near != candidate.rack);
        let free = &candidate.free;
        let unused = if demand.fills { -free.cores } else { 0 };
        (far, candidate.penalty, unused, free.accelerators, free.cores, free.memory, *index)
    });
    let mut chosen = Vec::new();
    for index in order {
        let candidate = &candidates[index];
        let slots = demand.slots(&candidate.free, candidate.same);
        for _ in 0..slots {
            if chosen.len() == demand.count as usize {
                return Some(chosen);
            }
            chosen.push(index);
        }
    }
    (chosen.len() == demand.count as usize).then_some(chosen)
}
