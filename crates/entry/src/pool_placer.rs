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
    TrySpec, change_reservations, commit_gang, hold_member, pending_delay, stop_gang,
};
use crate::hub::Hub;
use crate::job_book::JobBook;
use crate::job_record::JobRecord;
use crate::jobs::Command;
use crate::placement_task::to_report;

/// One try to start a gang.
struct Try {
    committed: bool,
    held: BTreeSet<AgentId>,
    members: Vec<GangMember>,
    spec: TrySpec,
}

/// The placer of one pool with the calls to agents that follow from its decisions.
pub(crate) struct PoolPlacer {
    commands: mpsc::UnboundedSender<Command>,
    ended: HashSet<(String, u64)>,
    hub: Arc<Hub>,
    name: String,
    placer: Placer,
    pool: Pool,
    since: Instant,
    started: HashSet<(String, u64)>,
    submitted: HashSet<String>,
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
            ended: HashSet::new(),
            hub,
            name: pool.name.clone(),
            placer: Placer::new(pool, now).with_seed(seed),
            pool: pool.clone(),
            since: now,
            started: HashSet::new(),
            submitted: HashSet::new(),
            tries: HashMap::new(),
        }
    }

    /// Returns when this entry took the pool over.
    pub fn since(&self) -> Instant {
        self.since
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

    /// Hands a job to the placer once.
    pub fn submit(&mut self, record: &JobRecord, age: Duration, now: Instant) {
        if self.submitted.insert(record.id.clone()) {
            self.placer.handle(PlacementEvent::Submit(record.to_spec(age)), now);
        }
    }

    pub fn cancel(&mut self, id: &str, now: Instant) {
        self.placer.handle(PlacementEvent::Cancel { job: id.to_owned() }, now);
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
        let event =
            PlacementEvent::Hold { job: job.to_owned(), epoch, worker: worker.clone(), result };
        self.placer.handle(event, now);
    }

    /// Takes in a worker's report: its state, starts and ends of gangs.
    pub fn report(&mut self, agent: &AgentId, state: &v1::WorkerState, now: Instant) {
        let event = PlacementEvent::WorkerReport { agent: agent.clone(), report: to_report(state) };
        self.placer.handle(event, now);
        for grant in state.grants.iter().filter(|grant| grant.running) {
            let key = (grant.gang.clone(), grant.epoch);
            if self.started.insert(key) {
                let event =
                    PlacementEvent::GangStarted { job: grant.gang.clone(), epoch: grant.epoch };
                self.placer.handle(event, now);
            }
        }
        for ended in &state.ended {
            self.end(agent, ended, now);
        }
    }

    fn end(&mut self, agent: &AgentId, ended: &v1::GangEnd, now: Instant) {
        use v1::gang_end::End;
        if !self.ended.insert((ended.gang.clone(), ended.epoch)) {
            return;
        }
        if ended.progress_ms > 0 {
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
        book: &mut JobBook,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for action in self.placer.decide(now) {
            self.perform(action, book, controls, now);
        }
        self.commit_held(book, controls, now);
        self.note_states(book, now);
    }

    fn perform(
        &mut self,
        action: Action,
        book: &mut JobBook,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        match action {
            Action::Place { job, epoch, members, instance, reason } => {
                self.place(&job, epoch, members, instance, &reason, book, controls, now);
            }
            Action::Release { job, epoch, members, reason } => {
                self.tries.remove(&job);
                self.record(Event::JobWaiting, &job, &reason, now);
                self.stop(&job, epoch, &members, None, &reason, controls);
            }
            Action::Preempt { job, epoch, members, mode, reason } => {
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
        book: &mut JobBook,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        let Some(held) = book.get(job) else { return };
        let request = &held.record.request;
        let names: Vec<String> = members.iter().map(|member| member.worker.name.clone()).collect();
        let detail = format!("epoch {epoch} on {}: {reason}", names.join(", "));
        let spec = TrySpec {
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
    fn spawn_hold(&self, control: String, spec: TrySpec, member: GangMember) {
        let hub = Arc::clone(&self.hub);
        let commands = self.commands.clone();
        let pool = self.name.clone();
        tokio::spawn(async move {
            loop {
                let result = hold_member(&hub, &control, &spec, &member).await;
                let pending = result == HoldResult::Pending;
                let held = Command::Held {
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
        book: &mut JobBook,
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

    fn fail(&mut self, job: &str, event: Event, detail: &str, book: &mut JobBook, now: Instant) {
        self.record(event, job, detail, now);
        self.tries.remove(job);
        book.edit(job, now, |record| {
            record.state = JobState::Failed;
            record.detail = detail.to_owned();
        });
    }

    /// Brings the job records in line with what the placer knows.
    fn note_states(&mut self, book: &mut JobBook, now: Instant) {
        let status = self.placer.status();
        let known: BTreeMap<&str, _> =
            status.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
        let held: Vec<(String, JobState)> = book
            .iter()
            .filter(|held| held.record.pool == self.name && !held.record.is_ended())
            .filter(|held| self.submitted.contains(&held.record.id))
            .map(|held| (held.record.id.clone(), held.record.state))
            .collect();
        for (id, before) in held {
            let state = match known.get(id.as_str()).map(|job| job.state) {
                Some("running") => JobState::Running,
                Some("stopping") => JobState::Stopping,
                Some("holding" | "committing") => JobState::Starting,
                Some(_) => JobState::Queued,
                // The placer forgets a job only when it has finished or was given up.
                None => JobState::Done,
            };
            if state == before {
                continue;
            }
            let members = known.get(id.as_str()).map(|job| {
                job.members.iter().map(|(agent, _)| agent.name.clone()).collect::<Vec<_>>()
            });
            let event = match state {
                JobState::Running => Some(Event::JobStarted),
                JobState::Done => Some(Event::JobEnded),
                JobState::Queued if before != JobState::Starting => Some(Event::JobRequeued),
                _ => None,
            };
            if let Some(event) = event {
                self.record(event, &id, &state.to_string(), now);
            }
            if state != JobState::Starting {
                self.tries.remove(&id);
            }
            book.edit(&id, now, |record| {
                record.state = state;
                record.detail = state.to_string();
                if let Some(members) = members {
                    record.members = members;
                }
            });
        }
    }

    fn record(&self, event: Event, id: &str, detail: &str, now: Instant) {
        self.hub.decisions.record(now, event, id, detail);
    }
}

fn task_json(record: &JobRecord) -> Vec<u8> {
    let left = record.request.run_time_ms.saturating_sub(record.progress_ms);
    let task = serde_json::json!({
        "accelerators": record.request.shape.accelerators,
        "kind": record.request.kind,
        "memory_mib": record.request.memory_mib,
        "run_ms": left,
        "team": record.request.team,
    });
    task.to_string().into_bytes()
}
