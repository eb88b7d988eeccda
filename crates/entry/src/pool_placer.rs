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

/// After a takeover, jobs that another entry had started are given this long to show up in reports:
/// a silent session (2.5 s) and a report (1 s).
const TAKEOVER_WAIT: Duration = Duration::from_millis(3500);

/// Time between two looks at jobs that start, run or stop; their states also change with time alone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Ends of gangs stay in reports for 30 s.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// One try to start a gang.
struct Try {
    committed: bool,
    held: BTreeSet<AgentId>,
    members: Vec<GangMember>,
    spec: PlacementSpec,
}

/// The placer of one pool with the calls to agents that follow from its decisions.
pub(crate) struct PoolPlacer {
    commands: mpsc::UnboundedSender<Command>,
    /// Changes of jobs up to this one were taken in.
    cursor: u64,
    /// Jobs that another entry had begun to start and that may still run.
    deferred: BTreeSet<String>,
    /// Gangs whose end was reported, and when.
    ended: HashMap<(String, u64), Instant>,
    /// Tries of jobs that are superseded by a later one, with the members to stop.
    fences: Vec<(String, u64, u64, Vec<AgentId>)>,
    /// Jobs that were reported as finished and are not marked as done yet.
    finished: BTreeMap<String, Instant>,
    hub: Arc<Hub>,
    /// Jobs that start, run or stop.
    live: BTreeSet<String>,
    name: String,
    placer: Placer,
    pool: Pool,
    /// Run time that checkpoints preserve, not yet in the records.
    progress: Vec<(String, u64)>,
    /// When each worker reported last.
    reported: HashMap<String, Instant>,
    since: Instant,
    submitted: HashSet<String>,
    swept: Instant,
    /// Jobs whose state may have changed.
    touched: BTreeSet<String>,
    tries: HashMap<String, Try>,
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
            ended: HashMap::new(),
            fences: Vec::new(),
            finished: BTreeMap::new(),
            hub,
            live: BTreeSet::new(),
            name: pool.name.clone(),
            placer: Placer::new(pool, now).with_seed(seed),
            pool: pool.clone(),
            progress: Vec::new(),
            reported: HashMap::new(),
            since: now,
            submitted: HashSet::new(),
            swept: now,
            touched: BTreeSet::new(),
            tries: HashMap::new(),
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

    /// Hands new jobs to the placer and stops those that have ended at another entry.
    pub fn take_changes(&mut self, book: &mut JobRegistry, now: Instant) {
        let own = |held: &&TrackedJob| held.record.pool == self.name;
        let mut ids: Vec<String> = book
            .changed_after(self.cursor)
            .filter(own)
            .map(|held| held.record.id.clone())
            .collect();
        self.cursor = book.changes();
        ids.extend(self.deferred.iter().cloned());
        for id in ids {
            let Some(held) = book.get(&id) else { continue };
            if held.record.is_ended() {
                self.submitted.remove(&id);
                self.deferred.remove(&id);
                self.live.remove(&id);
                self.cancel_ended(&id, now);
            } else if !self.submitted.contains(&id) {
                if !self.may_submit(&held.record, now) {
                    self.deferred.insert(id);
                    continue;
                }
                let age = now.saturating_duration_since(held.received);
                self.placer.handle(PlacementEvent::Submit(held.record.to_spec(age)), now);
                self.deferred.remove(&id);
                self.touched.insert(id.clone());
                self.submitted.insert(id);
            }
        }
    }

    /// Reports whether no try of another entry can be under way that reports do not show yet.
    fn may_submit(&self, record: &JobRecord, now: Instant) -> bool {
        let reported =
            |name: &String| self.reported.get(name).is_some_and(|reported| *reported > self.since);
        record.state == JobState::Queued
            || now.saturating_duration_since(self.since) >= TAKEOVER_WAIT
            || (!record.members.is_empty() && record.members.iter().all(reported))
    }

    /// Stops what still runs of a job that has ended.
    fn cancel_ended(&mut self, id: &str, now: Instant) {
        if self.placer.explain(id).is_some_and(|job| job.state != "stopping") {
            self.placer.handle(PlacementEvent::Cancel { job: id.to_owned() }, now);
        }
    }

    pub fn held(
        &mut self,
        job: &str,
        epoch: u64,
        worker: &AgentId,
        result: HoldResult,
        now: Instant,
    ) {
        if let Some(current) = self.tries.get_mut(job)
            && current.spec.epoch == epoch
            && result == HoldResult::Held
        {
            current.held.insert(worker.clone());
        }
        self.touched.insert(job.to_owned());
        let event = PlacementEvent::HoldAnswered {
            job: job.to_owned(),
            epoch,
            worker: worker.clone(),
            result,
        };
        self.placer.handle(event, now);
    }

    /// Takes in a worker's report: its state, starts and ends of gangs.
    pub fn report(&mut self, agent: &AgentId, state: &v1::WorkerState, now: Instant) {
        self.reported.insert(agent.name.clone(), now);
        for grant in state.grants.iter().filter(|grant| grant.running) {
            self.find_second_try(agent, grant, now);
        }
        let event = PlacementEvent::WorkerReport { agent: agent.clone(), report: to_report(state) };
        self.placer.handle(event, now);
        for grant in &state.grants {
            self.touched.insert(grant.gang.clone());
            if grant.running {
                let event =
                    PlacementEvent::GangStarted { job: grant.gang.clone(), epoch: grant.epoch };
                self.placer.handle(event, now);
            }
        }
        for ended in &state.ended {
            self.end(agent, ended, now);
        }
    }

    /// Two entries with different views may have started one job twice; the lower epoch is stopped.
    fn find_second_try(&mut self, agent: &AgentId, grant: &v1::Grant, now: Instant) {
        let Some(known) = self.placer.explain(&grant.gang) else { return };
        let (job, members) = (grant.gang.clone(), known.members);
        if known.state == "running" && grant.epoch < known.epoch {
            self.fences.push((job, grant.epoch, known.epoch, vec![agent.clone()]));
        } else if known.state != "waiting" && grant.epoch > known.epoch {
            let agents = members.into_iter().map(|(agent, _)| agent).collect();
            self.tries.remove(&job);
            self.fences.push((job.clone(), known.epoch, grant.epoch, agents));
            // The placer adopts the later try from this report.
            let end = GangEnd::Stopped;
            self.placer.handle(PlacementEvent::GangEnded { job, epoch: known.epoch, end }, now);
        }
    }

    fn end(&mut self, agent: &AgentId, ended: &v1::GangEnd, now: Instant) {
        use v1::gang_end::End;
        let key = (ended.gang.clone(), ended.epoch);
        if self.ended.insert(key, now).is_some() {
            return;
        }
        self.touched.insert(ended.gang.clone());
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

    /// Decides and carries the decisions out.
    pub fn decide(
        &mut self,
        book: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for action in self.placer.decide(now) {
            self.perform(action, book, controls, now);
        }
        self.fence(controls, now);
        self.note_ends(book, now);
        self.commit_held(book, controls, now);
        self.note_states(book, now);
    }

    fn perform(
        &mut self,
        action: Action,
        book: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        match action {
            Action::Place { job, epoch, members, instance, reason } => {
                self.touched.insert(job.clone());
                self.place(&job, epoch, members, instance, &reason, book, controls, now);
            }
            Action::Release { job, epoch, members, reason } => {
                self.touched.insert(job.clone());
                self.tries.remove(&job);
                self.record(Event::JobWaiting, &job, &reason, now);
                self.stop(&job, epoch, &members, None, &reason, controls);
            }
            Action::Preempt { job, epoch, members, mode, reason } => {
                self.touched.insert(job.clone());
                self.record(Event::JobPreempted, &job, &reason, now);
                self.stop(&job, epoch, &members, Some(mode), &reason, controls);
            }
            Action::Throttle { job, reason, .. } => {
                // The ledger beside the worker throttles by itself; this is for `explain`.
                self.record(Event::JobWaiting, &job, &reason, now);
            }
            Action::SetReservation { instance, worker, accelerators, epoch, .. } => {
                let reservation = v1::Reservation { instance, epoch, accelerators };
                self.reserve(&worker, epoch, vec![reservation], Vec::new(), controls);
            }
            Action::ClearReservation { instance, worker, epoch, .. } => {
                self.reserve(&worker, epoch, Vec::new(), vec![instance], controls);
            }
            Action::Refuse { job, reason, remedy } => {
                let detail = format!("{reason}; {remedy}");
                self.fail(&job, Event::JobRefused, &detail, book, now);
            }
            Action::StopJob { job, reason } => {
                self.fail(&job, Event::JobEnded, &reason, book, now);
            }
            Action::FitsNow { job, reason } => {
                let detail = format!("would fit now; was refused: {reason}");
                self.record(Event::JobWaiting, &job, &detail, now);
            }
            Action::Wait { job, reason } => {
                self.record(Event::JobWaiting, &job, &reason, now);
                book.edit(&job, now, |record| record.detail.clone_from(&reason));
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
        book: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        let Some(held) = book.get(job) else { return };
        let request = &held.record.request;
        let names: Vec<String> = members.iter().map(|member| member.worker.name.clone()).collect();
        let detail = format!("epoch {epoch} on {}: {reason}", names.join(", "));
        let spec = PlacementSpec {
            job: job.to_owned(),
            epoch,
            rank: (u32::from(held.record.class), held.change),
            instance,
            preemptible: request.preemption != skylarkpulley_admin::Preemption::Never,
            memory_mib: request.memory_mib,
        };
        self.record(Event::JobPlaced, job, &detail, now);
        book.edit(job, now, |record| {
            record.state = JobState::Starting;
            record.detail = detail;
            record.epoch = record.epoch.max(epoch);
            record.members = names;
        });
        for member in &members {
            let control = controls.get(&member.worker).cloned().unwrap_or_default();
            self.spawn_hold(control, spec.clone(), member.clone());
        }
        let current = Try { committed: false, held: BTreeSet::new(), members, spec };
        self.tries.insert(job.to_owned(), current);
    }

    /// Asks one member until it holds, refuses, or does not answer. A pending hold is given up when
    /// the placer releases the try, since the agent then refuses its epoch.
    fn spawn_hold(&self, control: String, spec: PlacementSpec, member: GangMember) {
        let hub = Arc::clone(&self.hub);
        let commands = self.commands.clone();
        let pool = self.name.clone();
        tokio::spawn(async move {
            loop {
                let result = hold_member(&hub, &control, &spec, &member).await;
                let pending = result == HoldResult::Pending;
                let held = Command::HoldAnswered {
                    pool: pool.clone(),
                    job: spec.job.clone(),
                    epoch: spec.epoch,
                    worker: member.worker.clone(),
                    result,
                };
                if commands.send(held).is_err() || !pending {
                    return;
                }
                pending_delay().await;
            }
        });
    }

    /// Commits every try whose members all hold.
    fn commit_held(
        &mut self,
        book: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for current in self.tries.values_mut() {
            if current.committed || current.held.len() < current.members.len() {
                continue;
            }
            current.committed = true;
            let Some(held) = book.get(&current.spec.job) else { continue };
            let task = task_json(&held.record);
            let members: Vec<(AgentId, String)> = current
                .members
                .iter()
                .map(|member| {
                    let control = controls.get(&member.worker).cloned().unwrap_or_default();
                    (member.worker.clone(), control)
                })
                .collect();
            let spec = current.spec.clone();
            let hub = Arc::clone(&self.hub);
            hub.decisions.record(now, Event::JobPlaced, &spec.job, "all members hold");
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
            // The lead ends the whole gang; the others are asked when it does not answer.
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

    fn reserve(
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
            // The placer compares reports with its plan and repeats what was lost.
            change_reservations(&hub, &control, &worker, epoch, reserve, unreserve).await;
        });
    }

    fn fail(
        &mut self,
        job: &str,
        event: Event,
        detail: &str,
        book: &mut JobRegistry,
        now: Instant,
    ) {
        self.record(event, job, detail, now);
        self.tries.remove(job);
        book.edit(job, now, |record| {
            record.state = JobState::Failed;
            record.detail = detail.to_owned();
        });
    }

    fn fence(&mut self, controls: &BTreeMap<AgentId, String>, now: Instant) {
        for (job, epoch, later, members) in std::mem::take(&mut self.fences) {
            let reason = format!("epoch {epoch} is stopped, epoch {later} runs as well");
            self.record(Event::CommandFenced, &job, &reason, now);
            self.stop(&job, epoch, &members, None, &reason, controls);
        }
    }

    /// Takes reported ends and checkpoints over into the records.
    fn note_ends(&mut self, book: &mut JobRegistry, now: Instant) {
        for (id, progress) in std::mem::take(&mut self.progress) {
            book.edit(&id, now, |record| record.progress_ms = record.progress_ms.max(progress));
        }
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < ENDED_RETENTION;
        for (id, at) in std::mem::take(&mut self.finished) {
            match book.get(&id) {
                Some(held) if held.record.is_ended() => {}
                Some(_) => {
                    self.record(Event::JobEnded, &id, "done", now);
                    self.tries.remove(&id);
                    book.edit(&id, now, |record| {
                        record.state = JobState::Done;
                        record.detail = "done".to_owned();
                    });
                }
                // The record may still be on its way from another entry or the store.
                None if fresh(&at) => drop(self.finished.insert(id, at)),
                None => {}
            }
        }
    }

    /// Brings the records of jobs that may have changed in line with what the placer knows.
    fn note_states(&mut self, book: &mut JobRegistry, now: Instant) {
        let mut ids = std::mem::take(&mut self.touched);
        if now.saturating_duration_since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            ids.extend(self.live.iter().cloned());
            self.ended.retain(|_, at| now.saturating_duration_since(*at) < ENDED_RETENTION);
        }
        for id in ids {
            let Some(held) = book.get(&id) else { continue };
            if held.record.is_ended() {
                self.cancel_ended(&id, now);
            } else if self.submitted.contains(&id) {
                let before = held.record.state;
                self.note_state(&id, before, book, now);
            }
        }
    }

    fn note_state(&mut self, id: &str, before: JobState, book: &mut JobRegistry, now: Instant) {
        let Some(known) = self.placer.explain(id) else {
            // The placer has forgotten a job that has not ended; it is handed over again.
            self.submitted.remove(id);
            self.deferred.insert(id.to_owned());
            return;
        };
        let state = match known.state {
            "running" => JobState::Running,
            "stopping" => JobState::Stopping,
            "holding" | "committing" => JobState::Starting,
            _ => JobState::Queued,
        };
        if state == JobState::Queued {
            self.live.remove(id);
        } else {
            self.live.insert(id.to_owned());
        }
        if state == before {
            return;
        }
        let event = match state {
            JobState::Running => Some(Event::JobStarted),
            JobState::Queued if before != JobState::Starting => Some(Event::JobRequeued),
            _ => None,
        };
        if let Some(event) = event {
            self.record(event, id, &state.to_string(), now);
        }
        if state != JobState::Starting {
            self.tries.remove(id);
        }
        book.edit(id, now, |record| {
            record.state = state;
            record.detail = state.to_string();
            record.epoch = record.epoch.max(known.epoch);
            record.members = known.members.iter().map(|(agent, _)| agent.name.clone()).collect();
        });
    }

    fn record(&self, event: Event, id: &str, detail: &str, now: Instant) {
        self.hub.decisions.record(now, event, id, detail);
    }
}

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
