use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::entry::Placement;
use super::planning::{PoolView, select_candidates};
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

/// Longest time after a crash for which a suspect task waits for a worker on which nothing else is
/// starting.
const MAX_ISOLATION_WAIT: Duration = Duration::from_secs(3);

impl Placement {
    /// Records that a worker that answers its agent lists the run.
    pub(super) fn prove(&mut self, now: Instant) {
        let Some(listed_at) = self.listed_at else { return };
        let listed_for = now.saturating_duration_since(listed_at);
        self.proven |=
            listed_for >= PROVEN_BY_TIME || (self.percent > 0 && listed_for >= PROVEN_BY_PROGRESS);
    }
}

impl Coordinator {
    /// Records the loss of a worker under the tasks that may have caused it.
    ///
    /// Suspect are the runs that have not survived their start; if there are none, all runs, none of
    /// which is then the only explanation. A run that this coordinator has not seen counts only if the agent has outlived the worker:
    /// otherwise the VM was lost, and with it the runs of every task.
    pub(super) fn record_crash(&mut self, now: Timestamp, id: &str, cause: LossCause) {
        let suspects = match cause {
            LossCause::Crashed => self.crash_suspects(id),
            LossCause::Lapsed => {
                let unproven = self.unproven_runs(id, true);
                if let Some(worker) = self.fleet.workers.get_mut(id) {
                    worker.lapsed_starts = unproven;
                }
                return;
            }
            LossCause::Left | LossCause::Silent => return,
        };
        let jobs: BTreeSet<&str> = suspects.iter().map(|task| task.job.as_str()).collect();
        let starting = suspects.iter().any(|task| !self.is_proven(task));
        let unshared = starting && jobs.len() == 1;
        for task in &suspects {
            let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
            let Some(state) = entry.tasks.get_mut(&task.key).filter(|state| !state.done) else {
                continue;
            };
            state.crash_record.record(unshared);
            state.crashed_at = Some(now.monotonic);
            let record = state.crash_record;
            self.suspects.insert(task.clone());
            let detail = format!(
                "{id} crashed under it, crashes {}, unshared {}, suspects {}",
                record.crashes,
                record.unshared,
                suspects.len()
            );
            self.record_decision(&task.to_string(), DecisionKind::CrashRecorded, detail);
            if record.is_exhausted() {
                self.give_up(now, task, record);
            }
        }
    }

    fn crash_suspects(&mut self, id: &str) -> Vec<TaskId> {
        let Some(worker) = self.fleet.workers.get_mut(id) else { return Vec::new() };
        let lapsed_starts = std::mem::take(&mut worker.lapsed_starts);
        if !lapsed_starts.is_empty() {
            return lapsed_starts;
        }
        let agent_survived = !worker.is_reached;
        let unproven = self.unproven_runs(id, agent_survived);
        if !unproven.is_empty() || !agent_survived {
            return unproven;
        }
        let Some(worker) = self.fleet.workers.get(id) else { return Vec::new() };
        worker.runs.keys().cloned().collect()
    }

    /// Returns the runs of a worker whose start was ordered and that have not survived it. Runs
    /// that an earlier coordinator placed and that were not listed since are left out unless
    /// `with_restored`.
    fn unproven_runs(&self, id: &str, with_restored: bool) -> Vec<TaskId> {
        let Some(worker) = self.fleet.workers.get(id) else { return Vec::new() };
        let unproven = worker.runs.keys().filter(|task| {
            let Some(entry) = self.jobs.get(&task.job) else { return false };
            let Some(placement) = entry.placement(&task.key) else { return false };
            let ordered = entry.durable_version >= placement.version;
            let observed = with_restored || placement.listed || !placement.restored;
            ordered && observed && !placement.proven
        });
        unproven.cloned().collect()
    }

    fn is_proven(&self, task: &TaskId) -> bool {
        let placement = self.jobs.get(&task.job).and_then(|entry| entry.placement(&task.key));
        placement.is_some_and(|placement| placement.proven)
    }

    /// Ends a job as failed because workers crash under one of its tasks.
    fn give_up(&mut self, now: Timestamp, task: &TaskId, record: CrashRecord) {
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|entry| !entry.is_final()) else {
            return;
        };
        entry.failed = true;
        let reason = format!(
            "{} workers crashed under {task}, {} of them under no other job",
            record.crashes, record.unshared
        );
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

    /// Returns the workers with runs of suspect tasks of other jobs that have not survived their
    /// start.
    fn workers_on_probation(&self, job: &str) -> BTreeSet<&str> {
        let others = self.suspects.iter().filter(|task| task.job != job);
        others
            .filter_map(|task| {
                let placement = self.jobs.get(&task.job)?.placement(&task.key)?;
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
