use std::collections::BTreeSet;

/// Usable workers indexed by the number of accelerators that each of them offers, with counts per
/// rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    /// Workers by offered accelerators.
    buckets: Vec<BTreeSet<usize>>,
    /// Per rack, the number of workers by offered accelerators.
    racks: Vec<Vec<u32>>,
    /// Rack and offered accelerators of each worker.
    entries: Vec<Option<(usize, usize)>>,
    /// Sum of all offers.
    total: u64,
}

impl FreeIndex {
    /// Sets the accelerators that `worker` offers; `None` removes it from the index.
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

    /// Returns the accelerators that `worker` offers, if it is in the index.
    pub fn offer(&self, worker: usize) -> Option<u32> {
        self.entries.get(worker)?.map(|(_, offer)| offer as u32)
    }

    /// Iterates over the workers that offer at least `min_offer` accelerators, smallest offer
    /// first.
    pub fn at_least(&self, min_offer: u32) -> impl Iterator<Item = (usize, u32)> {
        let buckets = self.buckets.iter().enumerate().skip(min_offer as usize);
        buckets
            .flat_map(|(offer, workers)| workers.iter().map(move |worker| (*worker, offer as u32)))
    }

    /// Returns the racks in which at least `workers` workers offer `min_offer` accelerators, with
    /// the number of such workers.
    pub fn racks(&self, min_offer: u32, workers: u32) -> impl Iterator<Item = (usize, u32)> {
        let counts = self.racks.iter().enumerate();
        counts
            .map(move |(rack, counts)| (rack, counts.iter().skip(min_offer as usize).sum()))
            .filter(move |(_, count)| *count >= workers)
    }

    /// Returns the sum of all offers.
    pub fn total(&self) -> u64 {
        self.total
    }
}
