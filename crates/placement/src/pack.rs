use skylarkpulley_types::{Locality, Shape};

/// What one worker offers to reservations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub worker: usize,
    pub rack: usize,
    pub domain: usize,
    pub room: u32,
    /// Lower is tried first among workers of equal room.
    pub cost: u32,
}

/// Places all `shapes` on `slots` at once. Returns the workers per shape, or none when they do not
/// fit or `budget` selections did not suffice. Exact as long as the budget lasts: workers of one
/// rack that offer the same room are interchangeable, all other choices are tried.
pub(crate) fn pack(slots: &[Slot], shapes: &[Shape], budget: &mut u32) -> Option<Vec<Vec<usize>>> {
    let mut order: Vec<usize> = (0..shapes.len()).collect();
    // Hard shapes first: narrow locality, then many accelerators per worker, then many workers.
    order.sort_by_key(|ix| {
        let shape = shapes[*ix];
        let wide = shape.locality == Locality::Pool || shape.workers == 1;
        (wide, std::cmp::Reverse((shape.accelerators, shape.workers)), *ix)
    });
    let mut slots = slots.to_vec();
    slots.sort_by_key(|slot| (slot.domain, slot.rack, slot.room, slot.cost, slot.worker));
    let sorted: Vec<Shape> = order.iter().map(|ix| shapes[*ix]).collect();
    let mut chosen = Vec::new();
    if !place(&mut slots, &sorted, &mut chosen, budget) {
        return None;
    }
    let mut result = vec![Vec::new(); shapes.len()];
    for (place, ix) in chosen.into_iter().zip(order) {
        result[ix] = place;
    }
    Some(result)
}

fn place(slots: &mut [Slot], rest: &[Shape], chosen: &mut Vec<Vec<usize>>, left: &mut u32) -> bool {
    let Some((shape, rest)) = rest.split_first() else { return true };
    if shape.locality == Locality::Worker && shape.workers > 1 {
        return false;
    }
    let whole: u64 = slots.iter().map(|slot| u64::from(slot.room)).sum();
    let needed: u64 =
        rest.iter().map(|shape| u64::from(shape.total())).sum::<u64>() + u64::from(shape.total());
    if needed > whole {
        return false;
    }
    for set in sets(slots, *shape) {
        let groups = groups(slots, &set);
        let mut picked = Vec::new();
        if pick(slots, &groups, shape.workers as usize, &mut picked, &mut |slots, picked| {
            if *left == 0 {
                return false;
            }
            *left -= 1;
            chosen.push(picked.iter().map(|ix| slots[*ix].worker).collect());
            for ix in picked {
                slots[*ix].room -= shape.accelerators;
            }
            let done = place(slots, rest, chosen, left);
            if !done {
                for ix in picked {
                    slots[*ix].room += shape.accelerators;
                }
                chosen.pop();
            }
            done
        }) {
            return true;
        }
        if *left == 0 {
            return false;
        }
    }
    false
}

/// Lists the sets of slots within which the shape must stand, the tightest first.
fn sets(slots: &[Slot], shape: Shape) -> Vec<Vec<usize>> {
    let fit = |ix: &usize| slots[*ix].room >= shape.accelerators;
    let all: Vec<usize> = (0..slots.len()).filter(fit).collect();
    let one = shape.workers == 1 || shape.locality == Locality::Pool;
    let key = |ix: &usize| match shape.locality {
        _ if one => (0, 0),
        Locality::Domain => (slots[*ix].domain, 0),
        _ => (slots[*ix].domain, slots[*ix].rack + 1),
    };
    let mut sets: Vec<Vec<usize>> =
        all.chunk_by(|a, b| key(a) == key(b)).map(<[usize]>::to_vec).collect();
    sets.retain(|set| set.len() >= shape.workers as usize);
    sets.sort_by_key(|set| {
        let room: u32 = set.iter().map(|ix| slots[*ix].room).sum();
        (room, set.iter().map(|ix| slots[*ix].cost).sum::<u32>())
    });
    sets
}

/// Groups interchangeable slots, the tightest first.
fn groups(slots: &[Slot], set: &[usize]) -> Vec<Vec<usize>> {
    let mut sorted = set.to_vec();
    let key = |ix: &usize| (slots[*ix].room, slots[*ix].domain, slots[*ix].rack);
    sorted.sort_by_key(|ix| (key(ix), slots[*ix].cost));
    sorted.chunk_by(|a, b| key(a) == key(b)).map(<[usize]>::to_vec).collect()
}

type Commit<'a> = &'a mut dyn FnMut(&mut [Slot], &[usize]) -> bool;

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
    let least = needed.saturating_sub(others);
    for count in (least..=needed.min(group.len())).rev() {
        picked.extend(&group[..count]);
        let done = pick(slots, rest, needed - count, picked, commit);
        picked.truncate(picked.len() - count);
        if done {
            return true;
        }
    }
    false
}
