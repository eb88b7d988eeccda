use std::collections::HashSet;

use skylarkpulley_types::{Locality, Shape};

use crate::Feasibility;
use crate::levels::{Choice, Levels};
use crate::space::Space;

/// States without a solution that are remembered; bounds the memory of a search.
const REMEMBERED: usize = 16_384;

/// What an instance must stand in. Stages are placed in this order: once all racks are done, only
/// the levels of whole domains matter, and after these only those of the pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Stage {
    Rack,
    Domain,
    Pool,
}

impl Stage {
    /// Returns `space` with one unit for each set that may hold an instance.
    pub(crate) fn merge(self, space: &Space) -> Space {
        match self {
            Self::Rack => space.clone(),
            Self::Domain => space.merge_racks(),
            Self::Pool => space.merge_domains(),
        }
    }
}

/// Equal instances.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) stage: Stage,
    /// Accelerators on each worker.
    pub(crate) size: u32,
    pub(crate) workers: u32,
    pub(crate) count: u64,
}

impl Kind {
    /// Returns one instance of `shape`; none when it is wider than its locality.
    pub(crate) fn new(shape: Shape) -> Option<Self> {
        let stage = match shape.locality {
            // One worker stands within any set.
            _ if shape.workers == 1 => Stage::Pool,
            Locality::Worker => return None,
            Locality::Rack => Stage::Rack,
            Locality::Domain => Stage::Domain,
            Locality::Pool => Stage::Pool,
        };
        Some(Self { stage, size: shape.accelerators, workers: shape.workers, count: 1 })
    }

    /// Reports whether both are of the same instances.
    pub(crate) fn is_like(&self, other: &Self) -> bool {
        (self.stage, self.size, self.workers) == (other.stage, other.size, other.workers)
    }

    /// Returns how many instances fit on the units of `space` when nothing else is placed.
    pub(crate) fn most_on(&self, space: &Space) -> u64 {
        let most = |(levels, count): (&Levels, u32)| {
            levels.instances(self.size, self.workers) * u64::from(count)
        };
        space.units().map(most).sum()
    }
}

/// A depth-first search for a placement of all instances, complete up to its budget.
pub(crate) struct Search<'a> {
    kinds: &'a [Kind],
    space: Space,
    frames: Vec<Frame>,
    /// Numbers of placed instances, with spaces on which the others do not fit.
    failed: HashSet<(usize, Space)>,
    tried: u64,
    budget: u64,
    backtracked: bool,
}

/// The choices for one instance.
struct Frame {
    /// Index of the instance's kind.
    kind: usize,
    /// Instances of the kind that are placed before this one.
    placed: u64,
    /// Units that can hold the instance, with their domain.
    candidates: Vec<(usize, Levels)>,
    /// The current candidate, and which of its workers are used.
    current: usize,
    choice: Option<Choice>,
    /// The space before its units were merged for this instance's stage.
    unmerged: Option<Space>,
}

impl<'a> Search<'a> {
    /// Returns a search on `space` that tries at most `budget` placements. `kinds` are in order
    /// of their stages.
    pub(crate) fn new(space: &Space, kinds: &'a [Kind], budget: u64) -> Self {
        Self {
            kinds,
            space: space.clone(),
            frames: Vec::new(),
            failed: HashSet::new(),
            tried: 0,
            budget,
            backtracked: false,
        }
    }

    /// Returns the number of placements tried.
    pub(crate) fn tried(&self) -> u64 {
        self.tried
    }

    /// Runs the search. It keeps its own stack, because pools hold thousands of instances.
    pub(crate) fn run(&mut self) -> Feasibility {
        let Some(first) = self.kinds.first() else {
            return Feasibility::Feasible;
        };
        self.enter(0, 0, (first.stage != Stage::Rack).then_some(first.stage));
        while let Some(frame) = self.frames.last() {
            let (kind, placed) = (frame.kind, frame.placed + 1);
            if !self.place_next() {
                self.leave();
                continue;
            }
            self.tried += 1;
            if self.tried > self.budget {
                return Feasibility::Undecided;
            }
            if placed < self.kinds[kind].count {
                self.enter(kind, placed, None);
                continue;
            }
            let Some(next) = self.kinds.get(kind + 1) else {
                return Feasibility::Feasible;
            };
            let changed = next.stage != self.kinds[kind].stage;
            self.enter(kind + 1, 0, changed.then_some(next.stage));
        }
        Feasibility::Infeasible
    }

    /// Opens the choices for the next instance.
    fn enter(&mut self, kind: usize, placed: u64, stage: Option<Stage>) {
        let unmerged = stage.map(|stage| {
            let merged = stage.merge(&self.space);
            std::mem::replace(&mut self.space, merged)
        });
        // Between the first instance and the first failure of the greedy descent, bounds and
        // remembered states do not pay.
        let checked = self.backtracked || self.frames.is_empty();
        let hopeless = checked && (self.is_failed() || !self.is_bounded(kind, placed));
        let candidates = if hopeless { Vec::new() } else { self.candidates(&self.kinds[kind]) };
        self.frames.push(Frame { kind, placed, candidates, current: 0, choice: None, unmerged });
    }

    /// Moves the last instance to its next place. Returns false when there is none.
    fn place_next(&mut self) -> bool {
        let Some(frame) = self.frames.last_mut() else {
            return false;
        };
        let kind = &self.kinds[frame.kind];
        if let Some(choice) = frame.choice.take() {
            let (domain, old) = &frame.candidates[frame.current];
            self.space.replace(*domain, &old.take(kind.size, &choice), old.clone());
            frame.choice = old.next_choice(kind.size, &choice);
            if frame.choice.is_none() {
                frame.current += 1;
            }
        }
        let Some((domain, old)) = frame.candidates.get(frame.current) else {
            return false;
        };
        if frame.choice.is_none() {
            frame.choice = old.first_choice(kind.size, kind.workers);
        }
        let Some(choice) = &frame.choice else {
            return false;
        };
        self.space.replace(*domain, old, old.take(kind.size, choice));
        true
    }

    /// Closes the last instance's choices, none of which leads to a placement.
    fn leave(&mut self) {
        self.backtracked = true;
        if self.failed.len() < REMEMBERED {
            let state = self.state();
            self.failed.insert(state);
        }
        if let Some(frame) = self.frames.pop()
            && let Some(unmerged) = frame.unmerged
        {
            self.space = unmerged;
        }
    }

    /// Returns the number of placed instances and the space in its normal form. The last frame's
    /// instance is not placed.
    fn state(&self) -> (usize, Space) {
        let mut space = self.space.clone();
        space.normalise();
        (self.frames.len() - 1, space)
    }

    fn is_failed(&self) -> bool {
        let mut space = self.space.clone();
        space.normalise();
        self.failed.contains(&(self.frames.len(), space))
    }

    /// Reports whether simple bounds allow the remaining instances to fit.
    fn is_bounded(&self, kind: usize, placed: u64) -> bool {
        let Some(total) = self.space.total() else {
            return false;
        };
        let left = |index: usize| self.kinds[index].count - if index == kind { placed } else { 0 };
        let rest = kind..self.kinds.len();
        let parts = |index: usize| left(index) * u64::from(self.kinds[index].workers);
        let volume: u64 =
            rest.clone().map(|index| parts(index) * u64::from(self.kinds[index].size)).sum();
        if volume > total.free() {
            return false;
        }
        let stage = self.kinds[kind].stage;
        rest.clone().all(|index| {
            let size = self.kinds[index].size;
            let larger = rest.clone().filter(|other| self.kinds[*other].size >= size);
            let alone = self.kinds[index].stage != stage
                || self.kinds[index].most_on(&self.space) >= left(index);
            alone && larger.map(parts).sum::<u64>() <= total.slots(size)
        })
    }

    /// Returns the units that can hold an instance, the ones with the least room first.
    fn candidates(&self, kind: &Kind) -> Vec<(usize, Levels)> {
        let units = self.space.distinct_units();
        let mut candidates: Vec<_> = units
            .filter(|(_, levels, _)| levels.usable(kind.size) >= kind.workers)
            .map(|(domain, levels, _)| (domain, levels.clone()))
            .collect();
        candidates.sort_by_key(|(_, levels)| (levels.usable(kind.size), levels.free()));
        candidates
    }
}
