use std::time::Duration;

use super::{Coordinator, DecisionKind, Moment};
use crate::{
    EndKind, FleetWorker, RefusalKind, RunEnd, RunRefusal, StepId, Suspicion, TaskId, WorkerReport,
    WorkerStatus,
};

/// A run that a worker once listed and lists neither as running nor as ended for this long is
/// ordered to stop, so that its agent settles what became of it.
const VANISHED: Duration = Duration::from_secs(2);

/// A worker that refused a run for want of room gets no new work for this long: what takes the room
/// is not known here, and is stopped or listed within a report's interval. Refused starts are paid.
const FULL_PAUSE: Duration = Duration::from_secs(1);

impl Coordinator {
    /// Takes in the report of an agent.
    pub fn report(&mut self, now: Moment, report: &WorkerReport) {
        let Some(status) = &report.worker else { return };
        if !self.admit_incarnation(now, status) {
            return;
        }
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        if worker.status.draining != status.draining
            || worker.reached == report.unreached
            || !worker.known
            || !worker.session
        {
            self.plan_due = true;
        }
        worker.known = true;
        worker.reached = !report.unreached;
        worker.session = true;
        worker.seen = now.at;
        worker.status = status.clone();
        for end in &report.ended {
            self.take_end(now, status, end);
        }
        for refusal in &report.refused {
            self.take_refusal(now, status, refusal);
        }
        if report.lapsed {
            self.lose_runs(now, &status.id, "its leases lapsed while it could not be reached");
        } else if report.listed {
            self.take_running(now, status, report);
        }
        self.note_applied(status, report);
    }

    /// Ends the runs of a worker that is gone for certain.
    pub fn remove_worker(&mut self, now: Moment, id: &str, incarnation: u64) {
        if self.fleet.workers.get(id).is_none_or(|worker| worker.status.incarnation > incarnation) {
            return;
        }
        self.lose_runs(now, id, "it has left");
        self.fleet.workers.remove(id);
    }

    /// Releases the runs of workers whose leases have lapsed.
    pub(super) fn expire_workers(&mut self, now: Moment) {
        let lapse = self.limits.lapse;
        let silent: Vec<String> = self
            .fleet
            .workers
            .iter()
            .filter(|(_, worker)| {
                let last = if worker.known { worker.seen } else { self.predecessor_end };
                !worker.runs.is_empty() && now.at > last + lapse
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            self.lose_runs(now, &id, "it is silent and its leases have lapsed");
        }
    }

    /// Makes the reporting incarnation the current one; `false` when it is an old one.
    fn admit_incarnation(&mut self, now: Moment, status: &WorkerStatus) -> bool {
        let replaced = self.fleet.workers.values().any(|worker| {
            worker.status.id != status.id
                && !status.address.is_empty()
                && worker.status.address == status.address
                && worker.status.incarnation > status.incarnation
        });
        if replaced {
            return false;
        }
        let known = self.fleet.workers.get(&status.id).map(|worker| worker.status.incarnation);
        match known {
            Some(incarnation) if incarnation > status.incarnation => return false,
            Some(incarnation) if incarnation == status.incarnation => return true,
            Some(_) => {
                self.lose_runs(now, &status.id, "it has started again");
                self.fleet.workers.remove(&status.id);
            }
            None => {}
        }
        self.end_earlier_incarnations(now, status);
        let worker = FleetWorker::new(&status.id, status.incarnation, now.at);
        self.fleet.workers.insert(status.id.clone(), worker);
        true
    }

    /// Ends the workers that had the address of an incarnation that has just appeared.
    fn end_earlier_incarnations(&mut self, now: Moment, status: &WorkerStatus) {
        let earlier: Vec<String> = self
            .fleet
            .workers
            .iter()
            .filter(|(id, worker)| {
                **id != status.id
                    && !status.address.is_empty()
                    && worker.status.address == status.address
                    && worker.status.incarnation < status.incarnation
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in earlier {
            self.lose_runs(now, &id, "another incarnation has its address");
            self.fleet.workers.remove(&id);
        }
    }

    fn lose_runs(&mut self, now: Moment, id: &str, reason: &str) {
        let Some(worker) = self.fleet.workers.get(id) else { return };
        let runs: Vec<TaskId> = worker.runs.keys().cloned().collect();
        if runs.is_empty() {
            return;
        }
        self.decide(id, DecisionKind::Lost, format!("{} runs: {reason}", runs.len()));
        for task in runs {
            let checkpoint = self.checkpoint(&task);
            self.end_run(now, &task, None, &checkpoint);
        }
    }

    fn checkpoint(&self, task: &TaskId) -> String {
        let placement = self.jobs.get(&task.job).and_then(|entry| entry.placement(&task.key));
        placement.map_or_else(String::new, |placement| placement.checkpoint.clone())
    }

    fn is_current(&self, status: &WorkerStatus, task: &TaskId, run: u32) -> bool {
        let placement = self.jobs.get(&task.job).and_then(|entry| entry.placement(&task.key));
        placement.is_some_and(|placement| {
            placement.run == run
                && placement.worker == status.id
                && placement.incarnation == status.incarnation
        })
    }

    fn take_end(&mut self, now: Moment, status: &WorkerStatus, end: &RunEnd) {
        if !self.is_current(status, &end.task, end.run) {
            return;
        }
        self.judge(now, status, end);
        self.learn(now, end);
        self.end_run(now, &end.task, Some(end.kind), &end.checkpoint);
    }

    /// Takes in how long a whole run took.
    fn learn(&mut self, now: Moment, end: &RunEnd) {
        let Some(entry) = self.jobs.get(&end.task.job).filter(|_| end.kind == EndKind::Done) else {
            return;
        };
        let (Some(placement), Some(step)) =
            (entry.placement(&end.task.key), entry.job.steps.get(end.task.key.step as usize))
        else {
            return;
        };
        if placement.whole && !step.lasting {
            let took = now.at.saturating_duration_since(placement.since);
            self.estimates.observe(&entry.job.route, step.estimate_ms, took);
        }
    }

    /// Takes the end as evidence for or against the worker.
    fn judge(&mut self, now: Moment, status: &WorkerStatus, end: &RunEnd) {
        // Tasks that last may fail at any time and are started again.
        if self.jobs.get(&end.task.job).is_some_and(|entry| entry.job.lasts()) {
            return;
        }
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        match end.kind {
            EndKind::Done => worker.health.succeed(),
            EndKind::Failed if worker.health.suspect(now.at, &end.task.job, Suspicion::Failed) => {
                let detail = "runs of several jobs failed".to_owned();
                self.decide(&status.id, DecisionKind::Quarantined, detail);
            }
            _ => {}
        }
    }

    fn take_refusal(&mut self, now: Moment, status: &WorkerStatus, refusal: &RunRefusal) {
        if !self.is_current(status, &refusal.task, refusal.run) {
            return;
        }
        if refusal.kind == RefusalKind::Permit {
            let step = StepId::new(&refusal.task.job, &refusal.task.key);
            self.advice.reject(&step, &status.id);
        }
        if refusal.kind == RefusalKind::Room
            && let Some(worker) = self.fleet.workers.get_mut(&status.id)
        {
            worker.full = Some(now.at + FULL_PAUSE);
        }
        if refusal.kind == RefusalKind::Unhealthy
            && let Some(worker) = self.fleet.workers.get_mut(&status.id)
        {
            worker.health.suspect(now.at, &refusal.task.job, Suspicion::Unhealthy);
        }
        self.decide(
            &refusal.task.to_string(),
            DecisionKind::RunEnded,
            format!("run {} refused by {}: {:?}", refusal.run, status.id, refusal.kind),
        );
        self.end_run(now, &refusal.task, Some(EndKind::Fenced), "");
    }

    fn take_running(&mut self, now: Moment, status: &WorkerStatus, report: &WorkerReport) {
        for run in &report.running {
            if !self.is_current(status, &run.task, run.run) {
                continue;
            }
            let Some(entry) = self.jobs.get_mut(&run.task.job) else { continue };
            entry.started = true;
            let Some(placement) = entry.placement_mut(&run.task.key) else { continue };
            if !placement.seen {
                placement.seen = true;
                placement.progressed = now.at;
            }
            if run.percent > placement.percent {
                placement.percent = run.percent;
                placement.progressed = now.at;
            }
            if !run.checkpoint.is_empty() {
                placement.checkpoint.clone_from(&run.checkpoint);
            }
        }
        self.stop_vanished(now, status, report);
    }

    fn stop_vanished(&mut self, now: Moment, status: &WorkerStatus, report: &WorkerReport) {
        let Some(worker) = self.fleet.workers.get(&status.id) else { return };
        let mut vanished = Vec::new();
        for (task, run) in &worker.runs {
            if report.running.iter().any(|found| found.task == *task && found.run == *run) {
                continue;
            }
            let placement = self.jobs.get(&task.job).and_then(|entry| entry.placement(&task.key));
            if placement.is_some_and(|placement| {
                placement.seen && !placement.stop && now.at > placement.progressed + VANISHED
            }) {
                vanished.push(task.clone());
            }
        }
        for task in vanished {
            self.stop_run(&task, "its worker no longer lists it");
        }
    }

    /// Notes which rows must be stored before the ends of this report are acknowledged.
    fn note_applied(&mut self, status: &WorkerStatus, report: &WorkerReport) {
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        if report.ended_through <= worker.acked {
            return;
        }
        if worker.applied.as_ref().is_some_and(|(through, _)| *through >= report.ended_through) {
            return;
        }
        let needed = report.ended.iter().filter_map(|end| {
            let entry = self.jobs.get(&end.task.job)?;
            Some((end.task.job.clone(), entry.version))
        });
        worker.applied = Some((report.ended_through, needed.collect()));
        self.acknowledge_ends();
    }
}
