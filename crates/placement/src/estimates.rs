use std::collections::HashMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Ratio {
    /// Weighted sum of the logarithms of the observed ratios.
    sum: f64,
    /// Sum of the weights in `sum`.
    weight: f64,
    /// Correction that is applied to declared run times.
    factor: f64,
}

/// Observed ratio of actual to declared run time per team and kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    /// Index into `ratios` by team and kind.
    keys: HashMap<String, HashMap<String, usize>>,
    ratios: Vec<Ratio>,
    /// Incremented with every observation.
    pub version: u64,
}

impl Estimates {
    /// Observed ratios are clamped: declared run times are assumed to be wrong by a factor of at
    /// most 10 in either direction.
    const MAX_RATIO: f64 = 10.0;
    /// Factor by which earlier observations lose weight with each new one, so that a change of the
    /// program affects the estimate within about ten runs.
    const DECAY: f64 = 0.9;

    /// Submitters choose the names of kinds. Kinds of a team beyond this number share one estimate,
    /// so that unique names cannot use an unbounded amount of memory.
    const MAX_KINDS_PER_TEAM: usize = 256;

    /// Returns the key of a team and kind. A key stays valid as long as the estimates exist.
    pub fn key(&mut self, team: &str, kind: &str) -> usize {
        let team_kinds = self.keys.get(team);
        let full = team_kinds.is_some_and(|kinds| {
            kinds.len() >= Self::MAX_KINDS_PER_TEAM && !kinds.contains_key(kind)
        });
        let kind = if full { "" } else { kind };
        if let Some(key) = self.keys.get(team).and_then(|kinds| kinds.get(kind)) {
            return *key;
        }
        let key = self.ratios.len();
        self.ratios.push(Ratio { sum: 0.0, weight: 0.0, factor: 1.0 });
        self.keys.entry(team.to_owned()).or_default().insert(kind.to_owned(), key);
        key
    }

    /// Records that a job declared as `declared` took `actual`.
    pub fn observe(&mut self, key: usize, declared: Duration, actual: Duration) {
        let observed = actual.as_secs_f64().max(0.001) / declared.as_secs_f64().max(0.001);
        let observed = observed.clamp(1.0 / Self::MAX_RATIO, Self::MAX_RATIO).ln();
        let ratio = &mut self.ratios[key];
        ratio.sum = ratio.sum * Self::DECAY + observed;
        ratio.weight = ratio.weight * Self::DECAY + 1.0;
        // The added 1 stands for one observation that matched the declaration, so that a single
        // outlier does not dominate.
        ratio.factor = (ratio.sum / (ratio.weight + 1.0)).exp();
        self.version += 1;
    }

    /// Returns `declared` multiplied by the weighted geometric mean of the observed ratios.
    pub fn correct(&self, key: usize, declared: Duration) -> Duration {
        declared.mul_f64(self.ratios[key].factor)
    }
}
