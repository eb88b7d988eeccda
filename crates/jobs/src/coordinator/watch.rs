use std::time::Duration;

use super::planning::MIN_RELIABLE_PERCENT;
use super::{Coordinator, DecisionKind, Timestamp};
use crate::Fault;

/// A run without progress for this long, plus a tenth of its estimate, is moved. A healthy task of
/// 11 s gains one percent every 110 ms.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A run that is ordered, and neither listed nor refused for this long, is fenced and moved. The
/// time covers several tries of its agent, each with its time-out, and a report.
const START_TIMEOUT: Duration = Duration::from_secs(5);

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
        let mut stalled = Vec::new();
        for (id, worker) in &self.fleet.workers {
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
                let durable = entry.durable_version;
                let Some(step) = entry.job.steps.get(task.key.step as usize) else { continue };
                // A filling task makes no progress while the other runs on its worker use all
                // cores.
                let may_pause = step.fills && worker.runs.len() > 1;
                let stall_timeout = STALL_TIMEOUT + Duration::from_millis(step.estimate_ms / 10);
                let lasting = step.lasting;
                let Some(placement) = entry.placement_mut(&task.key) else { continue };
                let reachable = worker.has_session && worker.is_reached;
                if !reachable || placement.stopping || durable < placement.version {
                    placement.last_progress = now.monotonic;
                    continue;
                }
                let idle = now.monotonic.saturating_duration_since(placement.last_progress);
                let makes_no_progress =
                    placement.listed && !lasting && !may_pause && idle > stall_timeout;
                if makes_no_progress || (!placement.listed && idle > START_TIMEOUT) {
                    stalled.push((id.clone(), task.clone(), idle));
                }
            }
        }
        for (id, task, idle) in stalled {
            self.stop_run(&task, &format!("no progress for {} ms on {id}", idle.as_millis()));
            if let Some(worker) = self.fleet.workers.get_mut(&id) {
                worker.health.record_fault(now.monotonic, &task.job, Fault::Stalled);
                self.record_decision(
                    &id,
                    DecisionKind::Quarantined,
                    format!("{task} made no progress"),
                );
            }
        }
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
                let predictable = placement.percent >= MIN_RELIABLE_PERCENT || step.lasting;
                let ends_late =
                    step.lasting || self.remaining_time(now, task, placement) > remaining;
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
