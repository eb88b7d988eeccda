use std::time::Duration;

use super::entry::JobEntry;
use super::run_time::RunTimeBound;
use super::units::Unit;
use super::{Coordinator, Timestamp};
use crate::order::{Claimant, guaranteed_jobs};
use crate::{
    Claim, RefusalCause, Resources, Step, WorkAhead, earliest_start, is_small, retry_after,
};

/// Time after which the caller of a job that fits on no worker should return. Only an operator who
/// adds workers changes the answer.
const UNFIT_RETRY: Duration = Duration::from_secs(30);

impl Coordinator {
    /// Returns why a job that is not stored yet is refused, and after which time its caller should
    /// return; `None` if it is accepted.
    ///
    /// Load pattern: more work arrives than the pool can serve. Each job that is accepted and ends
    /// too late takes the resources of one that would have been in time, and its caller learns of it
    /// only by waiting. Each rule errs towards accepting.
    pub(super) fn refusal(
        &self,
        now: Timestamp,
        entry: &JobEntry,
    ) -> Option<(RefusalCause, Duration)> {
        let job = &entry.job;
        let open = self
            .jobs
            .values()
            .filter(|other| other.job.pool == job.pool && !other.is_ended() && other.job.class > 0);
        if job.class > 0 && open.count() >= self.limits.open_jobs {
            let cause = RefusalCause::OpenJobs { limit: self.limits.open_jobs };
            return Some((cause, retry_after(&job.id, self.limits.reclaim)));
        }
        // The workers of a spare pool are switched on when they are needed, and other workers may be
        // there when an occurrence is due.
        let spare = self.tables.pools.get(&job.pool).is_some_and(|pool| pool.spare);
        let known = self.known_workers.is_known(&job.pool, now.monotonic);
        if spare || !known || job.schedule.is_some() || self.is_claim(entry) {
            return None;
        }
        if let Some(step) = self.unfit_step(entry) {
            return Some((RefusalCause::Unfit { step }, retry_after(&job.id, UNFIT_RETRY)));
        }
        let (end_ms, limit_ms) = self.late_end(now, entry)?;
        let wait = Duration::from_millis(end_ms - limit_ms);
        Some((RefusalCause::TooLate { end_ms, limit_ms }, retry_after(&job.id, wait)))
    }

    /// Reports whether a submitted job is within its team's guarantee.
    fn is_claim(&self, entry: &JobEntry) -> bool {
        if entry.job.class != 0 {
            return false;
        }
        let claimants = self.jobs.values().chain(std::iter::once(entry)).filter(|other| {
            other.job.class == 0
                && !other.is_ended()
                && other.job.schedule.is_none()
                && other.job.team == entry.job.team
        });
        let claimants = claimants.map(|other| Claimant {
            accepted_ms: other.job.accepted_ms,
            accelerators: other.job.accelerators(),
            job: &other.job.id,
            team: &other.job.team,
        });
        guaranteed_jobs(&self.tables, claimants.collect()).contains(&entry.job.id.as_str())
    }

    /// Returns a step whose tasks fit on no worker of the pool.
    fn unfit_step(&self, entry: &JobEntry) -> Option<usize> {
        let fits = |number: u32, step: &Step| {
            let need = entry.resources(number);
            self.known_workers.fits(&entry.job.pool, &need, step.label.as_ref())
        };
        let mut steps = (0_u32..).zip(&entry.job.steps);
        let (number, _) = steps.find(|(number, step)| !fits(*number, step))?;
        Some(number as usize)
    }

    /// Returns a lower bound for the end of a job and three times its objective, in milliseconds from
    /// its acceptance, if the bound is beyond that.
    fn late_end(&self, now: Timestamp, entry: &JobEntry) -> Option<(u64, u64)> {
        let job = &entry.job;
        self.shares.get(&job.pool).filter(|shares| shares.is_contended())?;
        if job.lasts() || !self.has_objective(job) || self.may_preempt(entry) {
            return None;
        }
        let capacity = self.known_workers.capacity(&job.pool);
        let limit_ms = self.gain_limit_ms(job);
        // One step suffices for a lower bound, and keeps the cost of a submission at one look at the
        // waiting work, however many steps the job has.
        let unit = self.units_of(entry, now, 1).into_iter().next()?;
        let step = unit.keys.first()?.step;
        let start_ms = earliest_start(self.work_ahead(now, entry, &unit), &capacity);
        if start_ms == 0 {
            return None;
        }
        let waited_ms = u64::try_from(unit.waited.as_millis()).unwrap_or(u64::MAX);
        let end_ms = (start_ms + self.shortest_path_ms(job, step)).saturating_add(waited_ms);
        (end_ms > limit_ms).then_some((end_ms, limit_ms))
    }

    /// Reports whether a job may stop work that runs in its pool. It may then start before work that
    /// has waited for longer, which may destroy less because it is late.
    fn may_preempt(&self, entry: &JobEntry) -> bool {
        let job = &entry.job;
        Claim::may_stop(job.class, false)
            && self.jobs.values().any(|other| {
                other.job.pool == job.pool
                    && other.job.class > job.class
                    && other.placements().next().is_some()
            })
    }

    /// Returns the waiting work that certainly starts before a unit of a submitted job.
    ///
    /// It is in a more urgent class, or in the same class, of the same team and with an earlier latest
    /// start: the order of two teams changes with their shares. Steps that wait for others are left
    /// out, since other work runs in the meantime, as is work that could wait while the unit starts.
    fn work_ahead(&self, now: Timestamp, entry: &JobEntry, unit: &Unit) -> Vec<WorkAhead> {
        let largest = self.known_workers.largest(&entry.job.pool).unwrap_or_default();
        let mut ahead = Vec::new();
        for id in &self.waiting_jobs {
            let Some(other) = self.jobs.get(id) else { continue };
            let same_class = other.job.class == entry.job.class;
            let goes_first = other.job.class < entry.job.class
                || (same_class && other.job.team == entry.job.team);
            if !goes_first || other.job.pool != entry.job.pool || other.is_final() {
                continue;
            }
            for other_unit in self.units_of(other, now, 1) {
                let later = same_class && other_unit.rank.start_ms > unit.rank.start_ms;
                if later || !starts_first(now, &largest, (other, &other_unit), (entry, unit)) {
                    continue;
                }
                // Within a class, work that can gain nothing any more yields as soon as another team
                // has work.
                ahead.extend(self.amount_ahead(other, &other_unit, same_class));
            }
        }
        ahead
    }

    /// Returns the amount of the work of a waiting unit; `None` if it yields already.
    fn amount_ahead(&self, entry: &JobEntry, unit: &Unit, yields: bool) -> Option<WorkAhead> {
        let step_number = unit.keys.first()?.step;
        let step = entry.job.steps.get(step_number as usize)?;
        let waited_ms = u64::try_from(unit.waited.as_millis()).unwrap_or(u64::MAX);
        let until_ms = if yields && self.has_objective(&entry.job) {
            Some(self.gain_time_ms(&entry.job, step_number, waited_ms)?)
        } else {
            None
        };
        Some(WorkAhead {
            run_ms: self.run_time_ms(&entry.job, step, RunTimeBound::Lower),
            longest_ms: self.run_time_ms(&entry.job, step, RunTimeBound::Upper),
            resources: entry.resources(step_number).times(unit.keys.len()),
            until_ms,
        })
    }
}

/// Reports whether the first unit starts wherever the second one can, so that the second one does not
/// pass it in a gap.
fn starts_first(
    now: Timestamp,
    largest: &Resources,
    (first_entry, first_unit): (&JobEntry, &Unit),
    (second_entry, second_unit): (&JobEntry, &Unit),
) -> bool {
    let (Some(first_key), Some(second_key)) = (first_unit.keys.first(), second_unit.keys.first())
    else {
        return false;
    };
    let first = first_entry.job.steps.get(first_key.step as usize);
    let second = second_entry.job.steps.get(second_key.step as usize);
    let (Some(first), Some(second)) = (first, second) else { return false };
    let need = first_entry.resources(first_key.step);
    let fits = second_entry.resources(second_key.step).fits(&need);
    let counts = !first.gang || (second.gang && first_unit.keys.len() <= second_unit.keys.len());
    let anywhere = (first.label.is_none() || first.label == second.label)
        && (first.near_rack.is_none() || first.near_rack == second.near_rack)
        && (!first.same_rack || second.same_rack)
        && first.spread == 0;
    let special = first.lasting || first.fills || first.response_ms > 0 || first_entry.job.advised;
    // Headroom holds small tasks back that have slack.
    let has_slack = first_entry.job.class > 0 && first_unit.rank.start_ms > now.wall_ms;
    let held_back = has_slack && is_small(&need, largest);
    // Tasks after a crash or a failure wait for other workers for some seconds.
    let troubled =
        first_unit.keys.iter().filter_map(|key| first_entry.tasks.get(key)).any(|task| {
            task.avoided_worker.is_some()
                || task.crashed_at.is_some()
                || task.crash_record.is_suspect()
        });
    fits && counts && anywhere && !special && !held_back && !troubled
}
