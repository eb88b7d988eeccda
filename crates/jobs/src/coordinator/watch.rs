use std::time::Duration;

use super::planning::RELIABLE_PERCENT;
use super::{Coordinator, DecisionKind, Moment};
use crate::Suspicion;

/// A run whose progress stands still for this long, and a tenth of its estimate more, is moved. A
/// healthy task of 11 s gains a percent every 110 ms.
const STALL: Duration = Duration::from_secs(3);

/// A run that is ordered and neither listed nor refused for this long is fenced and moved: several
/// tries of its agent, each with its time-out, and a report.
const UNSTARTED: Duration = Duration::from_secs(5);

/// A worker whose agent has not reported for this long gets no new work. Agents report every second;
/// a silent connection would otherwise be found out only when the leases have lapsed.
const SILENT: Duration = Duration::from_millis(1600);

impl Coordinator {
    /// Takes workers out of use whose agents are silent, until they report again. Their runs go on
    /// under their leases.
    pub(super) fn close_silent(&mut self, now: Moment) {
        let mut silent = Vec::new();
        for (id, worker) in &mut self.fleet.workers {
            let age = now.at.saturating_duration_since(worker.seen);
            if worker.session && age > SILENT {
                worker.session = false;
                silent.push((id.clone(), age));
            }
        }
        for (id, age) in silent {
            let detail = format!("no report for {} ms; no new work", age.as_millis());
            self.decide(&id, DecisionKind::Silent, detail);
        }
    }

    /// Moves runs that stand still, and those that never start. Time in which nothing is heard of the
    /// worker, or in which a start is not ordered yet, does not count.
    pub(super) fn stop_stalled(&mut self, now: Moment) {
        let mut stalled = Vec::new();
        for (id, worker) in &self.fleet.workers {
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
                let durable = entry.durable;
                let Some(step) = entry.job.steps.get(task.key.step as usize) else { continue };
                // A filling task stands still while the others on its worker need all of it.
                let waits = step.fills && worker.runs.len() > 1;
                let stall = STALL + Duration::from_millis(step.estimate_ms / 10);
                let lasting = step.lasting;
                let Some(placement) = entry.placement_mut(&task.key) else { continue };
                let heard = worker.session && worker.reached;
                if !heard || placement.stop || durable < placement.version {
                    placement.progressed = now.at;
                    continue;
                }
                let idle = now.at.saturating_duration_since(placement.progressed);
                let stands = placement.seen && !lasting && !waits && idle > stall;
                if stands || (!placement.seen && idle > UNSTARTED) {
                    stalled.push((id.clone(), task.clone(), idle));
                }
            }
        }
        for (id, task, idle) in stalled {
            self.stop_run(&task, &format!("no progress for {} ms on {id}", idle.as_millis()));
            if let Some(worker) = self.fleet.workers.get_mut(&id) {
                worker.health.suspect(now.at, &task.job, Suspicion::Stalled);
                self.decide(&id, DecisionKind::Quarantined, format!("{task} stood still"));
            }
        }
    }

    /// Moves runs off draining workers that will not end before their worker leaves. Other runs go on
    /// to their end there.
    pub(super) fn leave_draining(&mut self, now: Moment) {
        let mut moved = Vec::new();
        for worker in self.fleet.workers.values().filter(|worker| worker.status.draining) {
            let Some(remaining) = worker.status.remaining else { continue };
            for task in worker.runs.keys() {
                let Some(entry) = self.jobs.get(&task.job) else { continue };
                let Some(placement) = entry.placement(&task.key) else { continue };
                let Some(step) = entry.job.steps.get(task.key.step as usize) else { continue };
                let known = placement.percent >= RELIABLE_PERCENT || step.lasting;
                let late = step.lasting || self.time_left(now, task, placement) > remaining;
                if !placement.stop && known && late {
                    moved.push(task.clone());
                }
            }
        }
        for task in moved {
            self.stop_run(&task, "its worker leaves before it can end");
        }
    }
}
