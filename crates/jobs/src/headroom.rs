use crate::Resources;

/// A task that takes at most this share of a worker's largest resource is small: several of them, one
/// on each worker, leave no worker for a task that needs a whole one.
const SMALL_SHARE: f64 = 0.25;

/// Share of the workers that small tasks leave to others.
const OPEN_SHARE: f64 = 0.34;

/// Reports whether a task that needs `need` is small on workers of the size `worker`.
pub fn is_small(need: &Resources, worker: &Resources) -> bool {
    let share = |need: i64, have: i64| if have <= 0 { 0.0 } else { need as f64 / have as f64 };
    let largest = share(need.accelerators, worker.accelerators)
        .max(share(need.cores, worker.cores))
        .max(share(need.memory, worker.memory));
    largest <= SMALL_SHARE
}

/// Returns the workers of `allowed` on which small tasks that can wait may be placed, as indexes into
/// `free`, the free room of all workers: the emptiest ones are left out.
///
/// Load pattern: bulk work of many small tasks arrives beside tasks that need most of a worker, and
/// beside urgent gangs. Where the small tasks fill every gap, each larger task has to wait for several
/// of them or to stop them. Bulk work has the slack to queue for the other workers instead.
pub fn leave_room(free: &[Resources], mut allowed: Vec<usize>) -> Vec<usize> {
    // Rounded down, so that at least one worker stays. A pool has far fewer than 2^52 workers.
    let open = (allowed.len() as f64 * OPEN_SHARE) as usize;
    if open == 0 {
        return allowed;
    }
    allowed.select_nth_unstable_by_key(open - 1, |index| {
        let resources = &free[*index];
        (-resources.accelerators, -resources.cores, -resources.memory, *index)
    });
    allowed.drain(..open);
    allowed.sort_unstable();
    allowed
}
