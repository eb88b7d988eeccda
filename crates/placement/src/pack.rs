use skylarkpulley_types::{Locality, Shape};

/// Capacity that one worker offers to reservations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub worker: usize,
    pub rack: usize,
    pub domain: usize,
    /// Accelerators.
    pub capacity: u32,
    /// Among workers of equal capacity, a lower cost is tried first.
    pub cost: u32,
}

/// Places all `shapes` on `slots` together. Returns the workers of each shape, or `None` when the
/// shapes do not fit or no solution was found within `budget` selections. The search is exact
/// within the budget: it tries all selections, except that workers of one rack with the same
/// capacity are interchangeable.
pub(crate) fn pack(slots: &[Slot], shapes: &[Shape], budget: &mut u32) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    // The shapes that are hardest to place come first: those with a narrow locality, then those
    // with many accelerators per worker, then those with many workers.
    order.sort_by_key(|ix| {
        let shape = shapes[*ix];
        let wide = shape.locality == Locality::Pool || shape.workers == 1;
        (wide, std::cmp::Reverse((shape.accelerators, shape.workers)), *ix)
    });
    let mut slots = slots.to_vec();
    slots.sort_by_key(|slot| (slot.domain, slot.rack, slot.capacity, slot.cost, slot.worker));
    let sorted: Vec<Shape> = order.iter().map(|ix| shapes[*ix]).collect();
    let mut placements = Vec::new();
    if !place_shapes(&mut slots, &sorted, &mut placements, budget) {
        return None;
    }
    let mut result = vec![Vec::new(); shapes.len()];
    for (workers, ix) in placements.into_iter().zip(order) {
        result[ix] = workers;
    }
    Some(result)
}

/// Places `shapes` one after the other and backtracks when the rest does not fit.
fn place_shapes(
    slots: &mut [Slot],
    shapes: &[Shape],
    placements: &mut Vec<Vec<usize>>,
    budget: &mut u32,
) -> bool {
    let Some((shape, rest)) = shapes.split_first() else { return true };
    if shape.locality == Locality::Worker && shape.workers > 1 {
        return false;
    }
    let available: u64 = slots.iter().map(|slot| u64::from(slot.capacity)).sum();
    let needed: u64 =
        rest.iter().map(|shape| u64::from(shape.total())).sum::<u64>() + u64::from(shape.total());
    if needed > available {
        return false;
    }
    for set in candidate_sets(slots, *shape) {
        let groups = interchangeable_groups(slots, &set);
        let mut picked = Vec::new();
        if pick(slots, &groups, shape.workers as usize, &mut picked, &mut |slots, picked| {
            if *budget == 0 {
                return false;
            }
            *budget -= 1;
            placements.push(picked.iter().map(|ix| slots[*ix].worker).collect());
            for ix in picked {
                slots[*ix].capacity -= shape.accelerators;
            }
            let done = place_shapes(slots, rest, placements, budget);
            if !done {
                for ix in picked {
                    slots[*ix].capacity += shape.accelerators;
                }
                placements.pop();
            }
            done
        }) {
            return true;
        }
        if *budget == 0 {
            return false;
        }
    }
    false
}

/// Lists the sets of slots that the locality of the shape allows, those with the least capacity
/// first.
fn candidate_sets(slots: &[Slot], shape: Shape) -> Vec<Vec<usize>> {
    let fit = |ix: &usize| slots[*ix].capacity >= shape.accelerators;
    let all: Vec<usize> = (0..slots.len()).filter(fit).collect();
    let any_set = shape.workers == 1 || shape.locality == Locality::Pool;
    let key = |ix: &usize| match shape.locality {
        _ if any_set => (0, 0),
        Locality::Domain => (slots[*ix].domain, 0),
        _ => (slots[*ix].domain, slots[*ix].rack + 1),
    };
    let mut sets: Vec<Vec<usize>> =
        all.chunk_by(|a, b| key(a) == key(b)).map(<[usize]>::to_vec).collect();
    sets.retain(|set| set.len() >= shape.workers as usize);
    sets.sort_by_key(|set| {
        let capacity: u32 = set.iter().map(|ix| slots[*ix].capacity).sum();
        (capacity, set.iter().map(|ix| slots[*ix].cost).sum::<u32>())
    });
    sets
}

/// Groups interchangeable slots, those with the least capacity first.
fn interchangeable_groups(slots: &[Slot], set: &[usize]) -> Vec<Vec<usize>> {
    let mut sorted = set.to_vec();
    let key = |ix: &usize| (slots[*ix].capacity, slots[*ix].domain, slots[*ix].rack);
    sorted.sort_by_key(|ix| (key(ix), slots[*ix].cost));
    sorted.chunk_by(|a, b| key(a) == key(b)).map(<[usize]>::to_vec).collect()
}

type Commit<'a> = &'a mut dyn FnMut(&mut [Slot], &[usize]) -> bool;

/// Selects `needed` slots from `groups` and calls `commit` for each selection until it returns
/// true.
fn pick(
    slots: &mut [Slot],
    groups: &[Vec<usize>],
    needed: usize,
    picked: &mut Vec<usize>,
    commit: Commit<'_>,
) -> bool {
    if needed == 0 {
        let picked = picked.clone();
        return commit(slots, &picked);
    }
    let Some((group, rest)) = groups.split_first() else { return false };
    let others: usize = rest.iter().map(Vec::len).sum();
    let min_count = needed.saturating_sub(others);
    for count in (min_count..=needed.min(group.len())).rev() {
        picked.extend(&group[..count]);
        let done = pick(slots, rest, needed - count, picked, commit);
        picked.truncate(picked.len() - count);
        if done {
            return true;
        }
    }
    false
}
