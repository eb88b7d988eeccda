use std::collections::HashSet;

use skylarkpulley_types::{Locality, Shape};

use crate::Feasibility;
use crate::levels::{FreeHistogram, WorkerSelection};
use crate::space::FreeCapacity;

/// States without a solution that a search stores. The limit bounds the memory of a search.
const MAX_INFEASIBLE_STATES: usize = 16_384;

/// The set of workers that must contain all workers of an instance. Instances are placed in this
/// order of scopes: after all instances of the rack scope, only the histograms of whole domains
/// matter, and after those of the domain scope only the histogram of the pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Scope {
    Rack,
    Domain,
    Pool,
}

impl Scope {
    /// Returns `capacity` with one unit for each set of workers of this scope.
    pub(crate) fn merge(self, capacity: &FreeCapacity) -> FreeCapacity {
        match self {
            Self::Rack => capacity.clone(),
            Self::Domain => capacity.merge_racks(),
            Self::Pool => capacity.merge_domains(),
        }
    }
}

/// A number of equal instances that must be placed.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) scope: Scope,
    /// Accelerators on each worker.
    pub(crate) accelerators: u32,
    /// Workers of one instance.
    pub(crate) workers: u32,
    /// Number of instances.
    pub(crate) count: u64,
}

impl Demand {
    /// Returns a demand for one instance of `shape`; none when the shape has several workers but
    /// the locality `worker`.
    pub(crate) fn new(shape: Shape) -> Option<Self> {
        let scope = match shape.locality {
            // A single worker is contained in every set.
            _ if shape.workers == 1 => Scope::Pool,
            Locality::Worker => return None,
            Locality::Rack => Scope::Rack,
            Locality::Domain => Scope::Domain,
            Locality::Pool => Scope::Pool,
        };
        Some(Self { scope, accelerators: shape.accelerators, workers: shape.workers, count: 1 })
    }

    /// Reports whether the instances of both demands are equal.
    pub(crate) fn has_same_instances(&self, other: &Self) -> bool {
        (self.scope, self.accelerators, self.workers)
            == (other.scope, other.accelerators, other.workers)
    }

    /// Returns how many instances fit on the units of `capacity` when nothing else is placed.
    pub(crate) fn max_instances_on(&self, capacity: &FreeCapacity) -> u64 {
        let fitting = |(histogram, count): (&FreeHistogram, u32)| {
            histogram.max_instances(self.accelerators, self.workers) * u64::from(count)
        };
        capacity.units().map(fitting).sum()
    }
}

/// A depth-first search for a placement of all instances. It examines every distinct placement
/// unless its budget ends first.
pub(crate) struct Search<'a> {
    demands: &'a [Demand],
    capacity: FreeCapacity,
    frames: Vec<Frame>,
    /// States in which the remaining instances do not fit: the number of placed instances and the
    /// capacity that is left.
    infeasible_states: HashSet<(usize, FreeCapacity)>,
    /// Number of placements tried.
    tried: u64,
    /// Maximum number of placements to try.
    budget: u64,
    backtracked: bool,
}

/// The alternatives for the placement of one instance.
struct Frame {
    /// Index of the instance's demand.
    demand: usize,
    /// Number of instances of the same demand that are placed before this one.
    placed: u64,
    /// Units on which the instance fits, with the index of their domain.
    candidates: Vec<(usize, FreeHistogram)>,
    /// Index of the current candidate.
    current: usize,
    /// Workers of the current candidate that the instance uses.
    selection: Option<WorkerSelection>,
    /// The capacity before its units were merged for the scope of this instance.
    before_merge: Option<FreeCapacity>,
}

impl<'a> Search<'a> {
    /// Returns a search on `capacity` that tries at most `budget` placements. `demands` must be
    /// sorted by scope.
    pub(crate) fn new(capacity: &FreeCapacity, demands: &'a [Demand], budget: u64) -> Self {
        Self {
            demands,
            capacity: capacity.clone(),
            frames: Vec::new(),
            infeasible_states: HashSet::new(),
            tried: 0,
            budget,
            backtracked: false,
        }
    }

    /// Returns the number of placements tried.
    pub(crate) fn tried(&self) -> u64 {
        self.tried
    }

    /// Runs the search. It uses an explicit stack instead of recursion, because pools have
    /// thousands of instances.
    pub(crate) fn run(&mut self) -> Feasibility {
        let Some(first) = self.demands.first() else {
            return Feasibility::Feasible;
        };
        self.push_instance(0, 0, (first.scope != Scope::Rack).then_some(first.scope));
        while let Some(frame) = self.frames.last() {
            let (demand, placed) = (frame.demand, frame.placed + 1);
            if !self.place_next() {
                self.backtrack();
                continue;
            }
            self.tried += 1;
            if self.tried > self.budget {
                return Feasibility::Undecided;
            }
            if placed < self.demands[demand].count {
                self.push_instance(demand, placed, None);
                continue;
            }
            let Some(next) = self.demands.get(demand + 1) else {
                return Feasibility::Feasible;
            };
            let changed = next.scope != self.demands[demand].scope;
            self.push_instance(demand + 1, 0, changed.then_some(next.scope));
        }
        Feasibility::Infeasible
    }

    /// Pushes a frame for the next instance. `scope` is present when the units must first be merged
    /// for this new scope.
    fn push_instance(&mut self, demand: usize, placed: u64, scope: Option<Scope>) {
        let before_merge = scope.map(|scope| {
            let merged = scope.merge(&self.capacity);
            std::mem::replace(&mut self.capacity, merged)
        });
        // After the first instance and until the first backtracking, the search only places
        // greedily; checking bounds and stored states would cost more than it saves there.
        let check_bounds = self.backtracked || self.frames.is_empty();
        let pruned = check_bounds && (self.is_infeasible_state() || !self.may_fit(demand, placed));
        let candidates = if pruned { Vec::new() } else { self.candidates(&self.demands[demand]) };
        self.frames.push(Frame {
            demand,
            placed,
            candidates,
            current: 0,
            selection: None,
            before_merge,
        });
    }

    /// Moves the last instance to its next placement. Returns false when there is none.
    fn place_next(&mut self) -> bool {
        let Some(frame) = self.frames.last_mut() else {
            return false;
        };
        let demand = &self.demands[frame.demand];
        if let Some(selection) = frame.selection.take() {
            let (domain, old) = &frame.candidates[frame.current];
            self.capacity.replace(
                *domain,
                &old.allocate(demand.accelerators, &selection),
                old.clone(),
            );
            frame.selection = old.next_selection(demand.accelerators, &selection);
            if frame.selection.is_none() {
                frame.current += 1;
            }
        }
        let Some((domain, old)) = frame.candidates.get(frame.current) else {
            return false;
        };
        if frame.selection.is_none() {
            frame.selection = old.first_selection(demand.accelerators, demand.workers);
        }
        let Some(selection) = &frame.selection else {
            return false;
        };
        self.capacity.replace(*domain, old, old.allocate(demand.accelerators, selection));
        true
    }

    /// Pops the last frame, none of whose alternatives leads to a placement of all instances.
    fn backtrack(&mut self) {
        self.backtracked = true;
        if self.infeasible_states.len() < MAX_INFEASIBLE_STATES {
            let state = self.state();
            self.infeasible_states.insert(state);
        }
        if let Some(frame) = self.frames.pop()
            && let Some(before_merge) = frame.before_merge
        {
            self.capacity = before_merge;
        }
    }

    /// Returns the number of placed instances and the normalised capacity. The instance of the last
    /// frame is not placed.
    fn state(&self) -> (usize, FreeCapacity) {
        let mut capacity = self.capacity.clone();
        capacity.normalise();
        (self.frames.len() - 1, capacity)
    }

    fn is_infeasible_state(&self) -> bool {
        let mut capacity = self.capacity.clone();
        capacity.normalise();
        self.infeasible_states.contains(&(self.frames.len(), capacity))
    }

    /// Reports whether the remaining instances satisfy simple necessary conditions for fitting.
    fn may_fit(&self, demand: usize, placed: u64) -> bool {
        let Some(total) = self.capacity.total() else {
            return false;
        };
        let remaining =
            |index: usize| self.demands[index].count - if index == demand { placed } else { 0 };
        let unfinished = demand..self.demands.len();
        let parts = |index: usize| remaining(index) * u64::from(self.demands[index].workers);
        let required_accelerators: u64 = unfinished
            .clone()
            .map(|index| parts(index) * u64::from(self.demands[index].accelerators))
            .sum();
        if required_accelerators > total.free_accelerators() {
            return false;
        }
        let scope = self.demands[demand].scope;
        unfinished.clone().all(|index| {
            let accelerators = self.demands[index].accelerators;
            let as_large = unfinished
                .clone()
                .filter(|other| self.demands[*other].accelerators >= accelerators);
            let fits_alone = self.demands[index].scope != scope
                || self.demands[index].max_instances_on(&self.capacity) >= remaining(index);
            fits_alone && as_large.map(parts).sum::<u64>() <= total.parts(accelerators)
        })
    }

    /// Returns the units on which an instance of `demand` fits, those with the least capacity
    /// first.
    fn candidates(&self, demand: &Demand) -> Vec<(usize, FreeHistogram)> {
        let units = self.capacity.distinct_units();
        let mut candidates: Vec<_> = units
            .filter(|(_, histogram, _)| {
                histogram.workers_with(demand.accelerators) >= demand.workers
            })
            .map(|(domain, histogram, _)| (domain, histogram.clone()))
            .collect();
        candidates.sort_by_key(|(_, histogram)| {
            (histogram.workers_with(demand.accelerators), histogram.free_accelerators())
        });
        candidates
    }
}
