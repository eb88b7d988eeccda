use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::entry::Placement;
use super::pool_view::{PoolView, select_candidates};
use super::units::Unit;
use super::{Coordinator, DecisionKind, Timestamp};
use crate::{CrashRecord, Demand, LossCause, TaskId, TaskKey, choose_workers};

/// A run that its worker has listed for this long, and that has made progress, has survived its
/// start.
const PROVEN_BY_PROGRESS: Duration = Duration::from_millis(500);

/// A run that its worker has listed for this long has survived its start, also without progress.
/// Longer than the time in which an agent notices that its worker is down, because until then it
/// repeats the last listing.
const PROVEN_BY_TIME: Duration = Duration::from_secs(3);

/// A run that lasts this long clears the record of its task. A crash after it has another cause.
const CLEARED_AFTER: Duration = Duration::from_secs(30);

/// Time for which a crash that no start explains counts as a sign of another cause. Covers the
/// restart of the workers that crashed at the same time.
const UNEXPLAINED_KEPT: Duration = Duration::from_secs(10);

/// Number of such crashes in a pool that discount the evidence against its tasks.
const MIN_UNEXPLAINED: usize = 2;

/// On large pools, where single workers crash every now and then, one worker in this many must have
/// crashed.
const UNEXPLAINED_DIVISOR: usize = 20;

/// Longest time after a crash for which a suspect task waits for a worker on which nothing else is
/// starting.
const MAX_ISOLATION_WAIT: Duration = Duration::from_secs(3);

/// Time without a crash in a pool after which its workers count as calm. Longer than a worker takes
/// to restart, because waves of crashes were seen to come about as fast.
const CALM_AFTER: Duration = Duration::from_secs(5);

/// Longest time after its last crash for which a task waits until the pool is calm.
const MAX_CALM_WAIT: Duration = Duration::from_secs(10);

/// Time for which crashes of the workers of a pool are remembered.
const CRASHES_KEPT: Duration = Duration::from_secs(600);

/// Time before the first loss of a task in which the crashes of other workers are counted, so that a
/// wave of crashes is not taken for its own.
const FIRST_LOSS_WINDOW: Duration = Duration::from_secs(10);

impl Placement {
    /// Records that a worker that answers its agent lists the run.
    pub(super) fn prove(&mut self, now: Instant) {
        let Some(listed_at) = self.listed_at else { return };
        let listed_for = now.saturating_duration_since(listed_at);
        self.proven |=
            listed_for >= PROVEN_BY_TIME || (self.percent > 0 && listed_for >= PROVEN_BY_PROGRESS);
    }
}

/// A crash of a worker that no start explains.
#[derive(Clone, Debug)]
pub(super) struct UnexplainedCrash {
    at: Instant,
    pool: String,
}

impl Coordinator {
    /// Records the loss of a worker under the tasks that may have caused it.
    pub(super) fn record_crash(&mut self, now: Timestamp, id: &str, cause: LossCause) {
        match cause {
            LossCause::Crashed => {}
            LossCause::Lapsed => return self.keep_lapsed_runs(now, id),
            LossCause::Left | LossCause::Silent => return,
        }
        if let Some(worker) = self.fleet.workers.get(id) {
            self.last_crashes.insert(worker.status.pool.clone(), now.monotonic);
        }
        self.record_losses(now, id);
        let (suspects, unshared) = self.crash_suspects(now, id);
        for task in &suspects {
            self.record_crash_under(now, id, task, unshared, suspects.len());
        }
    }

    fn keep_lapsed_runs(&mut self, now: Timestamp, id: &str) {
        let (unproven, listed) = (self.unproven_runs(id), self.listed_runs(now, id));
        if let Some(worker) = self.fleet.workers.get_mut(id) {
            worker.lapsed_runs.extend(listed);
            worker.lapsed_starts.extend(unproven);
        }
    }

    /// Returns the runs that a worker lists, with the time for which it has until it was closed.
    fn listed_runs(&self, now: Timestamp, id: &str) -> Vec<(TaskId, Duration)> {
        let Some(worker) = self.fleet.workers.get(id) else { return Vec::new() };
        let until = worker.closed_since.unwrap_or(now.monotonic);
        let listed = |task: &TaskId| {
            let listed_at = self.placement(task)?.listed_at?;
            Some((task.clone(), until.saturating_duration_since(listed_at)))
        };
        worker.runs.keys().filter_map(listed).collect()
    }

    /// Weighs the crash of a worker, whose agent has outlived it, against each task that ran there.
    fn record_losses(&mut self, now: Timestamp, id: &str) {
        let Some(worker) = self.fleet.workers.get_mut(id).filter(|worker| !worker.is_reached)
        else {
            return;
        };
        let pool = worker.status.pool.clone();
        let mut runs = std::mem::take(&mut worker.lapsed_runs);
        runs.extend(self.listed_runs(now, id));
        let crashes = self.pool_crashes.entry(pool.clone()).or_default();
        crashes.retain(|at| now.monotonic.saturating_duration_since(*at) < CRASHES_KEPT);
        crashes.push_back(now.monotonic);
        // Those that crashed at the same time may still be down, and are recorded later.
        let members = self.fleet.workers.iter().filter(|(_, worker)| worker.status.pool == pool);
        let down = members.filter(|(other, worker)| *other != id && !worker.is_reached).count();
        for (task, listed) in runs {
            self.record_loss_under(now, &pool, &task, listed, down);
        }
    }

    fn record_loss_under(
        &mut self,
        now: Timestamp,
        pool: &str,
        task: &TaskId,
        listed: Duration,
        down: usize,
    ) {
        let members = self.fleet.workers.values().filter(|worker| worker.status.pool == pool);
        let workers = members.count();
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.done) else {
            return;
        };
        let first = now.monotonic.checked_sub(FIRST_LOSS_WINDOW).unwrap_or(self.started_at);
        let (since, counted) = state.last_loss.unwrap_or((first.max(self.started_at), 0));
        let crashes = self.pool_crashes.get(pool).into_iter().flatten();
        // The last one is the crash under the task.
        let recorded = crashes.filter(|at| **at > since).count().saturating_sub(1);
        let others = recorded.saturating_sub(counted) + down;
        let window = now.monotonic.saturating_duration_since(since);
        state.exposure.record_loss(listed, window, workers, others);
        state.last_loss = Some((now.monotonic, down));
        let exposure = state.exposure;
        self.mark_changed(&task.job);
        if exposure.is_conclusive() {
            let reason = format!(
                "{} workers crashed under {task} in {} ms, {} others in {} ms of a worker",
                exposure.losses, exposure.exposed_ms, exposure.others, exposure.worker_ms
            );
            self.give_up(now, task, reason);
        }
    }

    /// Returns the tasks that may have crashed a worker, and whether no other job can have.
    ///
    /// A crash counts if the agent has outlived the worker: otherwise the VM was lost, which no task
    /// can cause. It counts as well for tasks that are suspect already, and when this coordinator
    /// has just taken over and has not heard the agent. Suspect are the runs that may have started
    /// and had not survived it. If there are none, and no sign of another cause, the runs that had
    /// survived it are, but none of them is the only explanation.
    fn crash_suspects(&mut self, now: Timestamp, id: &str) -> (Vec<TaskId>, bool) {
        let Some(worker) = self.fleet.workers.get_mut(id) else { return (Vec::new(), false) };
        let (agent_survived, unheard) = (!worker.is_reached, !worker.has_reported);
        let pool = worker.status.pool.clone();
        let mut starting = std::mem::take(&mut worker.lapsed_starts);
        starting.extend(self.unproven_runs(id));
        let other_cause = self.has_other_cause(now, &pool);
        if unheard || (agent_survived && starting.is_empty()) {
            self.unexplained_crashes.push_back(UnexplainedCrash { at: now.monotonic, pool });
        }
        if !agent_survived {
            if !unheard {
                starting.retain(|task| self.suspects.contains(task));
            }
            return (starting, false);
        }
        if starting.is_empty() && !other_cause {
            return (self.runs_where(id, |run| run.proven), false);
        }
        let jobs: BTreeSet<&str> = starting.iter().map(|task| task.job.as_str()).collect();
        let unshared = jobs.len() == 1 && !other_cause;
        (starting, unshared)
    }

    fn record_crash_under(
        &mut self,
        now: Timestamp,
        id: &str,
        task: &TaskId,
        unshared: bool,
        suspects: usize,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.done) else {
            return;
        };
        state.crash_record.record(unshared);
        state.crashed_at = Some(now.monotonic);
        let record = state.crash_record;
        self.suspects.insert(task.clone());
        self.mark_changed(&task.job);
        let detail = format!(
            "{id} crashed under it, crashes {}, unshared {}, suspects {suspects}",
            record.crashes, record.unshared,
        );
        self.record_decision(&task.to_string(), DecisionKind::CrashRecorded, detail);
        if record.is_exhausted() {
            let reason = format!(
                "{} workers crashed under {task}, {} of them under no other job",
                record.crashes, record.unshared
            );
            self.give_up(now, task, reason);
        }
    }

    /// Reports whether workers of the pool crash for a cause outside of their tasks: several have
    /// crashed lately, or are down, under runs that had all survived their start.
    fn has_other_cause(&mut self, now: Timestamp, pool: &str) -> bool {
        self.unexplained_crashes
            .retain(|crash| now.monotonic.saturating_duration_since(crash.at) < UNEXPLAINED_KEPT);
        let recent = self.unexplained_crashes.iter().filter(|crash| crash.pool == pool).count();
        let members = || self.fleet.workers.iter().filter(|(_, worker)| worker.status.pool == pool);
        let down = members()
            .filter(|(id, worker)| !worker.is_reached && self.unproven_runs(id).is_empty())
            .count();
        recent + down >= MIN_UNEXPLAINED.max(members().count() / UNEXPLAINED_DIVISOR)
    }

    /// Returns the runs of a worker that may have started there and have not survived it. Of a run
    /// that an earlier coordinator placed, only a report can tell that it has not started.
    fn unproven_runs(&self, id: &str) -> Vec<TaskId> {
        let reported = self.fleet.workers.get(id).is_some_and(|worker| worker.has_reported);
        self.runs_where(id, |run| {
            let may_run =
                run.listed || (!run.lost && (run.attempted || (run.restored && !reported)));
            may_run && !run.proven
        })
    }

    pub(super) fn runs_where(&self, id: &str, matches: impl Fn(&Placement) -> bool) -> Vec<TaskId> {
        let Some(worker) = self.fleet.workers.get(id) else { return Vec::new() };
        let runs = worker.runs.keys().filter(|task| self.placement(task).is_some_and(&matches));
        runs.cloned().collect()
    }

    fn is_proven(&self, task: &TaskId) -> bool {
        self.placement(task).is_some_and(|placement| placement.proven)
    }

    /// Ends a job as failed because workers crash under one of its tasks.
    fn give_up(&mut self, now: Timestamp, task: &TaskId, reason: String) {
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| !entry.is_final()) else {
            return;
        };
        entry.failed = true;
        self.record_decision(&task.job, DecisionKind::GivenUp, reason.clone());
        self.stop_job(&task.job, &reason);
        self.end_if_final(now, &task.job);
        self.mark_changed(&task.job);
    }

    /// Clears the records of tasks whose runs last, and drops the tasks that no longer need one.
    pub(super) fn clear_crash_records(&mut self, now: Timestamp) {
        let mut cleared = Vec::new();
        for task in &self.suspects {
            let entry = self.jobs.get_mut(&task.job).filter(|entry| !entry.is_final());
            let state = entry.and_then(|entry| entry.tasks.get_mut(&task.key));
            let Some(state) = state.filter(|state| !state.done) else {
                cleared.push((task.clone(), false));
                continue;
            };
            let listed_at = state.placement.as_ref().and_then(|placement| placement.listed_at);
            let lasts = listed_at.is_some_and(|listed_at| {
                now.monotonic.saturating_duration_since(listed_at) >= CLEARED_AFTER
            });
            if lasts {
                state.crash_record = CrashRecord::default();
                cleared.push((task.clone(), true));
            }
        }
        for (task, changed) in cleared {
            self.suspects.remove(&task);
            if changed {
                self.mark_changed(&task.job);
            }
        }
    }

    /// Separates suspect tasks from others until their runs have survived their start, so that a
    /// crash has a single explanation and destroys little: their workers get no other work, and
    /// they start where nothing else is starting, on an idle worker if there is one.
    pub(super) fn with_isolation(
        &self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        demand: &Demand,
        view: &PoolView,
        mut allowed: Vec<usize>,
    ) -> Vec<usize> {
        if self.suspects.is_empty() {
            return allowed;
        }
        let closed = self.workers_on_probation(&unit.job);
        allowed.retain(|index| !closed.contains(&*view.candidates[*index].id));
        let Some(crashed_at) = self.last_crash(unit, keys) else { return allowed };
        if self.waits_for_calm(now, unit, keys, crashed_at) {
            return Vec::new();
        }
        if now.monotonic.saturating_duration_since(crashed_at) < MAX_ISOLATION_WAIT {
            allowed.retain(|index| self.is_settled(&view.candidates[*index].id, &unit.job));
        }
        let idle: Vec<usize> = allowed
            .iter()
            .copied()
            .filter(|index| {
                let worker = self.fleet.workers.get(&*view.candidates[*index].id);
                worker.is_some_and(|worker| worker.runs.is_empty())
            })
            .collect();
        let fits = choose_workers(demand, &select_candidates(view, &idle, false)).is_some();
        if fits { idle } else { allowed }
    }

    /// Reports whether tasks under which several workers have crashed should wait until the workers of
    /// the pool stop crashing, so that another coincidence does not end their job.
    fn waits_for_calm(
        &self,
        now: Timestamp,
        unit: &Unit,
        keys: &[TaskKey],
        crashed_at: Instant,
    ) -> bool {
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let mut states = keys.iter().filter_map(|key| entry.tasks.get(key));
        if !states.any(|state| state.crash_record.needs_calm()) {
            return false;
        }
        let last_crash = self.last_crashes.get(&entry.job.pool).copied();
        let last_crash = last_crash.map_or(crashed_at, |at| at.max(crashed_at));
        now.monotonic.saturating_duration_since(last_crash) < CALM_AFTER
            && now.monotonic.saturating_duration_since(crashed_at) < MAX_CALM_WAIT
    }

    /// Records that a worker of the pool has crashed or is down.
    pub(super) fn note_crash(&mut self, now: Timestamp, pool: &str) {
        self.last_crashes.insert(pool.to_owned(), now.monotonic);
    }

    /// Returns the workers with runs of suspect tasks of other jobs that have not survived their
    /// start.
    pub(super) fn workers_on_probation(&self, job: &str) -> BTreeSet<&str> {
        let others = self.suspects.iter().filter(|task| task.job != job);
        others
            .filter_map(|task| {
                let placement = self.placement(task)?;
                (!placement.proven).then_some(placement.worker.as_str())
            })
            .collect()
    }

    /// Returns when a worker last crashed under one of the tasks; `None` if none of them is suspect.
    fn last_crash(&self, unit: &Unit, keys: &[TaskKey]) -> Option<Instant> {
        let entry = self.jobs.get(&unit.job)?;
        let states = keys.iter().filter_map(|key| entry.tasks.get(key));
        states
            .filter(|state| state.crash_record.is_suspect())
            .filter_map(|state| state.crashed_at)
            .max()
    }

    /// Reports whether all runs of other jobs on a worker have survived their start.
    fn is_settled(&self, id: &str, job: &str) -> bool {
        let Some(worker) = self.fleet.workers.get(id) else { return false };
        worker.runs.keys().filter(|task| task.job != job).all(|task| self.is_proven(task))
    }
}
