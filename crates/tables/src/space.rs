use std::collections::BTreeMap;

use crate::levels::FreeHistogram;

/// The units (racks, whole domains or the whole pool) by their histogram, with the number of units
/// that have it.
type Units = BTreeMap<FreeHistogram, u32>;

/// The free accelerators of a pool. Workers with equally many free accelerators in one unit are
/// interchangeable, and so are units with equal histograms in one domain; only their numbers are
/// kept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct FreeCapacity {
    domains: Vec<Units>,
}

impl FreeCapacity {
    /// Returns the capacity of a pool in which all `accelerators` of every worker are free.
    /// `domains` contains for each failure domain the number of workers in each rack.
    pub(crate) fn new(accelerators: u32, domains: &[Vec<u32>]) -> Self {
        let units = |racks: &Vec<u32>| {
            let mut units = Units::new();
            for workers in racks.iter().filter(|workers| **workers > 0) {
                *units.entry(FreeHistogram::all_free(accelerators, *workers)).or_default() += 1;
            }
            units
        };
        let mut capacity = Self { domains: domains.iter().map(units).collect() };
        capacity.normalise();
        capacity
    }

    /// Merges the racks of each domain into one unit.
    pub(crate) fn merge_racks(&self) -> Self {
        let merge = |units: &Units| -> Units {
            sum(units.iter()).map(|histogram| (histogram, 1)).into_iter().collect()
        };
        Self { domains: self.domains.iter().map(merge).collect() }
    }

    /// Merges the whole pool into one unit.
    pub(crate) fn merge_domains(&self) -> Self {
        let pool = self.total().map(|histogram| (histogram, 1));
        Self { domains: vec![pool.into_iter().collect()] }
    }

    /// Puts all units into one domain, without merging them.
    pub(crate) fn flatten_domains(&self) -> Self {
        let mut units = Units::new();
        for (histogram, count) in self.units() {
            *units.entry(histogram.clone()).or_default() += count;
        }
        Self { domains: vec![units] }
    }

    /// Returns the histogram of the whole pool; none when it has no workers.
    pub(crate) fn total(&self) -> Option<FreeHistogram> {
        sum(self.domains.iter().flatten())
    }

    /// Returns the distinct units with the index of their domain and their number. Of several equal
    /// domains only the first is visited.
    pub(crate) fn distinct_units(&self) -> impl Iterator<Item = (usize, &FreeHistogram, u32)> {
        let is_first = |index: &usize| !self.domains[..*index].contains(&self.domains[*index]);
        (0..self.domains.len()).filter(is_first).flat_map(move |index| {
            self.domains[index].iter().map(move |(histogram, count)| (index, histogram, *count))
        })
    }

    /// Returns the histograms of all units with their number.
    pub(crate) fn units(&self) -> impl Iterator<Item = (&FreeHistogram, u32)> {
        self.domains.iter().flatten().map(|(histogram, count)| (histogram, *count))
    }

    /// Changes the histogram of one unit of `domain` from `old` to `new`.
    pub(crate) fn replace(&mut self, domain: usize, old: &FreeHistogram, new: FreeHistogram) {
        self.remove_unit(domain, old);
        if new.workers() > 0 {
            *self.domains[domain].entry(new).or_default() += 1;
        }
    }

    /// Removes one unit of `domain` with histogram `old`.
    pub(crate) fn remove_unit(&mut self, domain: usize, old: &FreeHistogram) {
        let Some(count) = self.domains[domain].get_mut(old) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.domains[domain].remove(old);
        }
    }

    /// Sorts the domains, which are interchangeable, so that equivalent capacities are equal.
    pub(crate) fn normalise(&mut self) {
        self.domains.sort();
    }
}

fn sum<'a>(units: impl Iterator<Item = (&'a FreeHistogram, &'a u32)>) -> Option<FreeHistogram> {
    units.fold(None, |sum, (histogram, count)| {
        let scaled = histogram.scaled(*count);
        Some(match sum {
            Some(sum) => scaled.plus(&sum),
            None => scaled,
        })
    })
}
