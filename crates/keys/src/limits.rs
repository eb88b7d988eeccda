use std::time::Duration;

/// Bounds of a key table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Records per range; a full range refuses new keys.
    pub records_per_range: usize,
    /// Bytes per range above which new keys are refused. Responses of keys that were reserved
    /// before may exceed it.
    pub bytes_per_range: usize,
    /// Time for which a finished key is remembered.
    pub retention: Duration,
    /// Time for which every agent remembers the attempts that it has received. What a target says
    /// of an older attempt proves nothing, because it may have forgotten it.
    pub attempt_retention: Duration,
}

impl Default for Limits {
    /// 2.5 MiB per range keep an agent with the 12 ranges of an 11-agent pool near 30 MB.
    fn default() -> Self {
        Self {
            records_per_range: 16_384,
            bytes_per_range: 2_621_440,
            retention: Duration::from_secs(24 * 3600),
            attempt_retention: Duration::from_secs(600),
        }
    }
}
