use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Locality;

/// A group of accelerators that must be allocated together.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{accelerators}x{workers}/{locality}")]
pub struct Shape {
    /// Accelerators on each worker.
    pub accelerators: u32,
    /// Number of different workers.
    pub workers: u32,
    /// The widest group over which the workers may be spread.
    pub locality: Locality,
}

impl Shape {
    /// Returns a shape of `workers` workers with `accelerators` accelerators each, all within one
    /// `locality`.
    pub fn new(accelerators: u32, workers: u32, locality: Locality) -> Self {
        Self { accelerators, workers, locality }
    }

    /// Returns the total number of accelerators.
    pub fn total(&self) -> u32 {
        self.accelerators.saturating_mul(self.workers)
    }
}
