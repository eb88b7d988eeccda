use std::collections::HashMap;
use std::time::Duration;

/// Observed ratio of actual to declared run time per team and kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    ratios: HashMap<(String, String), (f64, f64)>,
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
        let entry = self.ratios.entry((team.to_owned(), kind.to_owned())).or_insert((0.0, 0.0));
        entry.0 = entry.0 * Self::DECAY + ratio;
        entry.1 = entry.1 * Self::DECAY + 1.0;
    }

    /// Returns the geometric mean of the observed ratios applied to `declared`. One observation of
    /// "as declared" is assumed beforehand, so that a single outlier does not dominate.
    pub fn correct(&self, team: &str, kind: &str, declared: Duration) -> Duration {
        if self.ratios.is_empty() {
            return declared;
        }
        let key = (team.to_owned(), kind.to_owned());
        let Some((sum, weight)) = self.ratios.get(&key) else { return declared };
        declared.mul_f64((sum / (weight + 1.0)).exp())
    }
}
