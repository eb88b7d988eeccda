use std::collections::BTreeMap;

use crate::levels::Levels;

/// Units (racks, whole domains or the whole pool) with the same levels, and how many there are.
type Units = BTreeMap<Levels, u32>;

/// The free accelerators of a pool. Workers with equally many free accelerators in one unit, and
/// units with equal levels in one domain, are interchangeable and only counted.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Space {
    domains: Vec<Units>,
}

impl Space {
    /// Returns a space in which all `accelerators` of every worker are free. `domains` holds for
    /// each failure domain the number of workers in each rack.
    pub(crate) fn new(accelerators: u32, domains: &[Vec<u32>]) -> Self {
        let units = |racks: &Vec<u32>| {
            let mut units = Units::new();
            for workers in racks.iter().filter(|workers| **workers > 0) {
                *units.entry(Levels::full(accelerators, *workers)).or_default() += 1;
            }
            units
        };
        let mut space = Self { domains: domains.iter().map(units).collect() };
        space.normalise();
        space
    }

    /// Merges the racks of each domain into one unit.
    pub(crate) fn merge_racks(&self) -> Self {
        let merge = |units: &Units| -> Units {
            sum(units.iter()).map(|levels| (levels, 1)).into_iter().collect()
        };
        Self { domains: self.domains.iter().map(merge).collect() }
    }

    /// Merges the whole pool into one unit.
    pub(crate) fn merge_domains(&self) -> Self {
        let all = self.total().map(|levels| (levels, 1));
        Self { domains: vec![all.into_iter().collect()] }
    }

    /// Puts all units into one domain.
    pub(crate) fn forget_domains(&self) -> Self {
        let mut units = Units::new();
        for (levels, count) in self.units() {
            *units.entry(levels.clone()).or_default() += count;
        }
        Self { domains: vec![units] }
    }

    /// Returns the levels of the whole pool; none when it has no workers.
    pub(crate) fn total(&self) -> Option<Levels> {
        sum(self.domains.iter().flatten())
    }

    /// Returns the distinct units with their domain's index and their number. Of domains that are
    /// equal only the first is visited.
    pub(crate) fn distinct_units(&self) -> impl Iterator<Item = (usize, &Levels, u32)> {
        let first = |index: &usize| !self.domains[..*index].contains(&self.domains[*index]);
        (0..self.domains.len()).filter(first).flat_map(move |index| {
            self.domains[index].iter().map(move |(levels, count)| (index, levels, *count))
        })
    }

    /// Returns all units with their number.
    pub(crate) fn units(&self) -> impl Iterator<Item = (&Levels, u32)> {
        self.domains.iter().flatten().map(|(levels, count)| (levels, *count))
    }

    /// Changes one unit of `domain` from `old` to `new`.
    pub(crate) fn replace(&mut self, domain: usize, old: &Levels, new: Levels) {
        self.remove_unit(domain, old);
        if new.workers() > 0 {
            *self.domains[domain].entry(new).or_default() += 1;
        }
    }

    /// Removes one unit of `domain` with levels `old`.
    pub(crate) fn remove_unit(&mut self, domain: usize, old: &Levels) {
        let Some(count) = self.domains[domain].get_mut(old) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.domains[domain].remove(old);
        }
    }

    /// Orders the domains, which are interchangeable, so that equivalent spaces are equal.
    pub(crate) fn normalise(&mut self) {
        self.domains.sort();
    }
}

fn sum<'a>(units: impl Iterator<Item = (&'a Levels, &'a u32)>) -> Option<Levels> {
    units.fold(None, |sum, (levels, count)| {
        let scaled = levels.times(*count);
        Some(match sum {
            Some(sum) => scaled.plus(&sum),
            None => scaled,
        })
    })
}
