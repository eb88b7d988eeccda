use std::collections::BTreeSet;

use crate::levels::FreeHistogram;
use crate::space::FreeCapacity;
use crate::{Feasibility, Packer};

/// Maximum number of placements that one analysis may try in total, so that it ends within seconds
/// at 5,000 workers.
const MAX_PLACEMENTS: u64 = 300_000;
/// Maximum number of distinct failure sets of one size that are examined.
const MAX_FAILURE_SETS: usize = 2_000;

/// How many failures the guarantees of a pool tolerate, whichever workers or racks fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tolerance {
    /// Workers that may fail.
    pub workers: FailureBound,
    /// Whole racks that may fail.
    pub racks: FailureBound,
}

/// A lower bound on the number of failures after which all guarantees still fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailureBound {
    /// The guarantees fit after any set of this many failures.
    pub failures: u32,
    /// Whether `failures` is the maximum: some set of one failure more leaves too little capacity
    /// for the guarantees, or nothing is left that can fail. False when the analysis reached one
    /// of its limits.
    pub exact: bool,
}

impl Tolerance {
    /// Analyses the workers and demands of `packer`. Returns none when the demands do not fit, or
    /// are not proved to fit, without failures.
    pub fn new(packer: &Packer) -> Option<Self> {
        if packer.pack() != Feasibility::Feasible {
            return None;
        }
        Some(Self {
            workers: failure_bound(packer, without_one_worker),
            racks: failure_bound(packer, without_one_rack),
        })
    }
}

/// Examines all distinct sets of 1, 2, ... failures. Equivalent failure sets leave equal
/// capacities, of which only one is examined. `after_failure` returns the capacities that each
/// possible next failure leaves.
fn failure_bound(
    packer: &Packer,
    after_failure: fn(&FreeCapacity) -> Vec<FreeCapacity>,
) -> FailureBound {
    let mut remaining_placements = MAX_PLACEMENTS;
    let mut failures = 0;
    let mut capacities = BTreeSet::from([packer.capacity()]);
    loop {
        let next: BTreeSet<_> = capacities.iter().flat_map(after_failure).collect();
        if next.is_empty() {
            return FailureBound { failures, exact: true };
        }
        let mut all_proved = next.len() <= MAX_FAILURE_SETS;
        for capacity in next.iter().take(MAX_FAILURE_SETS) {
            let (feasibility, tried) = packer.pack_on(capacity);
            if feasibility == Feasibility::Infeasible {
                return FailureBound { failures, exact: true };
            }
            remaining_placements = remaining_placements.saturating_sub(tried);
            all_proved &= feasibility == Feasibility::Feasible && remaining_placements > 0;
            if remaining_placements == 0 {
                break;
            }
        }
        if !all_proved {
            return FailureBound { failures, exact: false };
        }
        failures += 1;
        capacities = next;
    }
}

fn without_one_worker(capacity: &FreeCapacity) -> Vec<FreeCapacity> {
    without_each(capacity, |capacity, domain, histogram| {
        capacity.replace(domain, histogram, histogram.without_worker())
    })
}

fn without_one_rack(capacity: &FreeCapacity) -> Vec<FreeCapacity> {
    without_each(capacity, |capacity, domain, histogram| capacity.remove_unit(domain, histogram))
}

fn without_each(
    capacity: &FreeCapacity,
    remove: impl Fn(&mut FreeCapacity, usize, &FreeHistogram),
) -> Vec<FreeCapacity> {
    let without_unit = |(domain, histogram, _): (usize, &FreeHistogram, u32)| {
        let mut reduced = capacity.clone();
        remove(&mut reduced, domain, histogram);
        reduced.normalise();
        reduced
    };
    capacity.distinct_units().map(without_unit).collect()
}
