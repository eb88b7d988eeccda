use std::collections::HashMap;
use std::time::Duration;

/// Observed ratio of actual to declared run time per team and kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    /// By team and kind: the weighted sum of the logarithms of the ratios, and the sum of weights.
    ratios: HashMap<String, HashMap<String, (f64, f64)>>,
    /// Grows with every observation.
    pub version: u64,
}

impl Estimates {
    /// Declared sizes are off by a factor of at most 10 either way.
    const LIMIT: f64 = 10.0;
    /// Weight of the past per observation, so that a change of the program shows within about ten
    /// runs.
    const DECAY: f64 = 0.9;

    /// Records that a job declared as `declared` took `actual`.
    pub fn observe(&mut self, team: &str, kind: &str, declared: Duration, actual: Duration) {
        let ratio = actual.as_secs_f64().max(0.001) / declared.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(1.0 / Self::LIMIT, Self::LIMIT).ln();
        self.version += 1;
        let kinds = self.ratios.entry(team.to_owned()).or_default();
        let entry = kinds.entry(kind.to_owned()).or_insert((0.0, 0.0));
        entry.0 = entry.0 * Self::DECAY + ratio;
        entry.1 = entry.1 * Self::DECAY + 1.0;
    }

    /// Returns the geometric mean of the observed ratios applied to `declared`. One observation of
    /// "as declared" is assumed beforehand, so that a single outlier does not dominate.
    pub fn correct(&self, team: &str, kind: &str, declared: Duration) -> Duration {
        let known = self.ratios.get(team).and_then(|kinds| kinds.get(kind));
        let Some((sum, weight)) = known else { return declared };
        declared.mul_f64((sum / (weight + 1.0)).exp())
    }
}
