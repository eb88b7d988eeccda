use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::{JobState, SubmitRequest};
use skylarkpulley_placement::{Action, Event as PlacementEvent, Placer};
use skylarkpulley_proto::v1;
use skylarkpulley_store::Store;
use skylarkpulley_tables::{Pool, PoolKind, Tables};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::{AgentId, rank_nodes};
use tokio::sync::{Notify, mpsc, watch};

use crate::hub::{Hub, MemberEvent};
use crate::job_command::{JobCommand, SubmitAnswer};
use crate::job_record::JobRecord;
use crate::job_registry::{JobRegistry, TrackedJob};
use crate::pool_placer::PoolPlacer;
use crate::recorded_changes::RecordedChanges;

mod members;
mod rows;

/// Longest interval between two decisions of the placers.
const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// A worker whose agent has a session.
#[derive(Clone, Debug)]
pub(crate) struct WorkerInfo {
    pub hello: Arc<v1::Hello>,
    pub session: u64,
    pub state: Option<v1::WorkerState>,
}

/// Owns the job registry and the placers of the pools for which this entry is the preferred one.
pub(crate) struct PlacementTask {
    changed: Arc<Notify>,
    commands: mpsc::UnboundedSender<JobCommand>,
    /// Control addresses of the workers' agents.
    controls: BTreeMap<AgentId, String>,
    /// Names of the workers that operators drain.
    drained: BTreeSet<String>,
    /// Names of the live entries at the last update of the pools.
    entries: BTreeSet<String>,
    hub: Arc<Hub>,
    /// Whether the job rows are being read from the store.
    loading: bool,
    pools: BTreeMap<String, PoolPlacer>,
    recorded: watch::Sender<RecordedChanges>,
    registry: JobRegistry,
    /// Ids of the jobs whose rows are being written.
    saving: BTreeSet<String>,
    seed: u64,
    store: Arc<dyn Store>,
    workers: BTreeMap<AgentId, WorkerInfo>,
}

impl PlacementTask {
    pub fn new(
        hub: Arc<Hub>,
        store: Arc<dyn Store>,
        commands: mpsc::UnboundedSender<JobCommand>,
        recorded: watch::Sender<RecordedChanges>,
        changed: Arc<Notify>,
        seed: u64,
    ) -> Self {
        Self {
            changed,
            commands,
            controls: BTreeMap::new(),
            drained: BTreeSet::new(),
            entries: BTreeSet::new(),
            hub,
            loading: false,
            pools: BTreeMap::new(),
            recorded,
            registry: JobRegistry::new(),
            saving: BTreeSet::new(),
            seed,
            store,
            workers: BTreeMap::new(),
        }
    }

    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<JobCommand>,
        mut members: mpsc::UnboundedReceiver<MemberEvent>,
    ) {
        let mut tick = tokio::time::interval(MAX_DECISION_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.load();
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(event) = members.recv() => self.handle_events(event, &mut members),
                _ = tick.tick() => self.update_pools(),
            }
            let changes = self.registry.changes();
            self.decide();
            if self.registry.changes() != changes {
                self.changed.notify_one();
            }
        }
    }

    fn handle(&mut self, command: JobCommand) {
        let now = self.hub.clock.now();
        match command {
            JobCommand::Cancel(id, reply) => {
                self.cancel(&id, now);
                let _ = reply.send(self.view(&id, now));
            }
            JobCommand::Copies(change, reply) => {
                let _ = reply.send(self.registry.copies_after(change, now));
            }
            JobCommand::Drain(worker, reply) => drop(reply.send(self.drain(&worker, now))),
            JobCommand::Get(id, reply) => drop(reply.send(self.view(&id, now))),
            JobCommand::List(reply) => {
                let open =
                    self.registry.changed_after(0).filter(|tracked| !tracked.record.is_ended());
                let to_view = |tracked: &TrackedJob| {
                    tracked.record.to_view(now.saturating_duration_since(tracked.received))
                };
                let _ = reply.send(open.map(to_view).collect());
            }
            JobCommand::HoldAnswered { pool, job, epoch, worker, result } => {
                if let Some(placer) = self.pools.get_mut(&pool) {
                    placer.handle_hold_result(&job, epoch, &worker, result, now);
                }
            }
            JobCommand::Loaded => self.loading = false,
            JobCommand::Merge(copies) => {
                for record in copies.iter().filter_map(JobRecord::from_copy) {
                    self.registry.merge(record, now);
                }
            }
            JobCommand::Rows(rows) => {
                for (copy, version) in &rows {
                    if let Some(record) = JobRecord::from_copy(copy) {
                        self.registry.merge_row(record, *version, now);
                    }
                }
            }
            JobCommand::Saved { id, revision, version } => self.saved(&id, revision, version),
            JobCommand::Status(reply) => {
                let status =
                    |(name, placer): (&String, &PoolPlacer)| (name.clone(), placer.status());
                let _ = reply.send(self.pools.iter().map(status).collect());
            }
            JobCommand::Submit { id, request, reply } => {
                let _ = reply.send(self.submit(&id, request, now));
            }
        }
    }

    fn view(&self, id: &str, now: Instant) -> Option<skylarkpulley_admin::JobView> {
        let tracked = self.registry.get(id)?;
        Some(tracked.record.to_view(now.saturating_duration_since(tracked.received)))
    }

    fn submit(&mut self, id: &str, request: SubmitRequest, now: Instant) -> SubmitAnswer {
        if let Some(tracked) = self.registry.get(id) {
            if tracked.record.is_repeated_by(&request) {
                return SubmitAnswer::Repeated;
            }
            let detail = format!("submitted by team {} on route {}", request.team, request.route);
            self.hub.decisions.record(now, Event::RequestDenied, id, &detail);
            return SubmitAnswer::Invalid("the key is in use by another job".to_owned());
        }
        let Some(tables) = self.hub.config.borrow().tables() else {
            return SubmitAnswer::Invalid(
                "the entry has not received a configuration yet".to_owned(),
            );
        };
        let (record, pool) = match check_job(id, request, &tables) {
            Ok(checked) => checked,
            Err(reason) => return SubmitAnswer::Invalid(reason),
        };
        if let Some((reason, needed)) = permanent_refusal(&record, pool, now) {
            let detail = format!("{reason}; {needed}");
            self.hub.decisions.record(now, Event::JobRefused, id, &detail);
            return SubmitAnswer::Refused { reason, needed };
        }
        let detail = format!("team {} shape {}", record.request.team, record.request.shape);
        self.hub.decisions.record(now, Event::JobSubmitted, id, &detail);
        self.registry.submit(record, now);
        SubmitAnswer::Queued { change: self.registry.changes() }
    }

    fn cancel(&mut self, id: &str, now: Instant) {
        let Some(tracked) = self.registry.get(id) else { return };
        if tracked.record.is_ended() {
            return;
        }
        // The placer of the pool, at this or another entry, stops the gang of a job whose record
        // has ended.
        self.registry.edit(id, now, |record| {
            record.state = JobState::Cancelled;
            record.detail = "cancelled by the submitter".to_owned();
        });
        self.hub.decisions.record(now, Event::JobEnded, id, "cancelled by the submitter");
    }

    /// Drains a worker and returns the number of its grants, or `None` if no worker has this name.
    fn drain(&mut self, worker: &str, now: Instant) -> Option<u32> {
        let (_, info) = self.workers.iter().find(|(agent, _)| agent.name == worker)?;
        let grants = info.state.as_ref().map_or(0, |state| state.grants.len());
        self.drained.insert(worker.to_owned());
        for placer in self.pools.values_mut() {
            let event = PlacementEvent::Drain { worker: worker.to_owned(), draining: true };
            placer.handle(event, now);
        }
        u32::try_from(grants).ok()
    }

    /// Starts placers for pools for which this entry has become the preferred one, and drops those
    /// of other pools. Also writes unsaved jobs and deletes expired ones.
    fn update_pools(&mut self) {
        let now = self.hub.clock.now();
        let tables = self.hub.config.borrow().tables();
        let Some(tables) = tables else { return };
        let entries = self.hub.entries.borrow().clone();
        let live: BTreeSet<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        if !self.entries.is_subset(&live) {
            // An entry that is no longer live may have stored jobs without copying them to this
            // one.
            self.load();
        }
        self.entries = live;
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let is_own = |pool: &&Pool| {
            pool.kind == PoolKind::Worker
                && rank_nodes(&pool.name, &names).first() == Some(&self.hub.name.as_str())
        };
        let own_pools: BTreeMap<&str, &Pool> =
            tables.pools.iter().filter(is_own).map(|pool| (pool.name.as_str(), pool)).collect();
        self.pools.retain(|name, _| own_pools.contains_key(name.as_str()));
        for (name, pool) in own_pools {
            match self.pools.get_mut(name) {
                Some(placer) => placer.apply_pool(pool),
                None => self.start_placer(pool, now),
            }
        }
        self.save();
        self.delete_expired(now);
    }

    fn start_placer(&mut self, pool: &Pool, now: Instant) {
        let mut placer =
            PoolPlacer::new(pool, Arc::clone(&self.hub), self.commands.clone(), self.seed, now);
        for (agent, info) in &self.workers {
            if info.hello.pool == pool.name
                && let Some(state) = &info.state
            {
                placer.handle(worker_joined_event(agent, &info.hello, state), now);
                placer.handle_report(agent, state, now);
            }
        }
        for worker in &self.drained {
            placer.handle(PlacementEvent::Drain { worker: worker.clone(), draining: true }, now);
        }
        self.pools.insert(pool.name.clone(), placer);
    }

    fn decide(&mut self) {
        let now = self.hub.clock.now();
        for placer in self.pools.values_mut() {
            placer.apply_job_changes(&mut self.registry, now);
            placer.decide(&mut self.registry, &self.controls, now);
        }
    }
}

fn worker_joined_event(
    agent: &AgentId,
    hello: &v1::Hello,
    state: &v1::WorkerState,
) -> PlacementEvent {
    PlacementEvent::WorkerJoined {
        agent: agent.clone(),
        domain: hello.domain.clone(),
        rack: hello.rack.clone(),
        accelerators: state.accelerators,
    }
}

/// Checks the route, pool and team of a submission and returns the record of its job with the pool.
fn check_job<'a>(
    id: &str,
    request: SubmitRequest,
    tables: &'a Tables,
) -> Result<(JobRecord, &'a Pool), String> {
    let route = tables
        .routes
        .iter()
        .find(|route| route.name == request.route)
        .ok_or_else(|| format!("the route \"{}\" does not exist", request.route))?;
    let pool = tables
        .pool(&route.pool)
        .ok_or_else(|| format!("the pool \"{}\" does not exist", route.pool))?;
    if pool.kind != PoolKind::Worker {
        return Err(format!("the pool \"{}\" is not a worker pool", pool.name));
    }
    if pool.team(&request.team).is_none() {
        let team = &request.team;
        return Err(format!("the team \"{team}\" does not use the pool \"{}\"", pool.name));
    }
    Ok((JobRecord::new(id, &pool.name, route.priority, request), pool))
}

/// Returns why the job can never run on the pool and which change would make it fit, or `None` if
/// it can run.
fn permanent_refusal(record: &JobRecord, pool: &Pool, now: Instant) -> Option<(String, String)> {
    let mut placer = Placer::new(pool, now);
    placer.handle(PlacementEvent::Submit(record.to_spec(Duration::ZERO)), now);
    placer.decide(now).into_iter().find_map(|action| match action {
        Action::Refuse { reason, remedy, .. } => Some((reason, remedy)),
        _ => None,
    })
}
