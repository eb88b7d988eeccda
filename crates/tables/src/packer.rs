use std::cmp::Reverse;

use skylarkpulley_types::{Locality, Shape};

use crate::Pool;
use crate::search::{Kind, Search, Stage};
use crate::space::Space;

/// Placements that a search may try beyond one for each instance. The limit keeps a check of
/// 5,000 workers within seconds.
const DEFAULT_BUDGET: u64 = 100_000;
/// Placements that an attempt with one order of the shapes may try before the next order.
const QUICK_BUDGET: u64 = 2_000;

/// Whether all guaranteed shapes fit on the workers together.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Feasibility {
    /// A placement of all instances was found.
    Feasible,
    /// No placement exists.
    Infeasible,
    /// The search ended at its budget.
    Undecided,
}

/// Decides whether shapes fit on a pool together. Instances may share workers as long as the
/// accelerators suffice; one instance never uses a worker twice.
#[derive(Clone, Debug)]
pub struct Packer {
    space: Space,
    kinds: Vec<Kind>,
    /// A shape that spans several workers but must stand on one.
    impossible: bool,
    budget: u64,
}

impl Packer {
    /// Returns a packer for workers with `accelerators` each. `domains` holds for each failure
    /// domain the number of workers in each rack.
    pub fn new(accelerators: u32, domains: &[Vec<u32>]) -> Self {
        let space = Space::new(accelerators, domains);
        Self { space, kinds: Vec::new(), impossible: false, budget: DEFAULT_BUDGET }
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

    /// Adds `count` instances of `shape`. A shape without accelerators or workers needs nothing.
    pub fn with_demand(mut self, shape: Shape, count: u32) -> Self {
        if shape.total() == 0 || count == 0 {
            return self;
        }
        let Some(mut kind) = Kind::new(shape) else {
            self.impossible = true;
            return self;
        };
        kind.count = count.into();
        match self.kinds.iter_mut().find(|other| other.is_like(&kind)) {
            Some(other) => other.count += kind.count,
            None => self.kinds.push(kind),
        }
        self
    }

    /// Sets how many placements a search may try beyond one for each instance.
    pub fn with_budget(mut self, budget: u64) -> Self {
        self.budget = budget;
        self
    }

    /// Decides whether all demands fit together.
    pub fn pack(&self) -> Feasibility {
        self.pack_on(&self.space).0
    }

    /// Returns how many instances of `shape` fit when nothing else is placed.
    pub fn max_instances(&self, shape: Shape) -> u64 {
        if shape.total() == 0 {
            return u64::MAX;
        }
        Kind::new(shape).map_or(0, |kind| kind.most_on(&kind.stage.merge(&self.space)))
    }

    /// Returns the most workers that one set described by `locality` holds.
    pub fn max_workers_in(&self, locality: Locality) -> u32 {
        let stage = match locality {
            Locality::Worker => return 1,
            Locality::Rack => Stage::Rack,
            Locality::Domain => Stage::Domain,
            Locality::Pool => Stage::Pool,
        };
        stage.merge(&self.space).units().map(|(levels, _)| levels.workers()).max().unwrap_or(0)
    }

    /// Returns the described workers with all accelerators free, in one domain when no demand
    /// depends on domains.
    pub(crate) fn space(&self) -> Space {
        if self.depends_on_domains() { self.space.clone() } else { self.space.forget_domains() }
    }

    /// Decides whether all demands fit on `space`, and counts the placements tried.
    pub(crate) fn pack_on(&self, space: &Space) -> (Feasibility, u64) {
        let fits_alone = |kind: &Kind| kind.most_on(&kind.stage.merge(space)) >= kind.count;
        if self.impossible || !self.kinds.iter().all(fits_alone) {
            return (Feasibility::Infeasible, 0);
        }
        if !self.depends_on_domains() {
            return search(&space.forget_domains(), &self.kinds, self.budget);
        }
        // Without regard to domains there are far fewer different placements, so that a search is
        // more often complete. What does not fit then does not fit at all.
        let widened = |kind: &Kind| match kind.stage {
            Stage::Domain => Kind { stage: Stage::Pool, ..kind.clone() },
            _ => kind.clone(),
        };
        let relaxed: Vec<_> = self.kinds.iter().map(widened).collect();
        let (packing, tried) =
            search(&space.forget_domains(), &relaxed, QUICK_BUDGET.min(self.budget));
        if packing == Feasibility::Infeasible {
            return (packing, tried);
        }
        let (packing, more) = search(space, &self.kinds, self.budget);
        (packing, tried + more)
    }

    fn depends_on_domains(&self) -> bool {
        self.kinds.iter().any(|kind| kind.stage == Stage::Domain)
    }
}

/// Searches with several orders of `kinds`, each briefly, and then with the whole budget.
fn search(space: &Space, kinds: &[Kind], budget: u64) -> (Feasibility, u64) {
    let instances: u64 = kinds.iter().map(|kind| kind.count).sum();
    let sorted = |key: fn(&Kind) -> (u32, u32)| {
        let mut sorted = kinds.to_vec();
        sorted.sort_by_key(|kind| (kind.stage, Reverse(key(kind))));
        sorted
    };
    let by_size = sorted(|kind| (kind.size, kind.workers));
    let by_total = sorted(|kind| (kind.size * kind.workers, kind.size));
    let by_width = sorted(|kind| (kind.workers, kind.size));
    let quick = QUICK_BUDGET.min(budget);
    let mut tried = 0;
    for (kinds, budget) in
        [(&by_size, quick), (&by_total, quick), (&by_width, quick), (&by_size, budget)]
    {
        let mut search = Search::new(space, kinds, instances + budget);
        let packing = search.run();
        tried += search.tried();
        if packing != Feasibility::Undecided {
            return (packing, tried);
        }
    }
    (Feasibility::Undecided, tried)
}
