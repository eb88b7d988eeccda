use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Resources;

/// A worker on which tasks may be placed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Free resources.
    pub free: Resources,
    /// Id of the worker.
    pub id: Arc<str>,
    /// Probability in tenths that the tasks miss their objective on it because it is slow; workers
    /// with a lower one are preferred.
    pub late: u8,
    /// Preference by its speed, the lowest first: fast workers for work that is short of time, slow
    /// and unknown ones for other work.
    pub pace: i8,
    /// Penalty from its health; workers with a lower one are preferred.
    pub penalty: u32,
    /// Rack of the worker.
    pub rack: Arc<str>,
    /// Number of tasks of the same step and occurrence that it already runs.
    pub same_step: u32,
}

/// Tasks to place together.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Number of tasks.
    pub count: u32,
    /// Whether the tasks use only the cores that others leave unused.
    pub fills: bool,
    /// Rack near the data, if any.
    pub near_rack: Option<String>,
    /// Resources that one task needs.
    pub resources: Resources,
    /// Whether all must be on one rack.
    pub same_rack: bool,
    /// Maximum number of tasks on one worker; 0 means no limit.
    pub spread: u32,
}

impl Demand {
    /// Returns how many of the tasks fit into `free` on a worker that already runs `same_step`
    /// tasks of the step.
    pub fn slots(&self, free: &Resources, same_step: u32) -> u32 {
        let limit =
            if self.spread == 0 { self.count } else { self.spread.saturating_sub(same_step) };
        let count_by =
            |available: i64, need: i64| if need <= 0 { i64::MAX } else { available.max(0) / need };
        let fitting = count_by(free.accelerators, self.resources.accelerators)
            .min(count_by(free.cores, self.resources.cores))
            .min(count_by(free.memory, self.resources.memory));
        u32::try_from(fitting).unwrap_or(u32::MAX).min(limit).min(self.count)
    }
}

/// Chooses a worker for each task of `demand`, as indexes into `candidates`. Returns `None` when
/// not all tasks fit now.
///
/// Load pattern: small tasks scattered over all workers keep tasks that need a whole worker
/// waiting. Therefore the worker with the least free resources is filled first. For a gang that
/// needs one rack, it is the rack with the fewest free accelerators among those that can run the
/// whole gang.
pub fn choose_workers(demand: &Demand, candidates: &[Candidate]) -> Option<Vec<usize>> {
    if demand.same_rack && demand.count > 1 {
        return choose_rack(demand, candidates);
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    pack(demand, candidates, all)
}

/// Order in which racks are preferred for a gang, the lowest first; compared field by field.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RackScore {
    far: bool,
    late: u8,
    penalty: u32,
    pace: i8,
    free_accelerators: i64,
}

fn choose_rack(demand: &Demand, candidates: &[Candidate]) -> Option<Vec<usize>> {
    let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(index);
    }
    let mut best: Option<(RackScore, Vec<usize>)> = None;
    for (rack, members) in racks {
        let free_accelerators: i64 =
            members.iter().map(|index| candidates[*index].free.accelerators).sum();
        let Some(chosen) = pack(demand, candidates, members) else { continue };
        let penalty = chosen.iter().map(|index| candidates[*index].penalty).sum();
        let far = demand.near_rack.as_deref().is_some_and(|near| near != rack);
        // A gang is as fast as its slowest member.
        let late = chosen.iter().map(|index| candidates[*index].late).max().unwrap_or(0);
        let pace = chosen.iter().map(|index| candidates[*index].pace).max().unwrap_or(0);
        let score = RackScore { far, late, penalty, pace, free_accelerators };
        if best.as_ref().is_none_or(|(other, _)| score < *other) {
            best = Some((score, chosen));
        }
    }
    best.map(|(_, chosen)| chosen)
}

fn pack(demand: &Demand, candidates: &[Candidate], mut order: Vec<usize>) -> Option<Vec<usize>> {
    order.sort_by_key(|index| {
        let candidate = &candidates[*index];
        let far = demand.near_rack.as_deref().is_some_and(|near| near != &*candidate.rack);
        let free = &candidate.free;
        let most_cores = if demand.fills { -free.cores } else { 0 };
        let room = (free.accelerators, free.cores, free.memory);
        (far, candidate.late, candidate.penalty, most_cores, candidate.pace, room, *index)
    });
    let mut chosen = Vec::new();
    for index in order {
        let candidate = &candidates[index];
        let slots = demand.slots(&candidate.free, candidate.same_step);
        for _ in 0..slots {
            if chosen.len() == demand.count as usize {
                return Some(chosen);
            }
            chosen.push(index);
        }
    }
    (chosen.len() == demand.count as usize).then_some(chosen)
}
