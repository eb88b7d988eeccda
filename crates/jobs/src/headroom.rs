use crate::Resources;

/// A task is small if it needs at most this share of each resource of a worker. Several small
/// tasks, one on each worker, leave no worker for a task that needs a whole one.
const MAX_SMALL_SHARE: f64 = 0.25;

/// Share of the workers that is reserved for other tasks than small ones.
const RESERVED_SHARE: f64 = 0.34;

/// Reports whether a task that needs `need` is small on workers of the size `worker`.
pub fn is_small(need: &Resources, worker: &Resources) -> bool {
    let share = |need: i64, total: i64| if total <= 0 { 0.0 } else { need as f64 / total as f64 };
    let largest = share(need.accelerators, worker.accelerators)
        .max(share(need.cores, worker.cores))
        .max(share(need.memory, worker.memory));
    largest <= MAX_SMALL_SHARE
}

/// Returns the workers of `allowed` without the emptiest ones. Small tasks that can wait are placed
/// only on these. `allowed` holds indexes into `free`, the free resources of all workers.
///
/// Load pattern: bulk work of many small tasks arrives together with tasks that need most of a
/// worker and with urgent gangs. If the small tasks fill every gap, each larger task has to wait
/// for several of them or to stop them. Bulk work has the slack to queue for the other workers
/// instead.
pub fn exclude_emptiest(free: &[Resources], mut allowed: Vec<usize>) -> Vec<usize> {
    // Rounded down, so that at least one worker remains. A pool has far fewer than 2^52 workers.
    let reserved = (allowed.len() as f64 * RESERVED_SHARE) as usize;
    if reserved == 0 {
        return allowed;
    }
    allowed.select_nth_unstable_by_key(reserved - 1, |index| {
        let resources = &free[*index];
        (-resources.accelerators, -resources.cores, -resources.memory, *index)
    });
    allowed.drain(..reserved);
    allowed.sort_unstable();
    allowed
}
