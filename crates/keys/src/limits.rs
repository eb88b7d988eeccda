use std::time::Duration;

/// Limits of a key table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of records per range; a range that has reached it refuses new keys.
    pub range_records: usize,
    /// Bytes per range above which new keys are refused. Responses to keys that were reserved
    /// earlier are still recorded and may exceed it.
    pub range_bytes: usize,
    /// Time for which the record of a finished key is kept.
    pub retention: Duration,
    /// Time for which every agent keeps the attempts that it has received. A target may have
    /// dropped an older attempt, so that its answer about one does not prove that it did not run.
    pub attempt_retention: Duration,
}

impl Default for Limits {
    /// 2.5 MiB per range limits an agent of an 11-agent pool, which serves 12 ranges as owner or
    /// witness, to about 30 MB.
    fn default() -> Self {
        Self {
            range_records: 16_384,
            range_bytes: 2_621_440,
            retention: Duration::from_secs(24 * 3600),
            attempt_retention: Duration::from_secs(600),
        }
    }
}
