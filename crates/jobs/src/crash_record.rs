/// Crashes after which a task is given up, if [`MIN_UNSHARED`] of them have no other explanation.
const MAX_CRASHES: u32 = 3;

/// Crashes that no other job can have caused before a task is given up. A single one may be a
/// coincidence.
const MIN_UNSHARED: u32 = 2;

/// Crashes after which a task is given up if one of them has no other explanation.
const MAX_MIXED_CRASHES: u32 = 4;

/// Crashes after which a task is given up in any case, because five starts are the most that a task
/// may have. Sound tasks met four crashes when waves of crashing workers came as fast as the workers
/// restarted.
const MAX_SHARED_CRASHES: u32 = 5;

/// Crashes of workers under the runs of one task.
///
/// Load pattern: a few tasks crash each worker that starts them. Other tasks run or start on these
/// workers and are lost with them, so that a single crash does not show which task caused it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashRecord {
    /// Workers that crashed under a run of the task.
    pub crashes: u32,
    /// Those of `crashes` that no run of another job can have caused.
    pub unshared: u32,
}

impl CrashRecord {
    /// Records that a worker crashed under a run of the task; `unshared` tells that no run of
    /// another job can have been the cause.
    pub fn record(&mut self, unshared: bool) {
        self.crashes += 1;
        self.unshared += u32::from(unshared);
    }

    /// Reports whether the task may have caused a crash, so that its next run should be isolated.
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Reports whether one more crash may end the task, so that its next run should start while no
    /// worker crashes for another cause.
    pub fn needs_calm(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }

    /// Reports whether the task must not be started again.
    pub fn is_exhausted(&self) -> bool {
        self.crashes >= MAX_SHARED_CRASHES
            || (self.crashes >= MAX_MIXED_CRASHES && self.unshared > 0)
            || (self.crashes >= MAX_CRASHES && self.unshared >= MIN_UNSHARED)
    }
}
