/// A histogram of workers by their number of free accelerators, from 0 to all of one worker.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct FreeHistogram {
    /// The number of workers at each index that have this index as their free accelerators.
    counts: Vec<u32>,
}

impl FreeHistogram {
    /// Returns the histogram of `workers` workers on which all `accelerators` are free.
    pub(crate) fn all_free(accelerators: u32, workers: u32) -> Self {
        let mut counts = vec![0; accelerators as usize + 1];
        counts[accelerators as usize] = workers;
        Self { counts }
    }

    /// Returns the number of workers.
    pub(crate) fn workers(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the number of workers with at least `accelerators` free.
    pub(crate) fn workers_with(&self, accelerators: u32) -> u32 {
        self.counts.iter().skip(accelerators as usize).sum()
    }

    /// Returns the number of free accelerators.
    pub(crate) fn free_accelerators(&self) -> u64 {
        self.parts(1)
    }

    /// Returns how many parts of `accelerators` each fit when one worker may run any number of
    /// them.
    pub(crate) fn parts(&self, accelerators: u32) -> u64 {
        let parts_on = |(free, count): (usize, &u32)| {
            (free as u64 / u64::from(accelerators)) * u64::from(*count)
        };
        self.counts.iter().enumerate().map(parts_on).sum()
    }

    /// Returns how many instances of `workers` different workers with `accelerators` each fit when
    /// nothing else is placed. A number of instances fits exactly when the workers offer
    /// `instances * workers` parts while each worker is used by at most `instances` instances.
    pub(crate) fn max_instances(&self, accelerators: u32, workers: u32) -> u64 {
        let offered_parts = |instances: u64| -> u64 {
            let parts_on = |(free, count): (usize, &u32)| {
                instances.min(free as u64 / u64::from(accelerators)) * u64::from(*count)
            };
            self.counts.iter().enumerate().map(parts_on).sum()
        };
        let (mut low, mut high) = (0, self.parts(accelerators) / u64::from(workers));
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if offered_parts(middle) >= middle * u64::from(workers) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Returns `self` with every count multiplied by `factor`.
    pub(crate) fn scaled(&self, factor: u32) -> Self {
        Self { counts: self.counts.iter().map(|count| count * factor).collect() }
    }

    /// Returns the sum of both histograms, whose workers must have equally many accelerators.
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self { counts: self.counts.iter().zip(&other.counts).map(|(a, b)| a + b).collect() }
    }

    /// Returns `self` without one of the workers on which all accelerators are free.
    pub(crate) fn without_worker(&self) -> Self {
        let mut counts = self.counts.clone();
        if let Some(all_free) = counts.last_mut() {
            *all_free = all_free.saturating_sub(1);
        }
        Self { counts }
    }

    /// Returns `self` after `accelerators` are allocated on each worker that `selection` contains.
    pub(crate) fn allocate(&self, accelerators: u32, selection: &WorkerSelection) -> Self {
        let mut counts = self.counts.clone();
        for (offset, selected) in selection.counts.iter().enumerate() {
            counts[offset + accelerators as usize] -= selected;
            counts[offset] += selected;
        }
        Self { counts }
    }

    /// Returns the first selection of `workers` workers with at least `accelerators` free. It
    /// contains the workers with the fewest free accelerators. Returns none when there are too few
    /// such workers.
    pub(crate) fn first_selection(
        &self,
        accelerators: u32,
        workers: u32,
    ) -> Option<WorkerSelection> {
        let available = &self.counts[(accelerators as usize).min(self.counts.len())..];
        let mut selection = WorkerSelection { counts: vec![0; available.len()] };
        selection.fill(available, 0, workers).then_some(selection)
    }

    /// Returns the selection after `selection`; none after the last.
    pub(crate) fn next_selection(
        &self,
        accelerators: u32,
        selection: &WorkerSelection,
    ) -> Option<WorkerSelection> {
        let available = &self.counts[accelerators as usize..];
        let mut next = selection.clone();
        let mut deselected = 0;
        let mut unselected_above = 0;
        for index in (0..available.len()).rev() {
            if next.counts[index] > 0 && unselected_above > 0 {
                next.counts[index] -= 1;
                next.fill(available, index + 1, deselected + 1);
                return Some(next);
            }
            deselected += next.counts[index];
            unselected_above += available[index] - next.counts[index];
            next.counts[index] = 0;
        }
        None
    }
}

/// The workers that an instance uses: how many of each number of free accelerators. The first count
/// is of the workers on which the instance leaves no accelerator free.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct WorkerSelection {
    counts: Vec<u32>,
}

impl WorkerSelection {
    /// Selects `workers` of the `available` workers from index `from` on, those with the fewest
    /// free accelerators first. Returns false when there are too few.
    fn fill(&mut self, available: &[u32], from: usize, mut workers: u32) -> bool {
        for (selected, count) in self.counts.iter_mut().zip(available).skip(from) {
            *selected = workers.min(*count);
            workers -= *selected;
        }
        workers == 0
    }
}
