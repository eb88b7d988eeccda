use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::Placement;
use super::{Coordinator, DecisionKind, Departure, Timestamp};
use crate::late_starts::LATE_CALL_LIMIT;
use crate::{
    EndKind, Fault, FleetWorker, LossCause, RefusalKind, Resources, RunEnd, RunRefusal, StepId,
    TaskId, WorkerReport, WorkerStatus,
};

/// A run that its worker has listed before, and lists neither as running nor as ended for this
/// long, is ordered to stop, so that the agent determines whether it has ended.
const VANISHED_AFTER: Duration = Duration::from_secs(2);

/// A worker that refused a run for want of free resources gets no new work for this long. Whatever
/// occupies the resources is unknown to the coordinator, and is stopped or listed within the
/// interval of a report. Refused starts are charged.
const FULL_PAUSE: Duration = Duration::from_secs(1);

impl Coordinator {
    /// Handles the report of an agent.
    pub fn report(&mut self, now: Timestamp, report: &WorkerReport) {
        let Some(status) = &report.worker else { return };
        if report.left {
            self.record_departure(now, status, &report.ended);
            return;
        }
        if !self.admit_incarnation(now, status) {
            return;
        }
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        if worker.status.draining != status.draining
            || worker.is_reached == report.unreached
            || !worker.has_reported
            || !worker.has_session
        {
            self.plan_due = true;
        }
        let is_down = report.unreached && worker.is_reached;
        worker.has_reported = true;
        worker.is_reached = !report.unreached;
        if worker.is_reached {
            worker.lapsed_runs.clear();
            worker.lapsed_starts.clear();
        }
        worker.has_session = true;
        worker.ends_truncated = report.ends_truncated;
        worker.inherited_until = Some(report.inherited_lease)
            .filter(|lease| !lease.is_zero())
            .map(|lease| now.monotonic + lease);
        worker.last_report = now.monotonic;
        worker.status = status.clone();
        if let Some(pace) = &report.pace {
            self.run_times.adopt_pace(&status.id, pace, status.incarnation, now.monotonic);
        }
        if is_down {
            self.note_crash(now, &status.pool);
        }
        for end in &report.ended {
            self.handle_end(now, status, end);
        }
        for refusal in &report.refused {
            self.handle_refusal(now, status, refusal);
        }
        if report.lapsed {
            self.end_lost_runs(now, &status.id, LossCause::Lapsed);
        } else if report.listed {
            self.update_runs(now, status, report);
        }
        self.update_evacuated(&status.id);
        if report.listed && !report.lapsed {
            self.withdraw_evacuated_starts(&status.id, true);
        }
        self.withdraw_excess_starts(&status.id);
        self.record_applied_ends(status, report);
    }

    /// Withdraws the latest starts that a worker has not carried out, if its resources have shrunk
    /// below what its runs occupy. Runs that have started continue.
    fn withdraw_excess_starts(&mut self, id: &str) {
        let Some(worker) = self.fleet.workers.get(id) else { return };
        let mut occupied = worker.occupied;
        if worker.status.resources.fits(&occupied) {
            return;
        }
        let mut unstarted: Vec<(&Placement, &TaskId, Resources)> = Vec::new();
        for task in worker.runs.keys() {
            let Some(entry) = self.jobs.get(&task.job) else { continue };
            let Some(placement) = entry.placement(&task.key) else { continue };
            if !placement.listed && !placement.stopping {
                unstarted.push((placement, task, entry.resources(task.key.step)));
            }
        }
        unstarted.sort_by_key(|(placement, task, _)| (placement.placed_at, *task));
        let mut withdrawn = Vec::new();
        while let Some((_, task, resources)) = unstarted.pop() {
            if worker.status.resources.fits(&occupied) {
                break;
            }
            occupied.subtract(&resources);
            withdrawn.push(task.clone());
        }
        for task in withdrawn {
            self.stop_run(&task, "not started, and its worker has shrunk below what its runs need");
        }
    }

    /// Takes in the last ends of a worker that has left, ends its other runs, and remembers which rows
    /// must be stored before its agent may stop reporting it.
    fn record_departure(&mut self, now: Timestamp, status: &WorkerStatus, ended: &[RunEnd]) {
        let runs = self.fleet.workers.get(&status.id).into_iter().flat_map(|worker| &worker.runs);
        let mut jobs: BTreeSet<String> = runs.map(|(task, _)| task.job.clone()).collect();
        if let Some(earlier) = self.departures.get(&status.id) {
            jobs.extend(earlier.versions.keys().cloned());
        }
        for end in ended {
            self.handle_end(now, status, end);
        }
        self.remove_worker(now, &status.id, status.incarnation);
        let version = |id: String| Some((id.clone(), self.jobs.get(&id)?.version));
        let versions = jobs.into_iter().filter_map(version).collect();
        let departure = Departure { incarnation: status.incarnation, versions };
        self.departures.insert(status.id.clone(), departure);
    }

    /// Removes a worker that is certainly gone, and ends its runs.
    pub fn remove_worker(&mut self, now: Timestamp, id: &str, incarnation: u64) {
        let Some(worker) = self.fleet.workers.get(id) else { return };
        if worker.status.incarnation > incarnation {
            return;
        }
        let cause = LossCause::of_departure(&worker.status);
        self.end_lost_runs(now, id, cause);
        self.fleet.workers.remove(id);
    }

    /// Releases the runs of workers whose leases have lapsed.
    pub(super) fn expire_workers(&mut self, now: Timestamp) {
        let lapse = self.limits.lapse;
        let silent: Vec<String> = self
            .fleet
            .workers
            .iter()
            .filter(|(_, worker)| {
                let last_renewal =
                    if worker.has_reported { worker.last_report } else { self.predecessor_end };
                !worker.runs.is_empty()
                    && now.monotonic > last_renewal + lapse
                    && !worker.inherits_leases(now.monotonic)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            self.end_lost_runs(now, &id, LossCause::Silent);
        }
    }

    /// Makes the reporting incarnation the current one; returns `false` if it is outdated.
    fn admit_incarnation(&mut self, now: Timestamp, status: &WorkerStatus) -> bool {
        let replaced = self.fleet.workers.values().any(|worker| {
            worker.status.id != status.id
                && !status.address.is_empty()
                && worker.status.address == status.address
                && worker.status.incarnation > status.incarnation
        });
        if replaced {
            return false;
        }
        let current = self.fleet.workers.get(&status.id).map(|worker| &worker.status);
        match current {
            Some(current) if current.incarnation > status.incarnation => return false,
            Some(current) if current.incarnation == status.incarnation => {
                self.fence_restored_runs(status);
                return true;
            }
            Some(current) => {
                let same_labels = current.labels == status.labels;
                self.run_times.replace_worker(&status.id, &status.id, same_labels);
                let cause = LossCause::of_departure(current);
                let lost = self.end_fenced_runs(now, &status.id, cause);
                self.fleet.workers.remove(&status.id);
                self.add_worker(now, status);
                self.fence_lost_runs(status, lost);
            }
            None => self.add_worker(now, status),
        }
        true
    }

    fn add_worker(&mut self, now: Timestamp, status: &WorkerStatus) {
        self.keep_pace(status);
        self.end_earlier_incarnations(now, status);
        self.departures.remove(&status.id);
        let worker = FleetWorker::new(&status.id, status.incarnation, now.monotonic);
        self.fleet.workers.insert(status.id.clone(), worker);
    }

    /// Keeps what is known about the speed of a worker whose address a new one has taken over.
    fn keep_pace(&mut self, status: &WorkerStatus) {
        let earlier =
            self.fleet.workers.iter().find(|(id, worker)| is_earlier(id, &worker.status, status));
        if let Some((id, worker)) = earlier {
            let same_labels = worker.status.labels == status.labels;
            self.run_times.replace_worker(id, &status.id, same_labels);
        }
    }

    /// Ends the runs of an incarnation of which no copy of the start can be carried out any more.
    /// Returns the others.
    fn end_fenced_runs(&mut self, now: Timestamp, id: &str, cause: LossCause) -> Vec<TaskId> {
        let mut lost = self.record_loss(now, id, cause);
        let ended = lost.extract_if(.., |task| !self.may_start_late(now, task));
        for task in ended.collect::<Vec<_>>() {
            self.end_lost_run(now, &task);
        }
        lost
    }

    /// Reports whether a copy of the start of a run may still be on its way to its worker.
    fn may_start_late(&self, now: Timestamp, task: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return false };
        let Some(placement) = entry.placement(&task.key) else { return false };
        let ordered = entry.durable_version >= placement.version;
        let settled = placement.listed_at.is_some_and(|listed_at| {
            now.monotonic.saturating_duration_since(listed_at) > LATE_CALL_LIMIT
        });
        ordered && !settled
    }

    /// Fences the runs that an earlier coordinator has left on an earlier incarnation: its row names
    /// that one until the run has ended.
    fn fence_restored_runs(&mut self, status: &WorkerStatus) {
        if self.fleet.workers.get(&status.id).is_none_or(|worker| worker.has_reported) {
            return;
        }
        let earlier = |run: &Placement| run.incarnation != status.incarnation;
        let lost = self.runs_where(&status.id, earlier);
        self.fence_lost_runs(status, lost);
    }

    /// Orders the lost runs of an earlier incarnation to stop in the present one, so that it does
    /// not start them. They end when its agent reports that they are fenced.
    fn fence_lost_runs(&mut self, status: &WorkerStatus, lost: Vec<TaskId>) {
        for task in lost {
            let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
            let resources = entry.resources(task.key.step);
            let Some(placement) = entry.placement_mut(&task.key) else { continue };
            placement.address.clone_from(&status.address);
            placement.full_run = false;
            placement.incarnation = status.incarnation;
            placement.listed = false;
            placement.listed_at = None;
            placement.lost = true;
            placement.progress_start = None;
            placement.proven = false;
            placement.stopping = true;
            let run = placement.run;
            let worker = self.fleet.workers.get(&status.id);
            if worker.is_some_and(|worker| !worker.runs.contains_key(&task)) {
                self.fleet.occupy(&status.id, &task, run, &resources);
            }
            self.changed_workers.insert(status.id.clone());
            self.stop_run(&task, "another member of its gang was lost with its worker");
        }
    }

    /// Removes the workers whose address a new incarnation has taken over.
    fn end_earlier_incarnations(&mut self, now: Timestamp, status: &WorkerStatus) {
        let earlier: Vec<(String, LossCause)> = self
            .fleet
            .workers
            .iter()
            .filter(|(id, worker)| is_earlier(id, &worker.status, status))
            .map(|(id, worker)| (id.clone(), LossCause::of_departure(&worker.status)))
            .collect();
        for (id, cause) in earlier {
            self.end_lost_runs(now, &id, cause);
            self.fleet.workers.remove(&id);
        }
    }

    fn end_lost_runs(&mut self, now: Timestamp, id: &str, cause: LossCause) {
        for task in self.record_loss(now, id, cause) {
            self.end_lost_run(now, &task);
        }
    }

    /// Ends a run that is lost with its worker. Its task continues from the last checkpoint.
    fn end_lost_run(&mut self, now: Timestamp, task: &TaskId) {
        let checkpoint = self.checkpoint(task);
        self.end_run(now, task, None, &checkpoint);
    }

    /// Records the loss of a worker, and returns the runs that are lost with it.
    fn record_loss(&mut self, now: Timestamp, id: &str, cause: LossCause) -> Vec<TaskId> {
        self.record_crash(now, id, cause);
        let Some(worker) = self.fleet.workers.get(id) else { return Vec::new() };
        let runs: Vec<TaskId> = worker.runs.keys().cloned().collect();
        if runs.is_empty() {
            return runs;
        }
        let ages: Vec<String> =
            runs.iter().filter_map(|task| self.describe_age(now, task)).collect();
        let silence = now.monotonic.saturating_duration_since(worker.last_report);
        let detail = format!(
            "{} runs lost: {cause}; last report {} ms ago, reached {}, runs {}",
            runs.len(),
            silence.as_millis(),
            worker.is_reached,
            ages.join(" "),
        );
        self.record_decision(id, DecisionKind::Lost, detail);
        runs
    }

    /// Returns a run with the time since its placement and how far its start is known to have come.
    fn describe_age(&self, now: Timestamp, task: &TaskId) -> Option<String> {
        let placement = self.placement(task)?;
        let age = now.monotonic.saturating_duration_since(placement.placed_at);
        let stage = match placement {
            Placement { proven: true, .. } => "proven",
            Placement { listed: true, .. } => "listed",
            Placement { attempted: true, .. } => "attempted",
            _ => "ordered",
        };
        Some(format!("{task}/{}:{}ms:{stage}", placement.run, age.as_millis()))
    }

    fn checkpoint(&self, task: &TaskId) -> String {
        let placement = self.placement(task);
        placement.map_or_else(String::new, |placement| placement.checkpoint.clone())
    }

    fn is_current(&self, status: &WorkerStatus, task: &TaskId, run: u32) -> bool {
        let placement = self.placement(task);
        placement.is_some_and(|placement| {
            placement.run == run
                && placement.worker == status.id
                && placement.incarnation == status.incarnation
        })
    }

    fn handle_end(&mut self, now: Timestamp, status: &WorkerStatus, end: &RunEnd) {
        if !self.is_current(status, &end.task, end.run) {
            return;
        }
        self.update_health(now, status, end);
        self.record_run_time(now, end);
        self.end_run(now, &end.task, Some(end.kind), &end.checkpoint);
    }

    /// Records the run time of a run that began without a checkpoint and is done. A gang counts once,
    /// from the time at which all of its members were present.
    fn record_run_time(&mut self, now: Timestamp, end: &RunEnd) {
        let Some(entry) = self.jobs.get(&end.task.job).filter(|_| end.kind == EndKind::Done) else {
            return;
        };
        let (Some(placement), Some(step)) =
            (entry.placement(&end.task.key), entry.job.steps.get(end.task.key.step as usize))
        else {
            return;
        };
        let counted = entry.tasks.get(&end.task.key).is_some_and(|task| task.done);
        let started_at = match placement.progress_start {
            Some((since, _)) if step.gang => since,
            _ => placement.placed_at,
        };
        if placement.full_run && !step.lasting && !counted {
            let run_time = now.monotonic.saturating_duration_since(started_at);
            self.run_times.observe_complete(entry.job.route_id(), step.estimate_ms, run_time);
        }
    }

    /// Counts the end of a run as evidence for or against its worker.
    fn update_health(&mut self, now: Timestamp, status: &WorkerStatus, end: &RunEnd) {
        // Lasting tasks may fail at any time and are started again.
        if self.jobs.get(&end.task.job).is_some_and(|entry| entry.job.lasts()) {
            return;
        }
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        match end.kind {
            EndKind::Done => worker.health.record_success(),
            EndKind::Failed
                if worker.health.record_fault(now.monotonic, &end.task.job, Fault::Failed) =>
            {
                let detail = "runs of several jobs failed".to_owned();
                self.record_decision(&status.id, DecisionKind::Quarantined, detail);
            }
            _ => {}
        }
    }

    fn handle_refusal(&mut self, now: Timestamp, status: &WorkerStatus, refusal: &RunRefusal) {
        if !self.is_current(status, &refusal.task, refusal.run) {
            return;
        }
        if self.placement(&refusal.task).is_some_and(|placement| placement.lost) {
            self.end_lost_run(now, &refusal.task);
            return;
        }
        if refusal.kind == RefusalKind::Permit {
            let step = StepId::new(&refusal.task.job, &refusal.task.key);
            self.advice.remove_permit(&step, &status.id);
        }
        if refusal.kind == RefusalKind::Room
            && let Some(worker) = self.fleet.workers.get_mut(&status.id)
        {
            worker.full_until = Some(now.monotonic + FULL_PAUSE);
        }
        if refusal.kind == RefusalKind::Unhealthy
            && let Some(worker) = self.fleet.workers.get_mut(&status.id)
        {
            worker.health.record_fault(now.monotonic, &refusal.task.job, Fault::Unhealthy);
        }
        self.record_decision(
            &refusal.task.to_string(),
            DecisionKind::RunEnded,
            format!("run {} refused by {}: {:?}", refusal.run, status.id, refusal.kind),
        );
        self.end_run(now, &refusal.task, Some(EndKind::Fenced), "");
    }

    fn update_runs(&mut self, now: Timestamp, status: &WorkerStatus, report: &WorkerReport) {
        for run in &report.running {
            if !self.is_current(status, &run.task, run.run) {
                continue;
            }
            let Some(entry) = self.jobs.get_mut(&run.task.job) else { continue };
            entry.started = true;
            entry.record_listed(&run.task.key, run.percent, now.monotonic);
            let Some(placement) = entry.placement_mut(&run.task.key) else { continue };
            if !report.unreached {
                placement.prove(now.monotonic);
            }
            if !run.checkpoint.is_empty() {
                placement.checkpoint.clone_from(&run.checkpoint);
            }
        }
        for (task, run) in &report.attempted {
            if !self.is_current(status, task, *run) {
                continue;
            }
            let entry = self.jobs.get_mut(&task.job);
            if let Some(placement) = entry.and_then(|entry| entry.placement_mut(&task.key)) {
                placement.attempted = true;
            }
        }
        for run in &report.running {
            if self.is_current(status, &run.task, run.run) {
                self.observe_running(now, &run.task);
                self.note_progress(now, &run.task);
            }
        }
        self.stop_vanished(now, status, report);
    }

    fn stop_vanished(&mut self, now: Timestamp, status: &WorkerStatus, report: &WorkerReport) {
        if report.ends_truncated {
            return;
        }
        let Some(worker) = self.fleet.workers.get(&status.id) else { return };
        let mut vanished = Vec::new();
        for (task, run) in &worker.runs {
            if report.running.iter().any(|listed| listed.task == *task && listed.run == *run) {
                continue;
            }
            let placement = self.placement(task);
            if placement.is_some_and(|placement| {
                placement.listed
                    && !placement.stopping
                    && now.monotonic > placement.last_progress + VANISHED_AFTER
            }) {
                vanished.push(task.clone());
            }
        }
        for task in vanished {
            self.stop_run(&task, "its worker no longer lists it");
        }
    }

    /// Records the job versions that must be durable before the ends of this report are
    /// acknowledged.
    fn record_applied_ends(&mut self, status: &WorkerStatus, report: &WorkerReport) {
        let Some(worker) = self.fleet.workers.get_mut(&status.id) else { return };
        if report.ended_through <= worker.acked {
            return;
        }
        if worker.applied.as_ref().is_some_and(|(last_end, _)| *last_end >= report.ended_through) {
            return;
        }
        let job_versions = report.ended.iter().filter_map(|end| {
            let entry = self.jobs.get(&end.task.job)?;
            Some((end.task.job.clone(), entry.version))
        });
        worker.applied = Some((report.ended_through, job_versions.collect()));
        self.acknowledge_ends();
    }
}

/// Reports whether the worker `id` is an earlier incarnation under another id, whose address the worker
/// with `status` has taken over.
fn is_earlier(id: &str, worker: &WorkerStatus, status: &WorkerStatus) -> bool {
    id != status.id
        && !status.address.is_empty()
        && worker.address == status.address
        && worker.incarnation < status.incarnation
}
