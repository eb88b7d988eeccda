use std::collections::BTreeMap;
use std::time::Duration;

use super::entry::{JobEntry, Placement};
use super::{Coordinator, Timestamp};
use crate::progress::{is_predictable, remaining_time};
use crate::{TaskId, TaskKey};

/// Remaining times of gangs, by job, occurrence and step, so that each is computed once in a round.
pub(super) type GangTimes<'a> = BTreeMap<(&'a str, u32, u32), Duration>;

impl Coordinator {
    /// Estimates the time after which a run frees its resources by itself. The members of a gang
    /// end together, with the slowest of them.
    pub(super) fn remaining_time(&self, now: Timestamp, task: &TaskId) -> Duration {
        let Some(entry) = self.jobs.get(&task.job) else { return Duration::ZERO };
        let members = entry.members(&task.key);
        let times = members.iter().map(|key| self.member_time(now, entry, key));
        times.max().unwrap_or(Duration::ZERO)
    }

    /// Like [`Coordinator::remaining_time`], and computes the time of each gang only once.
    pub(super) fn cached_time<'a>(
        &'a self,
        now: Timestamp,
        task: &'a TaskId,
        times: &mut GangTimes<'a>,
    ) -> Duration {
        let gang = self.jobs.get(&task.job).is_some_and(|entry| entry.is_gang(task.key.step));
        if !gang {
            return self.remaining_time(now, task);
        }
        let key = (task.job.as_str(), task.key.occurrence, task.key.step);
        *times.entry(key).or_insert_with(|| self.remaining_time(now, task))
    }

    /// Reports whether the remaining time of a run follows from the progress of all runs that end
    /// with it.
    pub(super) fn has_progress(&self, task: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return false };
        entry.members(&task.key).iter().all(|key| {
            let start = |placement: &Placement| placement.progress_start.map_or(0, |start| start.1);
            entry.placement(key).is_some_and(|run| is_predictable(start(run), run.percent))
        })
    }

    fn member_time(&self, now: Timestamp, entry: &JobEntry, key: &TaskKey) -> Duration {
        let Some(placement) = entry.placement(key) else { return Duration::ZERO };
        let expected = self.expected_run_time(now, entry, key.step, &placement.worker);
        let (since, start_percent) = placement.progress_start.unwrap_or((placement.placed_at, 0));
        remaining_time(now.monotonic, since, start_percent, placement.percent, expected)
    }
}
