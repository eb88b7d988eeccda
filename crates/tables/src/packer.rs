use std::cmp::Reverse;

use skylarkpulley_types::{Locality, Shape};

use crate::Pool;
use crate::search::{Demand, Scope, Search};
use crate::space::FreeCapacity;

/// Maximum number of placements that a search may try in addition to one for each instance. The
/// limit keeps a check of 5,000 workers within seconds.
const DEFAULT_PLACEMENT_BUDGET: u64 = 100_000;
/// The same maximum for the short searches that run before the search with the whole budget: one
/// for each order of the demands, and those without the restriction to domains.
const SHORT_PLACEMENT_BUDGET: u64 = 2_000;

/// Whether all demands fit on the workers together.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Feasibility {
    /// A placement of all instances was found.
    Feasible,
    /// No placement of all instances exists.
    Infeasible,
    /// The search reached its limit of placements without a result.
    Undecided,
}

/// Decides whether instances of shapes fit on a pool together. Instances may share workers as long
/// as there are enough accelerators; the workers of one instance are always different.
#[derive(Clone, Debug)]
pub struct Packer {
    capacity: FreeCapacity,
    demands: Vec<Demand>,
    /// Whether some shape has several workers but the locality `worker`.
    impossible_shape: bool,
    /// Maximum number of placements that a search may try in addition to one for each instance.
    budget: u64,
}

impl Packer {
    /// Returns a packer for workers with `accelerators` each. `domains` contains for each
    /// failure domain the number of workers in each rack.
    pub fn new(accelerators: u32, domains: &[Vec<u32>]) -> Self {
        let capacity = FreeCapacity::new(accelerators, domains);
        Self {
            capacity,
            demands: Vec::new(),
            impossible_shape: false,
            budget: DEFAULT_PLACEMENT_BUDGET,
        }
    }

    /// Returns a packer for the described workers and all guarantees of `pool`.
    pub fn for_pool(pool: &Pool) -> Self {
        let guarantees = pool.guarantees.iter();
        guarantees.fold(Self::for_workers(pool), |packer, guarantee| {
            packer.with_demand(guarantee.shape, guarantee.count)
        })
    }

    /// Returns a packer for the described workers of `pool`, without demands.
    pub fn for_workers(pool: &Pool) -> Self {
        let domains: Vec<_> = pool.domains.iter().map(|domain| domain.racks.clone()).collect();
        Self::new(pool.accelerators, &domains)
    }

    /// Adds a demand for `count` instances of `shape`. A shape without accelerators or without
    /// workers is ignored, because it needs no capacity.
    pub fn with_demand(mut self, shape: Shape, count: u32) -> Self {
        if shape.total() == 0 || count == 0 {
            return self;
        }
        let Some(mut demand) = Demand::new(shape) else {
            self.impossible_shape = true;
            return self;
        };
        demand.count = count.into();
        match self.demands.iter_mut().find(|other| other.has_same_instances(&demand)) {
            Some(other) => other.count += demand.count,
            None => self.demands.push(demand),
        }
        self
    }

    /// Sets how many placements a search may try in addition to one for each instance.
    pub fn with_budget(mut self, budget: u64) -> Self {
        self.budget = budget;
        self
    }

    /// Decides whether all demands fit together.
    pub fn pack(&self) -> Feasibility {
        self.pack_on(&self.capacity).0
    }

    /// Returns how many instances of `shape` fit when nothing else is placed.
    pub fn max_instances(&self, shape: Shape) -> u64 {
        if shape.total() == 0 {
            return u64::MAX;
        }
        Demand::new(shape)
            .map_or(0, |demand| demand.max_instances_on(&demand.scope.merge(&self.capacity)))
    }

    /// Returns the number of workers in the largest set of workers that `locality` allows for one
    /// instance.
    pub fn max_workers_in(&self, locality: Locality) -> u32 {
        let scope = match locality {
            Locality::Worker => return 1,
            Locality::Rack => Scope::Rack,
            Locality::Domain => Scope::Domain,
            Locality::Pool => Scope::Pool,
        };
        scope
            .merge(&self.capacity)
            .units()
            .map(|(histogram, _)| histogram.workers())
            .max()
            .unwrap_or(0)
    }

    /// Returns the capacity of the described workers with all accelerators free. All workers are in
    /// one domain when no demand depends on domains.
    pub(crate) fn capacity(&self) -> FreeCapacity {
        if self.depends_on_domains() {
            self.capacity.clone()
        } else {
            self.capacity.flatten_domains()
        }
    }

    /// Decides whether all demands fit on `capacity`. Also returns the number of placements tried.
    pub(crate) fn pack_on(&self, capacity: &FreeCapacity) -> (Feasibility, u64) {
        let fits_alone = |demand: &Demand| {
            demand.max_instances_on(&demand.scope.merge(capacity)) >= demand.count
        };
        if self.impossible_shape || !self.demands.iter().all(fits_alone) {
            return (Feasibility::Infeasible, 0);
        }
        if !self.depends_on_domains() {
            return search(&capacity.flatten_domains(), &self.demands, self.budget);
        }
        // Without the restriction to domains there are far fewer distinct placements, so that the
        // search more often ends within its budget. Demands that do not fit without the
        // restriction do not fit with it either.
        let without_domain = |demand: &Demand| match demand.scope {
            Scope::Domain => Demand { scope: Scope::Pool, ..demand.clone() },
            _ => demand.clone(),
        };
        let relaxed_demands: Vec<_> = self.demands.iter().map(without_domain).collect();
        let (feasibility, tried) = search(
            &capacity.flatten_domains(),
            &relaxed_demands,
            SHORT_PLACEMENT_BUDGET.min(self.budget),
        );
        if feasibility == Feasibility::Infeasible {
            return (feasibility, tried);
        }
        let (feasibility, tried_with_domains) = search(capacity, &self.demands, self.budget);
        (feasibility, tried + tried_with_domains)
    }

    fn depends_on_domains(&self) -> bool {
        self.demands.iter().any(|demand| demand.scope == Scope::Domain)
    }
}

/// Searches briefly with each of several orders of `demands`, then with the whole budget. Also
/// returns the number of placements tried.
fn search(capacity: &FreeCapacity, demands: &[Demand], budget: u64) -> (Feasibility, u64) {
    let instances: u64 = demands.iter().map(|demand| demand.count).sum();
    let sorted = |key: fn(&Demand) -> (u32, u32)| {
        let mut sorted = demands.to_vec();
        sorted.sort_by_key(|demand| (demand.scope, Reverse(key(demand))));
        sorted
    };
    let by_accelerators = sorted(|demand| (demand.accelerators, demand.workers));
    let by_total_accelerators =
        sorted(|demand| (demand.accelerators * demand.workers, demand.accelerators));
    let by_workers = sorted(|demand| (demand.workers, demand.accelerators));
    let short = SHORT_PLACEMENT_BUDGET.min(budget);
    let mut tried = 0;
    for (demands, budget) in [
        (&by_accelerators, short),
        (&by_total_accelerators, short),
        (&by_workers, short),
        (&by_accelerators, budget),
    ] {
        let mut search = Search::new(capacity, demands, instances + budget);
        let feasibility = search.run();
        tried += search.tried();
        if feasibility != Feasibility::Undecided {
            return (feasibility, tried);
        }
    }
    (Feasibility::Undecided, tried)
}
