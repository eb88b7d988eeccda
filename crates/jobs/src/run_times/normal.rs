use std::f64::consts::SQRT_2;

/// A normal distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Normal {
    /// Mean.
    pub mean: f64,
    /// Variance.
    pub variance: f64,
}

impl Normal {
    /// Returns the standard deviation.
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Returns the probability of a value above `limit`.
    pub fn probability_above(&self, limit: f64) -> f64 {
        let distance = (limit - self.mean) / self.deviation().max(f64::MIN_POSITIVE);
        0.5 * libm::erfc(distance / SQRT_2)
    }

    /// Returns the distribution of the same value after an independent observation of it.
    pub fn combined(&self, observation: &Self) -> Self {
        let gain = self.variance / (self.variance + observation.variance);
        Self {
            mean: self.mean + gain * (observation.mean - self.mean),
            variance: self.variance * (1.0 - gain),
        }
    }
}

/// A quantile of a run time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quantile {
    /// One run in five is shorter.
    Low,
    /// Half of the runs are shorter.
    Median,
    /// Four runs in five are shorter.
    High,
}

impl Quantile {
    /// Returns the distance from the median in standard deviations.
    fn distance(self) -> f64 {
        match self {
            Self::Low => -0.8416,
            Self::Median => 0.0,
            Self::High => 0.8416,
        }
    }
}

/// Distribution of a run time in milliseconds, whose logarithm is normally distributed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogNormal {
    /// Distribution of the logarithm.
    pub log: Normal,
}

impl LogNormal {
    /// Returns a quantile in milliseconds.
    pub fn quantile(&self, quantile: Quantile) -> f64 {
        (self.log.mean + quantile.distance() * self.log.deviation()).exp()
    }
}
