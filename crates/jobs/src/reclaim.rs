use std::collections::{BTreeMap, BTreeSet};

use crate::{Candidate, Demand, Resources};

/// A run that may be stopped for more urgent work.
#[derive(Clone, Debug)]
pub struct PreemptibleRun {
    /// Index of its worker among the candidates.
    pub candidate: usize,
    /// Number of its group. The runs of a group, such as a gang, end together.
    pub group: usize,
    /// Work that is lost when its group is stopped, in core-seconds.
    pub lost_work: f64,
    /// Resources that it occupies.
    pub resources: Resources,
}

/// A worker for each task, and the groups of runs to stop first.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionPlan {
    /// Worker of each task, as indexes into the candidates.
    pub chosen: Vec<usize>,
    /// Groups to stop.
    pub groups: BTreeSet<usize>,
    /// Lost work in core-seconds.
    pub lost_work: f64,
}

/// Chooses the groups of runs to stop so that `demand` fits, with the least lost work.
///
/// Load pattern: work on borrowed resources fills the pool when a team claims its guarantee.
pub fn choose_victims(
    demand: &Demand,
    candidates: &[Candidate],
    runs: &[PreemptibleRun],
) -> Option<PreemptionPlan> {
    if !demand.same_rack || demand.count < 2 {
        let all: Vec<usize> = (0..candidates.len()).collect();
        return plan_preemption(demand, candidates, runs, &all);
    }
    let mut racks: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(index);
    }
    racks
        .values()
        .filter_map(|members| plan_preemption(demand, candidates, runs, members))
        .min_by(|a, b| a.lost_work.total_cmp(&b.lost_work))
}

/// Places one task after the other on the worker where it destroys the least work.
fn plan_preemption(
    demand: &Demand,
    candidates: &[Candidate],
    runs: &[PreemptibleRun],
    members: &[usize],
) -> Option<PreemptionPlan> {
    let mut plan = PreemptionPlan { chosen: Vec::new(), groups: BTreeSet::new(), lost_work: 0.0 };
    for _ in 0..demand.count {
        let (index, groups, lost_work) = members
            .iter()
            .filter_map(|index| {
                let (groups, lost_work) = next_task_cost(demand, candidates, runs, &plan, *index)?;
                Some((*index, groups, lost_work))
            })
            .min_by(|a, b| a.2.total_cmp(&b.2))?;
        plan.chosen.push(index);
        plan.groups.extend(groups);
        plan.lost_work += lost_work;
    }
    Some(plan)
}

/// Returns the further groups to stop for one more task on the worker `index`, and the work that is
/// lost with them.
fn next_task_cost(
    demand: &Demand,
    candidates: &[Candidate],
    runs: &[PreemptibleRun],
    plan: &PreemptionPlan,
    index: usize,
) -> Option<(BTreeSet<usize>, f64)> {
    let candidate = &candidates[index];
    let placed = u32::try_from(plan.chosen.iter().filter(|other| **other == index).count()).ok()?;
    if demand.spread > 0 && candidate.same_step + placed >= demand.spread {
        return None;
    }
    let mut free = candidate.free;
    for _ in 0..placed {
        free.subtract(&demand.resources);
    }
    let runs_here = || runs.iter().filter(|run| run.candidate == index);
    for run in runs_here().filter(|run| plan.groups.contains(&run.group)) {
        free.add(&run.resources);
    }
    let mut order: Vec<&PreemptibleRun> =
        runs_here().filter(|run| !plan.groups.contains(&run.group)).collect();
    order.sort_by(|a, b| a.lost_work.total_cmp(&b.lost_work));
    let mut groups = BTreeSet::new();
    let mut lost_work = 0.0;
    for run in order {
        if free.fits(&demand.resources) {
            break;
        }
        free.add(&run.resources);
        if groups.insert(run.group) {
            lost_work += run.lost_work;
        }
    }
    free.fits(&demand.resources).then_some((groups, lost_work))
}
