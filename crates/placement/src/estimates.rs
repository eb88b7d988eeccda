use std::collections::HashMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Ratio {
    /// Weighted sum of the logarithms of the observed ratios.
    sum: f64,
    weight: f64,
    factor: f64,
}

/// Observed ratio of actual to declared run time per team and kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    /// By team, then by kind, the position in `ratios`.
    names: HashMap<String, HashMap<String, usize>>,
    ratios: Vec<Ratio>,
    /// Grows with every observation.
    pub version: u64,
}

impl Estimates {
    /// Declared sizes are off by a factor of at most 10 either way.
    const LIMIT: f64 = 10.0;
    /// Weight of the past per observation, so that a change of the program shows within about ten
    /// runs.
    const DECAY: f64 = 0.9;

    /// Submitters choose the names of kinds; a team's further kinds share one estimate, so that
    /// unique names do not use memory without bound.
    const KINDS: usize = 256;

    /// Returns the key of a team and kind. Keys stay valid.
    pub fn key(&mut self, team: &str, kind: &str) -> usize {
        let known = self.names.get(team);
        let full =
            known.is_some_and(|kinds| kinds.len() >= Self::KINDS && !kinds.contains_key(kind));
        let kind = if full { "" } else { kind };
        if let Some(key) = self.names.get(team).and_then(|kinds| kinds.get(kind)) {
            return *key;
        }
        let key = self.ratios.len();
        self.ratios.push(Ratio { sum: 0.0, weight: 0.0, factor: 1.0 });
        self.names.entry(team.to_owned()).or_default().insert(kind.to_owned(), key);
        key
    }

    /// Records that a job declared as `declared` took `actual`.
    pub fn observe(&mut self, key: usize, declared: Duration, actual: Duration) {
        let observed = actual.as_secs_f64().max(0.001) / declared.as_secs_f64().max(0.001);
        let observed = observed.clamp(1.0 / Self::LIMIT, Self::LIMIT).ln();
        let ratio = &mut self.ratios[key];
        ratio.sum = ratio.sum * Self::DECAY + observed;
        ratio.weight = ratio.weight * Self::DECAY + 1.0;
        // One observation of "as declared" is assumed beforehand, so that a single outlier does not
        // dominate.
        ratio.factor = (ratio.sum / (ratio.weight + 1.0)).exp();
        self.version += 1;
    }

    /// Returns the geometric mean of the observed ratios applied to `declared`.
    pub fn correct(&self, key: usize, declared: Duration) -> Duration {
        declared.mul_f64(self.ratios[key].factor)
    }
}
