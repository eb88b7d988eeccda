/// Counts workers by their number of free accelerators, from 0 to all of one worker.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Levels {
    counts: Vec<u32>,
}

impl Levels {
    /// Returns the levels of `workers` workers on which all `accelerators` are free.
    pub(crate) fn full(accelerators: u32, workers: u32) -> Self {
        let mut counts = vec![0; accelerators as usize + 1];
        counts[accelerators as usize] = workers;
        Self { counts }
    }

    /// Returns the number of workers.
    pub(crate) fn workers(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the number of workers with at least `accelerators` free.
    pub(crate) fn usable(&self, accelerators: u32) -> u32 {
        self.counts.iter().skip(accelerators as usize).sum()
    }

    /// Returns the number of free accelerators.
    pub(crate) fn free(&self) -> u64 {
        self.slots(1)
    }

    /// Returns how many parts of `accelerators` each fit, any number of them on one worker.
    pub(crate) fn slots(&self, accelerators: u32) -> u64 {
        let fits = |(level, count): (usize, &u32)| {
            (level as u64 / u64::from(accelerators)) * u64::from(*count)
        };
        self.counts.iter().enumerate().map(fits).sum()
    }

    /// Returns how many instances of `workers` different workers with `accelerators` each fit when
    /// nothing else is placed. `most` instances fit exactly when the workers, each used by at most
    /// `most` instances, offer `most * workers` parts.
    pub(crate) fn instances(&self, accelerators: u32, workers: u32) -> u64 {
        let offered = |most: u64| -> u64 {
            let parts = |(level, count): (usize, &u32)| {
                most.min(level as u64 / u64::from(accelerators)) * u64::from(*count)
            };
            self.counts.iter().enumerate().map(parts).sum()
        };
        let (mut low, mut high) = (0, self.slots(accelerators) / u64::from(workers));
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if offered(middle) >= middle * u64::from(workers) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Returns `self` with every count multiplied by `factor`.
    pub(crate) fn times(&self, factor: u32) -> Self {
        Self { counts: self.counts.iter().map(|count| count * factor).collect() }
    }

    /// Returns the sum of both levels, which are of workers with equally many accelerators.
    pub(crate) fn plus(&self, other: &Self) -> Self {
        Self { counts: self.counts.iter().zip(&other.counts).map(|(a, b)| a + b).collect() }
    }

    /// Returns `self` without one worker of which all accelerators are free.
    pub(crate) fn without_worker(&self) -> Self {
        let mut counts = self.counts.clone();
        if let Some(last) = counts.last_mut() {
            *last = last.saturating_sub(1);
        }
        Self { counts }
    }

    /// Takes `accelerators` from each of the workers that `choice` selects.
    pub(crate) fn take(&self, accelerators: u32, choice: &Choice) -> Self {
        let mut counts = self.counts.clone();
        for (offset, chosen) in choice.chosen.iter().enumerate() {
            counts[offset + accelerators as usize] -= chosen;
            counts[offset] += chosen;
        }
        Self { counts }
    }

    /// Returns the first choice of `workers` workers with at least `accelerators` free: the
    /// fullest ones.
    pub(crate) fn first_choice(&self, accelerators: u32, workers: u32) -> Option<Choice> {
        let levels = &self.counts[(accelerators as usize).min(self.counts.len())..];
        let mut choice = Choice { chosen: vec![0; levels.len()] };
        choice.fill(levels, 0, workers).then_some(choice)
    }

    /// Returns the choice after `choice`; none after the last.
    pub(crate) fn next_choice(&self, accelerators: u32, choice: &Choice) -> Option<Choice> {
        let levels = &self.counts[accelerators as usize..];
        let mut next = choice.clone();
        let mut carried = 0;
        let mut room = 0;
        for index in (0..levels.len()).rev() {
            if next.chosen[index] > 0 && room > 0 {
                next.chosen[index] -= 1;
                next.fill(levels, index + 1, carried + 1);
                return Some(next);
            }
            carried += next.chosen[index];
            room += levels[index] - next.chosen[index];
            next.chosen[index] = 0;
        }
        None
    }
}

/// How many workers of each level an instance uses, from the lowest level that suffices.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Choice {
    chosen: Vec<u32>,
}

impl Choice {
    /// Chooses `workers` workers from level `from` on, lowest levels first. Returns false when
    /// there are too few.
    fn fill(&mut self, levels: &[u32], from: usize, mut workers: u32) -> bool {
        for (chosen, level) in self.chosen.iter_mut().zip(levels).skip(from) {
            *chosen = workers.min(*level);
            workers -= *chosen;
        }
        workers == 0
    }
}
