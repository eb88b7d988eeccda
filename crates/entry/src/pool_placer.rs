use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_placement::{
    Action, Event as PlacementEvent, GangEnd, GangMember, HoldResult, Placer, PreemptMode, Status,
};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::Pool;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::AgentId;
use tokio::sync::mpsc;

use crate::gang_calls::{
    PlacementSpec, change_reservations, commit_gang, hold_member, pending_delay, stop_gang,
};
use crate::hub::Hub;
use crate::job_record::JobRecord;
use crate::job_registry::{JobRegistry, TrackedJob};
use crate::jobs::Command;
use crate::placement_task::to_report;

/// Delay after a takeover before jobs that another entry may have started are submitted to the
/// placer. By then their gangs appear in reports: a silent session lasts at most 2.5 s, and the
/// next report takes 1 s.
const TAKEOVER_DELAY: Duration = Duration::from_millis(3500);

/// Interval at which the records of jobs in progress are brought up to date even without an event,
/// because their states can also change with time alone.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the ends of gangs are remembered. It exceeds the 30 s for which reports repeat
/// them.
const ENDED_GANG_RETENTION: Duration = Duration::from_secs(60);

/// A placement of a gang that has not started yet.
struct GangPlacement {
    committed: bool,
    /// Agents that hold the capacity of their member.
    held: BTreeSet<AgentId>,
    members: Vec<GangMember>,
    spec: PlacementSpec,
}

/// Runs the placer of one pool and carries out its decisions through calls to agents.
pub(crate) struct PoolPlacer {
    commands: mpsc::UnboundedSender<Command>,
    /// Number of the last job change that was applied.
    cursor: u64,
    /// Jobs that another entry may have started and whose gangs reports may not show yet.
    deferred: BTreeSet<String>,
    /// Duplicate placements to stop: job, epoch to stop, other epoch, and agents of the members.
    duplicates: Vec<(String, u64, u64, Vec<AgentId>)>,
    /// Gangs whose end was reported, and the time of the first such report.
    ended: HashMap<(String, u64), Instant>,
    /// Jobs whose gang finished and whose record is not marked as done yet, and the time of the
    /// report.
    finished: BTreeMap<String, Instant>,
    hub: Arc<Hub>,
    /// Jobs that are starting, running or stopping.
    in_progress: BTreeSet<String>,
    name: String,
    /// Placements that are being held or committed, by job.
    placements: HashMap<String, GangPlacement>,
    placer: Placer,
    pool: Pool,
    /// Jobs and the run time in milliseconds that their checkpoints preserve; not recorded yet.
    progress: Vec<(String, u64)>,
    /// Time of the last report of each worker.
    report_times: HashMap<String, Instant>,
    /// Time at which this entry became the preferred one for the pool.
    started: Instant,
    /// Jobs that were submitted to the placer.
    submitted: HashSet<String>,
    /// Time of the last update of the records of all jobs in progress.
    synced: Instant,
    /// Jobs whose state may differ from their record.
    unsynced: BTreeSet<String>,
}

impl PoolPlacer {
    pub fn new(
        pool: &Pool,
        hub: Arc<Hub>,
        commands: mpsc::UnboundedSender<Command>,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            commands,
            cursor: 0,
            deferred: BTreeSet::new(),
            duplicates: Vec::new(),
            ended: HashMap::new(),
            finished: BTreeMap::new(),
            hub,
            in_progress: BTreeSet::new(),
            name: pool.name.clone(),
            placements: HashMap::new(),
            placer: Placer::new(pool, now).with_seed(seed),
            pool: pool.clone(),
            progress: Vec::new(),
            report_times: HashMap::new(),
            started: now,
            submitted: HashSet::new(),
            synced: now,
            unsynced: BTreeSet::new(),
        }
    }

    pub fn status(&self) -> Status {
        self.placer.status()
    }

    pub fn apply_pool(&mut self, pool: &Pool) {
        if self.pool != *pool {
            self.pool = pool.clone();
            self.placer.apply_pool(pool);
        }
    }

    pub fn handle(&mut self, event: PlacementEvent, now: Instant) {
        self.placer.handle(event, now);
    }

    /// Submits new jobs to the placer and cancels those whose records have ended.
    pub fn apply_job_changes(&mut self, registry: &mut JobRegistry, now: Instant) {
        let is_own = |tracked: &&TrackedJob| tracked.record.pool == self.name;
        let mut ids: Vec<String> = registry
            .changed_after(self.cursor)
            .filter(is_own)
            .map(|tracked| tracked.record.id.clone())
            .collect();
        self.cursor = registry.changes();
        ids.extend(self.deferred.iter().cloned());
        for id in ids {
            let Some(tracked) = registry.get(&id) else { continue };
            if tracked.record.is_ended() {
                self.submitted.remove(&id);
                self.deferred.remove(&id);
                self.in_progress.remove(&id);
                self.cancel_ended(&id, now);
            } else if !self.submitted.contains(&id) {
                if !self.may_submit(&tracked.record, now) {
                    self.deferred.insert(id);
                    continue;
                }
                let age = now.saturating_duration_since(tracked.received);
                self.placer.handle(PlacementEvent::Submit(tracked.record.to_spec(age)), now);
                self.deferred.remove(&id);
                self.unsynced.insert(id.clone());
                self.submitted.insert(id);
            }
        }
    }

    /// Returns whether any placement that another entry made for the job would be visible in
    /// reports by now, so that the job cannot be started twice.
    fn may_submit(&self, record: &JobRecord, now: Instant) -> bool {
        let has_reported =
            |name: &String| self.report_times.get(name).is_some_and(|time| *time > self.started);
        record.state == JobState::Queued
            || now.saturating_duration_since(self.started) >= TAKEOVER_DELAY
            || (!record.members.is_empty() && record.members.iter().all(has_reported))
    }

    /// Cancels at the placer a job whose record has ended, unless its gang is already stopping.
    fn cancel_ended(&mut self, id: &str, now: Instant) {
        if self.placer.explain(id).is_some_and(|job| job.state != "stopping") {
            self.placer.handle(PlacementEvent::Cancel { job: id.to_owned() }, now);
        }
    }

    /// Handles an agent's answer to a hold, or its absence.
    pub fn handle_hold_result(
        &mut self,
        job: &str,
        epoch: u64,
        worker: &AgentId,
        result: HoldResult,
        now: Instant,
    ) {
        if let Some(placement) = self.placements.get_mut(job)
            && placement.spec.epoch == epoch
            && result == HoldResult::Held
        {
            placement.held.insert(worker.clone());
        }
        self.unsynced.insert(job.to_owned());
        let event = PlacementEvent::HoldAnswered {
            job: job.to_owned(),
            epoch,
            worker: worker.clone(),
            result,
        };
        self.placer.handle(event, now);
    }

    /// Handles a worker's report: its state, and the starts and ends of gangs.
    pub fn handle_report(&mut self, agent: &AgentId, state: &v1::WorkerState, now: Instant) {
        self.report_times.insert(agent.name.clone(), now);
        for grant in state.grants.iter().filter(|grant| grant.running) {
            self.detect_duplicate(agent, grant, now);
        }
        let event = PlacementEvent::WorkerReport { agent: agent.clone(), report: to_report(state) };
        self.placer.handle(event, now);
        for grant in &state.grants {
            self.unsynced.insert(grant.gang.clone());
            if grant.running {
                let event =
                    PlacementEvent::GangStarted { job: grant.gang.clone(), epoch: grant.epoch };
                self.placer.handle(event, now);
            }
        }
        for ended in &state.ended {
            self.handle_gang_end(agent, ended, now);
        }
    }

    /// Detects a job that two entries with different views have started twice, and marks the
    /// placement with the lower epoch to be stopped.
    fn detect_duplicate(&mut self, agent: &AgentId, grant: &v1::Grant, now: Instant) {
        let Some(status) = self.placer.explain(&grant.gang) else { return };
        let (job, members) = (grant.gang.clone(), status.members);
        if status.state == "running" && grant.epoch < status.epoch {
            self.duplicates.push((job, grant.epoch, status.epoch, vec![agent.clone()]));
        } else if status.state != "waiting" && grant.epoch > status.epoch {
            let agents = members.into_iter().map(|(agent, _)| agent).collect();
            self.placements.remove(&job);
            self.duplicates.push((job.clone(), status.epoch, grant.epoch, agents));
            // The placer takes over the placement with the higher epoch from this report.
            let end = GangEnd::Stopped;
            self.placer.handle(PlacementEvent::GangEnded { job, epoch: status.epoch, end }, now);
        }
    }

    fn handle_gang_end(&mut self, agent: &AgentId, ended: &v1::GangEnd, now: Instant) {
        use v1::gang_end::End;
        let key = (ended.gang.clone(), ended.epoch);
        if self.ended.insert(key, now).is_some() {
            return;
        }
        self.unsynced.insert(ended.gang.clone());
        if ended.end() == End::Finished {
            self.finished.insert(ended.gang.clone(), now);
        }
        if ended.progress_ms > 0 {
            self.progress.push((ended.gang.clone(), ended.progress_ms));
            let event = PlacementEvent::Checkpointed {
                job: ended.gang.clone(),
                epoch: ended.epoch,
                progress: Duration::from_millis(ended.progress_ms),
            };
            self.placer.handle(event, now);
        }
        let end = match ended.end() {
            End::Finished => GangEnd::Finished,
            End::Failed => GangEnd::Failed {
                worker: ended.failed.clone().map_or_else(|| agent.clone(), AgentId::from),
            },
            End::Stopped => GangEnd::Stopped,
            End::Lapsed | End::Unspecified => GangEnd::LeaseLapsed,
        };
        let event = PlacementEvent::GangEnded { job: ended.gang.clone(), epoch: ended.epoch, end };
        self.placer.handle(event, now);
    }

    /// Lets the placer decide and carries out its decisions.
    pub fn decide(
        &mut self,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for action in self.placer.decide(now) {
            self.perform(action, registry, controls, now);
        }
        self.stop_duplicates(controls, now);
        self.record_ends(registry, now);
        self.commit_held(registry, controls, now);
        self.sync_records(registry, now);
    }

    fn perform(
        &mut self,
        action: Action,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        match action {
            Action::Place { job, epoch, members, instance, reason } => {
                self.unsynced.insert(job.clone());
                self.place(&job, epoch, members, instance, &reason, registry, controls, now);
            }
            Action::Release { job, epoch, members, reason } => {
                self.unsynced.insert(job.clone());
                self.placements.remove(&job);
                self.record(Event::JobWaiting, &job, &reason, now);
                self.stop(&job, epoch, &members, None, &reason, controls);
            }
            Action::Preempt { job, epoch, members, mode, reason } => {
                self.unsynced.insert(job.clone());
                self.record(Event::JobPreempted, &job, &reason, now);
                self.stop(&job, epoch, &members, Some(mode), &reason, controls);
            }
            Action::Throttle { job, reason, .. } => {
                // The ledger of the worker's agent throttles on its own; the event is only recorded
                // for `explain`.
                self.record(Event::JobWaiting, &job, &reason, now);
            }
            Action::SetReservation { instance, worker, accelerators, epoch, .. } => {
                let reservation = v1::Reservation { instance, epoch, accelerators };
                self.change_reservations(&worker, epoch, vec![reservation], Vec::new(), controls);
            }
            Action::ClearReservation { instance, worker, epoch, .. } => {
                self.change_reservations(&worker, epoch, Vec::new(), vec![instance], controls);
            }
            Action::Refuse { job, reason, remedy } => {
                let detail = format!("{reason}; {remedy}");
                self.fail_job(&job, Event::JobRefused, &detail, registry, now);
            }
            Action::StopJob { job, reason } => {
                self.fail_job(&job, Event::JobEnded, &reason, registry, now);
            }
            Action::FitsNow { job, reason } => {
                let detail = format!("would fit now; was refused: {reason}");
                self.record(Event::JobWaiting, &job, &detail, now);
            }
            Action::Wait { job, reason } => {
                self.record(Event::JobWaiting, &job, &reason, now);
                registry.edit(&job, now, |record| record.detail.clone_from(&reason));
            }
            Action::GuaranteeAtRisk { instance, reason } => {
                self.record(Event::GuaranteeAtRisk, &instance, &reason, now);
            }
            Action::GuaranteeRestored { instance, reason } => {
                self.record(Event::GuaranteeRestored, &instance, &reason, now);
            }
            Action::Quarantine { worker, reason } => {
                self.record(Event::WorkerQuarantined, &worker.name, &reason, now);
            }
            Action::Unquarantine { worker, reason } => {
                self.record(Event::WorkerReturned, &worker.name, &reason, now);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one decision and its context")]
    fn place(
        &mut self,
        job: &str,
        epoch: u64,
        members: Vec<GangMember>,
        instance: Option<String>,
        reason: &str,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        let Some(tracked) = registry.get(job) else { return };
        let request = &tracked.record.request;
        let names: Vec<String> = members.iter().map(|member| member.worker.name.clone()).collect();
        let detail = format!("epoch {epoch} on {}: {reason}", names.join(", "));
        let spec = PlacementSpec {
            job: job.to_owned(),
            epoch,
            rank: (u32::from(tracked.record.class), tracked.change),
            instance,
            preemptible: request.preemption != skylarkpulley_admin::Preemption::Never,
            memory_mib: request.memory_mib,
        };
        self.record(Event::JobPlaced, job, &detail, now);
        registry.edit(job, now, |record| {
            record.state = JobState::Starting;
            record.detail = detail;
            record.epoch = record.epoch.max(epoch);
            record.members = names;
        });
        for member in &members {
            let control = controls.get(&member.worker).cloned().unwrap_or_default();
            self.spawn_hold(control, spec.clone(), member.clone());
        }
        let placement = GangPlacement { committed: false, held: BTreeSet::new(), members, spec };
        self.placements.insert(job.to_owned(), placement);
    }

    /// Requests the hold of one member until the agent grants or refuses it, or does not answer.
    /// When the placer releases the placement, the agent refuses its epoch, which ends a pending
    /// hold.
    fn spawn_hold(&self, control: String, spec: PlacementSpec, member: GangMember) {
        let hub = Arc::clone(&self.hub);
        let commands = self.commands.clone();
        let pool = self.name.clone();
        tokio::spawn(async move {
            loop {
                let result = hold_member(&hub, &control, &spec, &member).await;
                let pending = result == HoldResult::Pending;
                let answer = Command::HoldAnswered {
                    pool: pool.clone(),
                    job: spec.job.clone(),
                    epoch: spec.epoch,
                    worker: member.worker.clone(),
                    result,
                };
                if commands.send(answer).is_err() || !pending {
                    return;
                }
                pending_delay().await;
            }
        });
    }

    /// Commits every placement whose members all hold their capacity.
    fn commit_held(
        &mut self,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for placement in self.placements.values_mut() {
            if placement.committed || placement.held.len() < placement.members.len() {
                continue;
            }
            placement.committed = true;
            let Some(tracked) = registry.get(&placement.spec.job) else { continue };
            let task = task_json(&tracked.record);
            let members: Vec<(AgentId, String)> = placement
                .members
                .iter()
                .map(|member| {
                    let control = controls.get(&member.worker).cloned().unwrap_or_default();
                    (member.worker.clone(), control)
                })
                .collect();
            let spec = placement.spec.clone();
            let hub = Arc::clone(&self.hub);
            hub.decisions.record(
                now,
                Event::JobPlaced,
                &spec.job,
                "all members hold their capacity; the gang is committed",
            );
            tokio::spawn(async move { commit_gang(&hub, &spec, members, task).await });
        }
    }

    fn stop(
        &self,
        job: &str,
        epoch: u64,
        members: &[AgentId],
        mode: Option<PreemptMode>,
        reason: &str,
        controls: &BTreeMap<AgentId, String>,
    ) {
        let (checkpoint, grace) = match mode {
            Some(PreemptMode::Checkpoint { grace }) => (true, grace),
            Some(PreemptMode::Stop) | None => (false, Duration::ZERO),
        };
        let request = v1::StopRequest {
            gang: job.to_owned(),
            epoch,
            checkpoint,
            grace_ms: u64::try_from(grace.as_millis()).unwrap_or(u64::MAX),
            reason: reason.to_owned(),
        };
        let controls: Vec<String> =
            members.iter().filter_map(|agent| controls.get(agent).cloned()).collect();
        let hub = Arc::clone(&self.hub);
        let lead_only = mode.is_some();
        tokio::spawn(async move {
            // The lead ends the whole gang. All members are called if the lead does not answer.
            if lead_only
                && let Some(lead) = controls.first()
                && stop_gang(&hub, lead, request.clone()).await
            {
                return;
            }
            let calls = controls.iter().map(|control| stop_gang(&hub, control, request.clone()));
            futures::future::join_all(calls).await;
        });
    }

    fn change_reservations(
        &self,
        worker: &AgentId,
        epoch: u64,
        reserve: Vec<v1::Reservation>,
        unreserve: Vec<String>,
        controls: &BTreeMap<AgentId, String>,
    ) {
        let Some(control) = controls.get(worker).cloned() else { return };
        let (hub, worker) = (Arc::clone(&self.hub), worker.clone());
        tokio::spawn(async move {
            // No retry is needed: the placer compares reports with its plan and repeats a change
            // that was lost.
            change_reservations(&hub, &control, &worker, epoch, reserve, unreserve).await;
        });
    }

    fn fail_job(
        &mut self,
        job: &str,
        event: Event,
        detail: &str,
        registry: &mut JobRegistry,
        now: Instant,
    ) {
        self.record(event, job, detail, now);
        self.placements.remove(job);
        registry.edit(job, now, |record| {
            record.state = JobState::Failed;
            record.detail = detail.to_owned();
        });
    }

    fn stop_duplicates(&mut self, controls: &BTreeMap<AgentId, String>, now: Instant) {
        for (job, epoch, other_epoch, members) in std::mem::take(&mut self.duplicates) {
            let reason =
                format!("epoch {epoch} is stopped because epoch {other_epoch} runs as well");
            self.record(Event::CommandFenced, &job, &reason, now);
            self.stop(&job, epoch, &members, None, &reason, controls);
        }
    }

    /// Copies reported ends and checkpoints of gangs to the job records.
    fn record_ends(&mut self, registry: &mut JobRegistry, now: Instant) {
        for (id, progress) in std::mem::take(&mut self.progress) {
            registry.edit(&id, now, |record| record.progress_ms = record.progress_ms.max(progress));
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ENDED_GANG_RETENTION;
        for (id, at) in std::mem::take(&mut self.finished) {
            match registry.get(&id) {
                Some(tracked) if tracked.record.is_ended() => {}
                Some(_) => {
                    self.record(Event::JobEnded, &id, "done", now);
                    self.placements.remove(&id);
                    registry.edit(&id, now, |record| {
                        record.state = JobState::Done;
                        record.detail = "done".to_owned();
                    });
                }
                // The record may not have arrived from another entry or the store yet.
                None if is_recent(&at) => drop(self.finished.insert(id, at)),
                None => {}
            }
        }
    }

    /// Updates the records of jobs whose state at the placer may have changed.
    fn sync_records(&mut self, registry: &mut JobRegistry, now: Instant) {
        let mut ids = std::mem::take(&mut self.unsynced);
        if now.saturating_duration_since(self.synced) >= SYNC_INTERVAL {
            self.synced = now;
            ids.extend(self.in_progress.iter().cloned());
            self.ended.retain(|_, at| now.saturating_duration_since(*at) < ENDED_GANG_RETENTION);
        }
        for id in ids {
            let Some(tracked) = registry.get(&id) else { continue };
            if tracked.record.is_ended() {
                self.cancel_ended(&id, now);
            } else if self.submitted.contains(&id) {
                let recorded_state = tracked.record.state;
                self.sync_record(&id, recorded_state, registry, now);
            }
        }
    }

    fn sync_record(
        &mut self,
        id: &str,
        recorded_state: JobState,
        registry: &mut JobRegistry,
        now: Instant,
    ) {
        let Some(status) = self.placer.explain(id) else {
            // The placer has removed a job that has not ended; it is submitted again.
            self.submitted.remove(id);
            self.deferred.insert(id.to_owned());
            return;
        };
        let state = match status.state {
            "running" => JobState::Running,
            "stopping" => JobState::Stopping,
            "holding" | "committing" => JobState::Starting,
            _ => JobState::Queued,
        };
        if state == JobState::Queued {
            self.in_progress.remove(id);
        } else {
            self.in_progress.insert(id.to_owned());
        }
        let recorded_losses = registry.get(id).map(|tracked| tracked.record.lost_starts);
        if recorded_losses != Some(status.lost_starts) {
            registry.edit(id, now, |record| record.lost_starts = status.lost_starts);
        }
        if state == recorded_state {
            return;
        }
        let event = match state {
            JobState::Running => Some(Event::JobStarted),
            JobState::Queued if recorded_state != JobState::Starting => Some(Event::JobRequeued),
            _ => None,
        };
        if let Some(event) = event {
            self.record(event, id, &state.to_string(), now);
        }
        if state != JobState::Starting {
            self.placements.remove(id);
        }
        registry.edit(id, now, |record| {
            record.state = state;
            record.detail = state.to_string();
            record.epoch = record.epoch.max(status.epoch);
            record.members = status.members.iter().map(|(agent, _)| agent.name.clone()).collect();
        });
    }

    fn record(&self, event: Event, id: &str, detail: &str, now: Instant) {
        self.hub.decisions.record(now, event, id, detail);
    }
}

/// Returns the task that the workers of a gang receive.
fn task_json(record: &JobRecord) -> Vec<u8> {
    let task = serde_json::json!({
        "accelerators": record.request.shape.accelerators,
        "kind": record.request.kind,
        "memory": record.request.memory_mib,
        "resume_ms": record.progress_ms,
        "run_ms": record.request.run_time_ms,
        "team": record.request.team,
    });
    task.to_string().into_bytes()
}
