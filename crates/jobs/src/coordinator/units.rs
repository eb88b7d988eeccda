use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::JobEntry;
use super::run_time::RunTimeBound;
use super::{Coordinator, Timestamp};
use crate::TaskKey;
use crate::order::{Claimant, Rank, guaranteed_jobs};

/// Tasks of one step and occurrence that wait for workers.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Id of the job.
    pub job: String,
    /// The waiting tasks.
    pub keys: Vec<TaskKey>,
    /// Priority of the tasks.
    pub rank: Rank,
    /// Time since the tasks could have started.
    pub waited: Duration,
}

impl Coordinator {
    /// Returns the jobs that are within their team's guarantee.
    pub(super) fn guaranteed(&self) -> BTreeSet<String> {
        let claimants = self.jobs.values().filter(|entry| {
            entry.job.class == 0 && !entry.is_ended() && entry.job.schedule.is_none()
        });
        let claimants = claimants.map(|entry| Claimant {
            accepted_ms: entry.job.accepted_ms,
            accelerators: entry.job.accelerators(),
            job: &entry.job.id,
            team: &entry.job.team,
        });
        guaranteed_jobs(&self.tables, claimants.collect()).into_iter().map(str::to_owned).collect()
    }

    /// Returns all waiting work by priority, the most urgent first.
    pub(super) fn waiting_units(
        &mut self,
        now: Timestamp,
        guaranteed: &BTreeSet<String>,
    ) -> Vec<Unit> {
        let mut units = Vec::new();
        let mut not_waiting = Vec::new();
        for id in &self.waiting_jobs {
            let Some(entry) = self.jobs.get(id) else {
                not_waiting.push(id.clone());
                continue;
            };
            if entry.is_final() || entry.tasks.values().all(|task| task.done) {
                not_waiting.push(id.clone());
                continue;
            }
            let tier = u8::from(!guaranteed.contains(id));
            units.extend(self.units_of(entry, now, tier));
        }
        for id in not_waiting {
            self.waiting_jobs.remove(&id);
        }
        self.shares = self.pool_shares(now, &units);
        for unit in &mut units {
            self.mark_unit(unit);
        }
        units.sort_by(|a, b| (a.rank, &a.job, &a.keys).cmp(&(b.rank, &b.job, &b.keys)));
        units
    }

    pub(super) fn units_of(&self, entry: &JobEntry, now: Timestamp, tier: u8) -> Vec<Unit> {
        let mut units = Vec::new();
        for occurrence in 0..entry.job.occurrences() {
            let due = entry.job.due_ms(occurrence);
            if due.is_some_and(|due| due > now.wall_ms) {
                break;
            }
            for (step, spec) in (0_u32..).zip(&entry.job.steps) {
                if !spec.after.iter().all(|previous| is_step_done(entry, occurrence, *previous)) {
                    continue;
                }
                let keys = waiting_keys(entry, occurrence, step, spec.count, spec.gang);
                if keys.is_empty() {
                    continue;
                }
                let accepted_ms = due.unwrap_or(entry.job.accepted_ms);
                let start_ms = accepted_ms + self.latest_start(entry, occurrence);
                units.push(Unit {
                    job: entry.job.id.clone(),
                    keys,
                    rank: Rank {
                        tier,
                        class: entry.job.class,
                        expired: false,
                        over_share: false,
                        start_ms,
                    },
                    waited: Duration::from_millis(now.wall_ms.saturating_sub(accepted_ms)),
                });
            }
        }
        units
    }

    /// Returns the time after acceptance in milliseconds at which the remaining steps of an
    /// occurrence must start to meet its objective, from the expected run times.
    fn latest_start(&self, entry: &JobEntry, occurrence: u32) -> u64 {
        let critical_path = self.expected_critical_path(&entry.job);
        let done: u64 = (0_u32..)
            .zip(&entry.job.steps)
            .filter(|(step, _)| is_step_done(entry, occurrence, *step as usize))
            .map(|(_, spec)| self.run_time_ms(&entry.job, spec, RunTimeBound::Expected))
            .sum();
        entry.job.objective_ms(critical_path).saturating_sub(critical_path.saturating_sub(done))
    }
}

fn is_step_done(entry: &JobEntry, occurrence: u32, step: usize) -> bool {
    let Ok(number) = u32::try_from(step) else { return false };
    let Some(spec) = entry.job.steps.get(step) else { return false };
    (0..spec.count).all(|index| {
        let key = TaskKey { occurrence, step: number, index };
        entry.tasks.get(&key).is_some_and(|task| task.done)
    })
}

/// Returns the waiting tasks of a step; for a gang either all tasks or none.
fn waiting_keys(
    entry: &JobEntry,
    occurrence: u32,
    step: u32,
    count: u32,
    gang: bool,
) -> Vec<TaskKey> {
    let keys = (0..count).map(|index| TaskKey { occurrence, step, index });
    let waiting: Vec<TaskKey> = keys
        .filter(|key| {
            entry.tasks.get(key).is_some_and(|task| !task.done && task.placement.is_none())
        })
        .collect();
    if gang && waiting.len() < count as usize {
        return Vec::new();
    }
    waiting
}
