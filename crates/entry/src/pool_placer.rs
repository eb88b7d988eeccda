use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_admin::JobState;
use skylarkpulley_placement::{Action, Event as PlacementEvent, Placer, Status};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::Pool;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::AgentId;
use tokio::sync::mpsc;

use crate::hub::Hub;
use crate::job_command::JobCommand;
use crate::job_registry::JobRegistry;

mod gangs;
mod records;
mod reports;

/// Runs the placer of one pool and carries out its decisions through calls to agents.
pub(crate) struct PoolPlacer {
    commands: mpsc::UnboundedSender<JobCommand>,
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
    placements: HashMap<String, gangs::GangPlacement>,
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
        commands: mpsc::UnboundedSender<JobCommand>,
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

    fn record(&self, event: Event, id: &str, detail: &str, now: Instant) {
        self.hub.decisions.record(now, event, id, detail);
    }
}
