use std::collections::BTreeSet;

use crate::levels::Levels;
use crate::space::Space;
use crate::{Feasibility, Packer};

/// Placements that an analysis may try in all, so that it ends within seconds at 5,000 workers.
const BUDGET: u64 = 300_000;
/// Distinct sets of failures of one size that are examined.
const SETS: usize = 2_000;

/// How many failures the guarantees of a pool survive, whichever workers or racks fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tolerance {
    /// Workers that may fail.
    pub workers: FailureBound,
    /// Whole racks that may fail.
    pub racks: FailureBound,
}

/// A number of failures after which all guarantees still fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailureBound {
    /// The guarantees fit after any set of so many failures.
    pub failures: u32,
    /// Whether they do not fit after some set of one failure more. False when the analysis ended
    /// at its budget.
    pub exact: bool,
}

impl Tolerance {
    /// Analyses the workers and demands of `packer`. None when the demands do not fit, or are not
    /// proved to fit, without failures.
    pub fn new(packer: &Packer) -> Option<Self> {
        if packer.pack() != Feasibility::Feasible {
            return None;
        }
        Some(Self {
            workers: bound(packer, without_one_worker),
            racks: bound(packer, without_one_rack),
        })
    }
}

/// Examines all distinct sets of 1, 2, ... failures. Equivalent sets leave equal spaces.
fn bound(packer: &Packer, fail: fn(&Space) -> Vec<Space>) -> FailureBound {
    let mut left = BUDGET;
    let mut failures = 0;
    let mut spaces = BTreeSet::from([packer.space()]);
    loop {
        let next: BTreeSet<_> = spaces.iter().flat_map(fail).collect();
        if next.is_empty() {
            return FailureBound { failures, exact: true };
        }
        let mut proved = next.len() <= SETS;
        for space in next.iter().take(SETS) {
            let (packing, tried) = packer.pack_on(space);
            if packing == Feasibility::Infeasible {
                return FailureBound { failures, exact: true };
            }
            left = left.saturating_sub(tried);
            proved &= packing == Feasibility::Feasible && left > 0;
            if left == 0 {
                break;
            }
        }
        if !proved {
            return FailureBound { failures, exact: false };
        }
        failures += 1;
        spaces = next;
    }
}

fn without_one_worker(space: &Space) -> Vec<Space> {
    without(space, |space, domain, levels| space.replace(domain, levels, levels.without_worker()))
}

fn without_one_rack(space: &Space) -> Vec<Space> {
    without(space, |space, domain, levels| space.remove_unit(domain, levels))
}

fn without(space: &Space, remove: impl Fn(&mut Space, usize, &Levels)) -> Vec<Space> {
    let reduce = |(domain, levels, _): (usize, &Levels, u32)| {
        let mut reduced = space.clone();
        remove(&mut reduced, domain, levels);
        reduced.normalise();
        reduced
    };
    space.distinct_units().map(reduce).collect()
}
