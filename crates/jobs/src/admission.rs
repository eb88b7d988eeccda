use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use sha2::{Digest, Sha256};

use crate::{Fleet, Resources, WorkerStatus};

/// Multiple of its objective beyond which a job is worth nothing to its caller.
pub const MAX_LATENESS: u64 = 3;

/// Time for which a leader must have seen workers of a pool before it refuses by their sizes. Agents
/// find a new leader and report to it within seconds.
const MIN_KNOWN: Duration = Duration::from_secs(10);

/// Time for which a worker that has left still counts as present. Covers a restart under a new id.
const MEMORY: Duration = Duration::from_secs(60);

/// Time between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time after which a caller is told to return, before it is spread.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time after which a caller is told to return, before it is spread.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Part of the retry time by which it is shortened or extended at most.
const RETRY_SPREAD: f64 = 0.25;

/// Why a job is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RefusalCause {
    /// The pool has as many open jobs as it may have.
    #[display("the pool has reached its limit of {limit} open jobs")]
    OpenJobs {
        /// The limit.
        limit: usize,
    },
    /// Tasks of a step fit on no worker of the pool, even if it is empty.
    #[display("a task of step {step} fits on no worker of the pool, by total resources and label")]
    Unfit {
        /// Number of the step.
        step: usize,
    },
    /// The job ends after its objective by a factor at which it is worth nothing.
    #[display(
        "it would end {end_ms} ms after its acceptance at the earliest, later than three times its objective, {limit_ms} ms"
    )]
    TooLate {
        /// Lower bound for the end.
        end_ms: u64,
        /// Upper bound for three times the objective.
        limit_ms: u64,
    },
}

/// Waiting work that starts before a submitted job can.
#[derive(Clone, Copy, Debug)]
pub struct WorkAhead {
    /// Lower bound for the run time of a task.
    pub run_ms: u64,
    /// Upper bound for the run time of a task.
    pub longest_ms: u64,
    /// Resources of all its tasks.
    pub resources: Resources,
    /// Time from now after which it no longer goes first, because it can gain nothing any more;
    /// `None` if it always does.
    pub until_ms: Option<u64>,
}

/// Returns a lower bound for the time in milliseconds until all work in `ahead` that still goes
/// first has started, in a pool with the total resources `capacity`.
///
/// What has started by then may not have ended; it takes the whole pool for at most the longest run
/// time. So at least the work ahead without this amount has been done.
pub fn earliest_start(mut ahead: Vec<WorkAhead>, capacity: &Resources) -> u64 {
    ahead.sort_by_key(|work| work.until_ms.unwrap_or(u64::MAX));
    let mut sums = [0.0; 2];
    for work in &ahead {
        add(&mut sums, work, 1.0);
    }
    let longest = ahead.iter().map(|work| work.longest_ms).max().unwrap_or(0);
    let mut earliest = 0;
    for work in &ahead {
        let Some(until) = work.until_ms else { break };
        let needed = needed_ms(&sums, capacity).saturating_sub(longest).max(earliest);
        if needed <= until {
            return needed;
        }
        earliest = until;
        add(&mut sums, work, -1.0);
    }
    needed_ms(&sums, capacity).saturating_sub(longest).max(earliest)
}

fn add(sums: &mut [f64; 2], work: &WorkAhead, sign: f64) {
    let millis = work.run_ms as f64 * sign;
    sums[0] += work.resources.accelerators as f64 * millis;
    sums[1] += work.resources.cores as f64 * millis;
}

/// Returns the time in which the whole pool does the work.
fn needed_ms(sums: &[f64; 2], capacity: &Resources) -> u64 {
    let time = |sum: f64, whole: i64| if whole <= 0 { 0.0 } else { sum / whole as f64 };
    // Rounded down, so that the bound stays a lower one.
    time(sums[0], capacity.accelerators).max(time(sums[1], capacity.cores)).max(0.0) as u64
}

/// Returns the time after which the caller of job `id` should return, from the time after which a
/// further try may succeed.
///
/// Load pattern: many callers are refused within a second. With equal times they would return
/// together, and be refused together again. The factor comes from the id, so that each repeat, also
/// at another entry, gets the same answer.
pub fn retry_after(id: &str, wait: Duration) -> Duration {
    let digest = Sha256::digest(id.as_bytes());
    let part = f64::from(u16::from_be_bytes([digest[0], digest[1]])) / f64::from(u16::MAX);
    let factor = 1.0 + RETRY_SPREAD * (2.0 * part - 1.0);
    wait.clamp(MIN_RETRY, MAX_RETRY).mul_f64(factor)
}

/// A worker as it was last seen.
#[derive(Clone, Debug)]
struct KnownWorker {
    first_seen: Instant,
    last_seen: Instant,
    status: WorkerStatus,
}

/// Workers that a leader has seen, whether they are open or not.
///
/// A refusal by the size of workers must not follow from a worker that is closed, evacuated,
/// restarting, or not yet known to a new leader.
#[derive(Clone, Debug, Default)]
pub struct KnownWorkers {
    looked_at: Option<Instant>,
    /// Whether stored rows name workers that have not reported yet, so that their pool is unknown.
    unreported: bool,
    workers: BTreeMap<String, KnownWorker>,
}

impl KnownWorkers {
    /// Returns no workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the workers of the fleet.
    pub fn observe(&mut self, fleet: &Fleet, now: Instant) {
        if self.looked_at.is_some_and(|at| now < at + LOOK_INTERVAL) {
            return;
        }
        self.looked_at = Some(now);
        self.unreported = fleet.workers.values().any(|worker| !worker.has_reported);
        for (id, worker) in fleet.workers.iter().filter(|(_, worker)| worker.has_reported) {
            match self.workers.get_mut(id) {
                Some(known) if known.status == worker.status => known.last_seen = now,
                Some(known) => {
                    known.status.clone_from(&worker.status);
                    known.last_seen = now;
                }
                None => {
                    let status = worker.status.clone();
                    let known = KnownWorker { first_seen: now, last_seen: now, status };
                    self.workers.insert(id.clone(), known);
                }
            }
        }
        self.workers.retain(|_, worker| now < worker.last_seen + MEMORY);
    }

    /// Reports whether the workers of a pool are known well enough to refuse by them.
    pub fn is_known(&self, pool: &str, now: Instant) -> bool {
        let first = self.of_pool(pool).map(|worker| worker.first_seen).min();
        !self.unreported && first.is_some_and(|first| now >= first + MIN_KNOWN)
    }

    /// Returns the resources of all workers of a pool.
    pub fn capacity(&self, pool: &str) -> Resources {
        let mut capacity = Resources::default();
        for worker in self.of_pool(pool) {
            capacity.add(&worker.status.resources);
        }
        capacity
    }

    /// Reports whether a task fits on some empty worker of a pool.
    pub fn fits(&self, pool: &str, need: &Resources, label: Option<&String>) -> bool {
        self.of_pool(pool).any(|worker| {
            worker.status.resources.fits(need)
                && label.is_none_or(|label| worker.status.labels.contains(label))
        })
    }

    /// Returns the resources of the largest worker of a pool.
    pub fn largest(&self, pool: &str) -> Option<Resources> {
        let sizes = self.of_pool(pool).map(|worker| worker.status.resources);
        sizes.max_by_key(|size| (size.accelerators, size.cores, size.memory))
    }

    fn of_pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a KnownWorker> {
        self.workers.values().filter(move |worker| worker.status.pool == pool)
    }
}
