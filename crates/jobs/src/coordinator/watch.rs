use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::JobEntry;
use super::{Coordinator, DecisionKind, Timestamp};
use crate::{Fault, RunProgress, TaskId, TaskKey, find_stalled};

/// A run without progress for this long, plus a tenth of its estimate, is moved. A healthy task of
/// 11 s gains one percent every 110 ms.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A run that is ordered, and neither listed nor refused for this long, is fenced and moved. The
/// time covers several tries of its agent, each with its time-out, and a report.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// A run that is neither listed nor refused this long after its start was first ordered is moved even
/// if its agent could not be observed all the while: its sessions may end over the same content again
/// and again. Longer than the leases of a silent agent, which end its runs.
const MAX_START_TIME: Duration = Duration::from_secs(20);

/// A worker whose agent has not reported for this long gets no new work. Agents report every
/// second. Without this limit a dead connection would be noticed only once the leases have lapsed.
const SILENT_AFTER: Duration = Duration::from_millis(1600);

impl Coordinator {
    /// Closes the sessions of silent agents: their workers get no new work until they report again.
    /// Runs on these workers continue under their leases.
    pub(super) fn close_silent(&mut self, now: Timestamp) {
        let mut silent = Vec::new();
        for (id, worker) in &mut self.fleet.workers {
            let age = now.monotonic.saturating_duration_since(worker.last_report);
            if worker.has_session && age > SILENT_AFTER {
                worker.has_session = false;
                silent.push((id.clone(), age));
            }
        }
        for (id, age) in silent {
            let detail =
                format!("no report for {} ms; the worker gets no new work", age.as_millis());
            self.record_decision(&id, DecisionKind::Silent, detail);
        }
    }

    /// Moves runs that make no progress, and runs that never start. Time without reports of the
    /// worker, and time before the start is ordered, does not count.
    pub(super) fn stop_stalled(&mut self, now: Timestamp) {
        self.reset_unobserved(now);
        let mut stalled = Vec::new();
        let mut judged = BTreeSet::new();
        for (id, worker) in &self.fleet.workers {
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let idle = now.monotonic.saturating_duration_since(placement.last_progress);
                let ordered_at = placement.ordered_at.unwrap_or(now.monotonic);
                let ordered = now.monotonic.saturating_duration_since(ordered_at);
                let observed = worker.has_session && worker.is_reached && !worker.ends_truncated;
                let overdue = idle > START_TIMEOUT || (observed && ordered > MAX_START_TIME);
                if !placement.stopping && !placement.listed && overdue {
                    let reason = format!(
                        "not started on {id} within {} ms, the last {} ms of them observed",
                        ordered.as_millis(),
                        idle.as_millis()
                    );
                    stalled.push((id.clone(), task.clone(), reason));
                    continue;
                }
                let gang = (task.job.as_str(), task.key.occurrence, task.key.step);
                if entry.is_gang(task.key.step) && !judged.insert(gang) {
                    continue;
                }
                let Some((key, reason)) = self.stalled_member(now, entry, &task.key) else {
                    continue;
                };
                let Some(placement) = entry.placement(&key) else { continue };
                stalled.push((placement.worker.clone(), TaskId::new(&task.job, key), reason));
            }
        }
        for (id, task, reason) in stalled {
            self.stop_run(&task, &reason);
            if let Some(worker) = self.fleet.workers.get_mut(&id) {
                worker.health.record_fault(now.monotonic, &task.job, Fault::Stalled);
                let detail = format!("{task} made no progress");
                self.record_decision(&id, DecisionKind::Quarantined, detail);
            }
        }
    }

    /// Restarts the count of the time without progress for runs that cannot be observed, and for those
    /// whose start is not ordered yet.
    fn reset_unobserved(&mut self, now: Timestamp) {
        let ordered: BTreeSet<TaskId> = self
            .fleet
            .workers
            .values()
            .flat_map(|worker| self.ordered_starts(worker))
            .cloned()
            .collect();
        let starts_held = self.starts_held;
        for worker in self.fleet.workers.values() {
            let held = starts_held || worker.evacuated;
            // While ends are left out, a run that is listed nowhere may have ended.
            let observed = worker.has_session && worker.is_reached && !worker.ends_truncated;
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
                let alone = worker.runs.len() == 1;
                // A filling task makes no progress while the other runs on its worker use all
                // cores.
                let step = entry.job.steps.get(task.key.step as usize);
                let may_pause = step.is_some_and(|step| step.fills && !alone);
                let Some(placement) = entry.placement_mut(&task.key) else { continue };
                let pauses = may_pause && placement.listed;
                let is_ordered = ordered.contains(task);
                if is_ordered {
                    placement.ordered_at.get_or_insert(now.monotonic);
                } else if held && !placement.listed {
                    // Its worker is not to blame while the start is held back.
                    placement.ordered_at = None;
                }
                let unordered = !placement.listed && !is_ordered;
                if !observed || placement.stopping || unordered || pauses {
                    placement.last_progress = now.monotonic;
                }
            }
        }
    }

    /// Returns the member of the gang of `key`, or `key` itself, that has stalled, and the evidence
    /// for it.
    fn stalled_member(
        &self,
        now: Timestamp,
        entry: &JobEntry,
        key: &TaskKey,
    ) -> Option<(TaskKey, String)> {
        let step = entry.job.steps.get(key.step as usize).filter(|step| !step.lasting)?;
        let members = entry.members(key);
        let mut progress = Vec::new();
        let mut worked = Duration::ZERO;
        for member in &members {
            let placement = entry.placement(member).filter(|placement| !placement.stopping)?;
            let idle = now.monotonic.saturating_duration_since(placement.last_progress);
            progress.push(RunProgress {
                idle,
                listed: placement.listed,
                percent: placement.percent,
            });
            let since = placement.progress_start.map_or(now.monotonic, |start| start.0);
            worked = worked.max(now.monotonic.saturating_duration_since(since));
        }
        let at_stake = self.unsaved_time(entry, key.step, worked);
        let timeout = STALL_TIMEOUT + Duration::from_millis(step.estimate_ms / 10);
        let index = find_stalled(&progress, timeout, at_stake)?;
        let RunProgress { idle, percent, .. } = progress[index];
        let worker = entry.placement(&members[index]).map_or("", |run| run.worker.as_str());
        let lost =
            at_stake.as_secs_f64() * entry.resources(key.step).weight() * members.len() as f64;
        let reason = format!(
            "no progress of member {} for {} ms at {percent} percent on {worker}, members {}, \
             destroys {lost:.0} core-seconds",
            members[index].index,
            idle.as_millis(),
            members.len(),
        );
        Some((members[index], reason))
    }

    /// Moves runs off draining workers if they will not end before their worker leaves. Other runs
    /// continue there until they end.
    pub(super) fn move_off_draining(&mut self, now: Timestamp) {
        let mut to_move = Vec::new();
        for worker in self.fleet.workers.values().filter(|worker| worker.status.draining) {
            let Some(remaining) = worker.status.remaining else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let Some(step) = entry.job.steps.get(task.key.step as usize) else { continue };
                let predictable = step.lasting || self.has_progress(task);
                let ends_late = step.lasting || self.remaining_time(now, task) > remaining;
                if !placement.stopping && predictable && ends_late {
                    to_move.push(task.clone());
                }
            }
        }
        for task in to_move {
            self.stop_run(&task, "its worker leaves before it can end");
        }
    }
}
