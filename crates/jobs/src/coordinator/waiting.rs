use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::pool_state::PoolState;
use super::uncounted::UncountedStep;
use super::unit_rules::best_slots;
use super::units::Unit;
use super::wait_reason::WaitReason;
use super::{Coordinator, Decision, DecisionKind, Timestamp};
use crate::{Demand, StepId, TaskKey};

/// Tasks that could start and have waited for this long are overdue. On a pool with free resources
/// a task starts within a second.
const OVERDUE_AFTER: Duration = Duration::from_secs(3);

/// Time between two looks at the waiting work.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the line about a step is repeated while the reason stays the same.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of steps whose reason is determined in one look, and thereby of lines.
const MAX_LINES: usize = 12;

/// Maximum number of overdue steps that are compared with the free resources in one look.
const MAX_COMPARED: usize = 200;

/// Numbers of steps with overdue tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitCounts {
    /// Steps whose tasks wait although the free resources of open workers would hold them twice.
    pub fitting: usize,
    /// All steps with overdue tasks.
    pub overdue: usize,
}

/// Steps whose tasks wait, and the lines that were written about them.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitLog {
    checked_at: Option<Instant>,
    counts: WaitCounts,
    steps: BTreeMap<StepId, WaitingStep>,
}

#[derive(Clone, Debug)]
struct WaitingStep {
    /// The run in the way, with its number, and since when it is.
    blocking: Option<(TaskKey, u32, Instant)>,
    /// Time and reason of the last line.
    line: Option<(Instant, WaitReason)>,
    /// Since when tasks of the step could start.
    since: Instant,
}

/// A step whose tasks do not start.
enum Subject {
    Counted(Unit),
    Uncounted(UncountedStep),
}

impl WaitLog {
    pub(super) fn new() -> Self {
        Self::default()
    }
}

impl WaitingStep {
    /// Returns a step after a look at its tasks. `earlier` is its state at the last look.
    fn new(earlier: Option<Self>, subject: &Subject, first_seen: Instant, now: Instant) -> Self {
        let (line, since) =
            earlier.as_ref().map_or((None, first_seen), |step| (step.line, step.since));
        let blocking = match subject {
            Subject::Counted(_) => None,
            Subject::Uncounted(uncounted) => uncounted.blocking.map(|(key, run, known)| {
                let seen = earlier.and_then(|step| step.blocking);
                let seen = seen.filter(|seen| (seen.0, seen.1) == (key, run));
                (key, run, known.or(seen.map(|seen| seen.2)).unwrap_or(now))
            }),
        };
        Self { blocking, line, since }
    }

    fn waited(&self, now: Instant) -> Duration {
        let since = self.blocking.map_or(self.since, |(_, _, since)| since);
        now.saturating_duration_since(since)
    }

    /// Returns the order in which lines are due, and `None` for a step that is not overdue: first
    /// lines, repeated ones, and those that are due only if the reason has changed.
    fn urgency(&self, now: Instant) -> Option<u8> {
        if self.waited(now) < OVERDUE_AFTER {
            return None;
        }
        Some(match self.line {
            None => 0,
            Some((at, _)) if now >= at + REPEAT_INTERVAL => 1,
            Some(_) => 2,
        })
    }
}

impl Coordinator {
    /// Returns the numbers of steps with overdue tasks at the last look.
    pub fn wait_counts(&self) -> WaitCounts {
        self.wait_log.counts
    }

    /// Records why tasks do not start that could have started some time ago. `units` is the waiting
    /// work at the start of the round of planning that has just ended.
    pub(super) fn check_waiting(&mut self, now: Timestamp, units: &[Unit]) {
        let earlier_check = self.wait_log.checked_at;
        if earlier_check.is_some_and(|at| now.monotonic < at + CHECK_INTERVAL) {
            return;
        }
        self.wait_log.checked_at = Some(now.monotonic);
        let mut steps = BTreeMap::new();
        let mut overdue = Vec::new();
        for (id, subject) in self.waiting_subjects(now, units) {
            let earlier = self.wait_log.steps.remove(&id);
            let first_seen = self.first_seen(now, &subject, earlier_check);
            let step = WaitingStep::new(earlier, &subject, first_seen, now.monotonic);
            if let Some(urgency) = step.urgency(now.monotonic) {
                overdue.push((urgency, Reverse(step.waited(now.monotonic)), id.clone(), subject));
            }
            steps.insert(id, step);
        }
        overdue.sort_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut pools = BTreeMap::new();
        self.wait_log.counts = self.count_overdue(now, &overdue, &mut pools);
        for (urgency, waited, id, subject) in overdue.into_iter().take(MAX_LINES) {
            let Some((reason, text)) = self.explain_subject(now, &subject, &mut pools) else {
                continue;
            };
            let Some(step) = steps.get_mut(&id) else { continue };
            if urgency == 2 && step.line.is_some_and(|(_, last)| last == reason) {
                continue;
            }
            step.line = Some((now.monotonic, reason));
            let detail = format!("{text}; not started for {} ms", waited.0.as_millis());
            self.record_decision(&id.to_string(), DecisionKind::Waiting, detail);
        }
        self.wait_log.steps = steps;
    }

    /// Returns why tasks do not start that could start now, of the job, step or task `id`; nothing
    /// if all of them run, have ended or wait for other steps.
    pub fn explain_waiting(&self, now: Timestamp, id: &str) -> Vec<Decision> {
        let job = id.split('.').next().unwrap_or(id);
        let Some(entry) = self.jobs.get(job) else { return Vec::new() };
        let tier = u8::from(!self.guaranteed().contains(job));
        let queued = self.waiting_jobs.contains(job) && !entry.is_final();
        let mut units = if queued { self.units_of(entry, now, tier) } else { Vec::new() };
        units.iter_mut().for_each(|unit| self.mark_unit(unit));
        let mut pools = BTreeMap::new();
        let mut decisions = Vec::new();
        for (step, subject) in self.subjects(now, units, std::iter::once(entry)) {
            let step_id = step.to_string();
            if !(is_part(&step_id, id) || is_part(id, &step_id)) {
                continue;
            }
            let Some((_, detail)) = self.explain_subject(now, &subject, &mut pools) else {
                continue;
            };
            decisions.push(Decision { detail, id: step_id, kind: DecisionKind::Waiting });
        }
        decisions
    }

    /// Returns all steps whose tasks do not start after a round of planning.
    fn waiting_subjects(&self, now: Timestamp, units: &[Unit]) -> BTreeMap<StepId, Subject> {
        let still_waiting = units.iter().filter_map(|unit| {
            let entry = self.jobs.get(&unit.job)?;
            let keys = unit.keys.iter().copied();
            let keys: Vec<TaskKey> = keys.filter(|key| entry.placement(key).is_none()).collect();
            let Unit { job, rank, waited, .. } = unit;
            (!keys.is_empty()).then(|| Unit {
                job: job.clone(),
                keys,
                rank: *rank,
                waited: *waited,
            })
        });
        self.subjects(now, still_waiting.collect(), self.jobs.values())
    }

    fn subjects<'a>(
        &self,
        now: Timestamp,
        units: Vec<Unit>,
        entries: impl Iterator<Item = &'a super::entry::JobEntry>,
    ) -> BTreeMap<StepId, Subject> {
        let counted: BTreeSet<(&str, u32, u32)> = units
            .iter()
            .filter_map(|unit| {
                let first = unit.keys.first()?;
                Some((unit.job.as_str(), first.occurrence, first.step))
            })
            .collect();
        let mut subjects = BTreeMap::new();
        for entry in entries {
            for uncounted in self.uncounted_steps(now, entry, &counted) {
                subjects.insert(uncounted.step.clone(), Subject::Uncounted(uncounted));
            }
        }
        for unit in units {
            let Some(first) = unit.keys.first() else { continue };
            subjects.insert(StepId::new(&unit.job, first), Subject::Counted(unit));
        }
        subjects
    }

    /// Returns since when the tasks of a step could start that was not waiting at the last look.
    /// Tasks of a job that was accepted or became due before that look waited for another step, or
    /// ran.
    fn first_seen(
        &self,
        now: Timestamp,
        subject: &Subject,
        earlier_check: Option<Instant>,
    ) -> Instant {
        let Subject::Counted(unit) = subject else { return now.monotonic };
        let Some(accepted_at) = now.monotonic.checked_sub(unit.waited) else {
            return now.monotonic;
        };
        let started = self.jobs.get(&unit.job).is_some_and(|entry| entry.started);
        let known = earlier_check.map_or(!started, |at| accepted_at >= at);
        if known { accepted_at } else { now.monotonic }
    }

    fn count_overdue(
        &self,
        now: Timestamp,
        overdue: &[(u8, Reverse<Duration>, StepId, Subject)],
        pools: &mut BTreeMap<String, PoolState>,
    ) -> WaitCounts {
        let mut counts = WaitCounts { fitting: 0, overdue: overdue.len() };
        for (.., subject) in overdue.iter().take(MAX_COMPARED) {
            let Subject::Counted(unit) = subject else { continue };
            counts.fitting += usize::from(self.fits_twice(now, unit, pools).unwrap_or(false));
        }
        counts
    }

    /// Reports whether the free resources of open workers would hold all tasks of a unit twice,
    /// whatever rules apply to it.
    fn fits_twice(
        &self,
        now: Timestamp,
        unit: &Unit,
        pools: &mut BTreeMap<String, PoolState>,
    ) -> Option<bool> {
        let entry = self.jobs.get(&unit.job)?;
        let demand = Demand {
            count: u32::try_from(unit.keys.len() * 2).ok()?,
            fills: false,
            near_rack: None,
            resources: entry.resources(unit.keys.first()?.step),
            same_rack: false,
            spread: 0,
        };
        let state = self.cached_pool(now, &entry.job.pool, pools);
        let candidates = state.view.candidates.iter();
        let slots = candidates.map(|worker| (&*worker.rack, demand.slots(&worker.free, 0)));
        Some(best_slots(&demand, slots) >= demand.count)
    }

    fn explain_subject(
        &self,
        now: Timestamp,
        subject: &Subject,
        pools: &mut BTreeMap<String, PoolState>,
    ) -> Option<(WaitReason, String)> {
        match subject {
            Subject::Counted(unit) => {
                let pool = &self.jobs.get(&unit.job)?.job.pool;
                self.unit_reason(now, unit, self.cached_pool(now, pool, pools))
            }
            Subject::Uncounted(uncounted) => {
                Some((uncounted.reason, self.describe_uncounted(now, uncounted)))
            }
        }
    }

    fn cached_pool<'a>(
        &self,
        now: Timestamp,
        pool: &str,
        pools: &'a mut BTreeMap<String, PoolState>,
    ) -> &'a PoolState {
        pools.entry(pool.to_owned()).or_insert_with(|| self.pool_state(now, pool, OVERDUE_AFTER))
    }
}

/// Reports whether `part` is the id `whole` or that of a part of it.
fn is_part(part: &str, whole: &str) -> bool {
    let suffix = part.strip_prefix(whole);
    suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('.'))
}
