//! Ranges of the values in the tables.

use std::ops::RangeInclusive;
use std::time::Duration;

pub(crate) const PRIORITY: RangeInclusive<u64> = 0..=9;
pub(crate) const DEADLINE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(3600);
pub(crate) const QUEUE: RangeInclusive<u64> = 1..=10_000;
pub(crate) const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;
/// A request travels to the agent in one message of at most 4 MiB, together with its headers.
pub(crate) const BODY_LIMIT: RangeInclusive<u64> = 1..=3 << 20;
pub(crate) const PATH_BYTES: usize = 255;
pub(crate) const NAME_BYTES: usize = 63;

pub(crate) const SLOTS: RangeInclusive<u64> = 1..=10_000;
pub(crate) const CONNECTIONS: RangeInclusive<u64> = 1..=65_535;
pub(crate) const OBJECTIVE: RangeInclusive<f64> = 0.0..=1.0;
pub(crate) const CORES: RangeInclusive<u64> = 1..=4096;
/// In bytes: 1 MiB to 64 TiB.
pub(crate) const MEMORY: RangeInclusive<u64> = 1 << 20..=64 << 40;
pub(crate) const ACCELERATORS: RangeInclusive<u64> = 1..=64;
pub(crate) const RACK_WORKERS: RangeInclusive<u64> = 1..=1000;
/// Twice the target size, so that a pool can grow during a replacement of its workers.
pub(crate) const POOL_WORKERS: u64 = 10_000;
pub(crate) const WEIGHT: RangeInclusive<u64> = 1..=1000;
pub(crate) const GANG_WORKERS: RangeInclusive<u64> = 1..=128;
/// Instances that all guarantees of a pool hold at once: more than the accelerators of 5,000
/// workers. At ten times as many, a check takes 480 MB.
pub(crate) const INSTANCES: u64 = 50_000;
pub(crate) const COUNT: RangeInclusive<u64> = 1..=10_000;

pub(crate) const DEFAULT_QUEUE: u32 = 64;
pub(crate) const DEFAULT_RETRY_PERCENT: u8 = 10;
pub(crate) const DEFAULT_BODY_LIMIT: u64 = 64 << 10;
