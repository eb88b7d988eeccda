use std::collections::BTreeSet;

/// Usable workers ordered by how many accelerators each of them offers, with counts per rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    /// Workers by offered accelerators.
    buckets: Vec<BTreeSet<usize>>,
    /// Per rack, the number of workers by offered accelerators.
    racks: Vec<Vec<u32>>,
    /// Per worker, its rack and what it offers.
    entries: Vec<Option<(usize, usize)>>,
    total: u64,
}

impl FreeIndex {
    /// Sets what `worker` offers; none takes it out.
    pub fn set(&mut self, worker: usize, rack: usize, offer: Option<u32>) {
        if self.entries.len() <= worker {
            self.entries.resize(worker + 1, None);
        }
        let next = offer.map(|offer| (rack, offer as usize));
        if self.entries[worker] == next {
            return;
        }
        if let Some((rack, offer)) = self.entries[worker].take() {
            self.buckets[offer].remove(&worker);
            self.racks[rack][offer] -= 1;
            self.total -= offer as u64;
        }
        let Some((rack, offer)) = next else { return };
        if self.buckets.len() <= offer {
            self.buckets.resize(offer + 1, BTreeSet::new());
        }
        if self.racks.len() <= rack {
            self.racks.resize(rack + 1, Vec::new());
        }
        if self.racks[rack].len() <= offer {
            self.racks[rack].resize(offer + 1, 0);
        }
        self.buckets[offer].insert(worker);
        self.racks[rack][offer] += 1;
        self.total += offer as u64;
        self.entries[worker] = next;
    }

    /// Returns what `worker` offers.
    pub fn offer(&self, worker: usize) -> Option<u32> {
        self.entries.get(worker)?.map(|(_, offer)| offer as u32)
    }

    /// Iterates over the workers that offer at least `least`, tightest first.
    pub fn at_least(&self, least: u32) -> impl Iterator<Item = (usize, u32)> {
        let buckets = self.buckets.iter().enumerate().skip(least as usize);
        buckets.flat_map(|(offer, set)| set.iter().map(move |worker| (*worker, offer as u32)))
    }

    /// Returns the racks in which at least `workers` workers offer `least`, with that number.
    pub fn racks(&self, least: u32, workers: u32) -> impl Iterator<Item = (usize, u32)> {
        let counts = self.racks.iter().enumerate();
        counts
            .map(move |(rack, counts)| (rack, counts.iter().skip(least as usize).sum()))
            .filter(move |(_, count)| *count >= workers)
    }

    /// Returns the sum of all offers.
    pub fn total(&self) -> u64 {
        self.total
    }
}
