//! Allowed ranges, limits and defaults of the values in the tables.

use std::ops::RangeInclusive;
use std::time::Duration;

pub(crate) const PRIORITY: RangeInclusive<u64> = 0..=9;
pub(crate) const DEADLINE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);
pub(crate) const QUEUE_LENGTH: RangeInclusive<u64> = 1..=10_000;
pub(crate) const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;
/// A request is sent to the agent in one message of at most 4 MiB, which also contains the headers.
pub(crate) const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1..=3 << 20;
pub(crate) const MAX_PATH_BYTES: usize = 255;
pub(crate) const MAX_NAME_BYTES: usize = 63;

pub(crate) const UPSTREAM_SLOTS: RangeInclusive<u64> = 1..=10_000;
pub(crate) const UPSTREAM_CONNECTIONS: RangeInclusive<u64> = 1..=65_535;
pub(crate) const OBJECTIVE: RangeInclusive<f64> = 0.0..=1.0;
pub(crate) const WORKER_CORES: RangeInclusive<u64> = 1..=4096;
/// 1 MiB to 64 TiB.
pub(crate) const WORKER_MEMORY_BYTES: RangeInclusive<u64> = 1 << 20..=64 << 40;
pub(crate) const WORKER_ACCELERATORS: RangeInclusive<u64> = 1..=64;
pub(crate) const WORKERS_PER_RACK: RangeInclusive<u64> = 1..=1000;
/// Twice the target size of a pool, so that a pool can grow while its workers are replaced.
pub(crate) const MAX_POOL_WORKERS: u64 = 10_000;
pub(crate) const TEAM_WEIGHT: RangeInclusive<u64> = 1..=1000;
pub(crate) const GANG_WORKERS: RangeInclusive<u64> = 1..=128;
/// Maximum number of instances that all guarantees of a pool have in total. It is higher than the
/// number of accelerators of 5,000 workers. With ten times as many instances, a check needs 480 MB
/// of memory.
pub(crate) const MAX_POOL_INSTANCES: u64 = 50_000;
/// Instances of one guarantee.
pub(crate) const GUARANTEE_COUNT: RangeInclusive<u64> = 1..=10_000;

pub(crate) const DEFAULT_QUEUE_LENGTH: u32 = 64;
pub(crate) const DEFAULT_RETRY_PERCENT: u8 = 10;
pub(crate) const DEFAULT_BODY_LIMIT_BYTES: u64 = 64 << 10;
