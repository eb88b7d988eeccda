use std::collections::{BTreeMap, BTreeSet};

use crate::{Candidate, Demand, Resources};

/// A run that may be stopped for more urgent work.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Index of its worker among the candidates.
    pub candidate: usize,
    /// Runs with the same number end together.
    pub group: usize,
    /// Room that it occupies.
    pub resources: Resources,
    /// Work that is lost when its group is stopped, in core-seconds.
    pub waste: f64,
}

/// Workers for each task, and the groups to stop first.
#[derive(Clone, Debug, PartialEq)]
pub struct Reclaim {
    /// Worker of each task, as indexes into the candidates.
    pub chosen: Vec<usize>,
    /// Groups to stop.
    pub groups: BTreeSet<usize>,
    /// Lost work in core-seconds.
    pub waste: f64,
}

/// Chooses the groups whose end makes room for `demand` with the least lost work.
///
/// Load pattern: borrowed work fills the pool when the owner of a guarantee claims its shape.
pub fn choose_victims(
    demand: &Demand,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Option<Reclaim> {
    if !demand.same_rack || demand.count < 2 {
        let all: Vec<usize> = (0..candidates.len()).collect();
        return reclaim_among(demand, candidates, holders, &all);
    }
    let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(index);
    }
    racks
        .values()
        .filter_map(|members| reclaim_among(demand, candidates, holders, members))
        .min_by(|a, b| a.waste.total_cmp(&b.waste))
}

/// Adds one task at a time where it costs least.
fn reclaim_among(
    demand: &Demand,
    candidates: &[Candidate],
    holders: &[Holder],
    members: &[usize],
) -> Option<Reclaim> {
    let mut plan = Reclaim { chosen: Vec::new(), groups: BTreeSet::new(), waste: 0.0 };
    for _ in 0..demand.count {
        let (index, groups, waste) = members
            .iter()
            .filter_map(|index| {
                let (groups, waste) = next_slot(demand, candidates, holders, &plan, *index)?;
                Some((*index, groups, waste))
            })
            .min_by(|a, b| a.2.total_cmp(&b.2))?;
        plan.chosen.push(index);
        plan.groups.extend(groups);
        plan.waste += waste;
    }
    Some(plan)
}

/// Returns the further groups to stop, and their cost, for one more task on worker `index`.
fn next_slot(
    demand: &Demand,
    candidates: &[Candidate],
    holders: &[Holder],
    plan: &Reclaim,
    index: usize,
) -> Option<(BTreeSet<usize>, f64)> {
    let candidate = &candidates[index];
    let placed = u32::try_from(plan.chosen.iter().filter(|other| **other == index).count()).ok()?;
    if demand.spread > 0 && candidate.same + placed >= demand.spread {
        return None;
    }
    let mut free = candidate.free;
    for _ in 0..placed {
        free.subtract(&demand.resources);
    }
    let here = || holders.iter().filter(|holder| holder.candidate == index);
    for holder in here().filter(|holder| plan.groups.contains(&holder.group)) {
        free.add(&holder.resources);
    }
    let mut order: Vec<&Holder> =
        here().filter(|holder| !plan.groups.contains(&holder.group)).collect();
    order.sort_by(|a, b| a.waste.total_cmp(&b.waste));
    let mut groups = BTreeSet::new();
    let mut waste = 0.0;
    for holder in order {
        if free.fits(&demand.resources) {
            break;
        }
        free.add(&holder.resources);
        if groups.insert(holder.group) {
            waste += holder.waste;
        }
    }
    free.fits(&demand.resources).then_some((groups, waste))
}
