mod absences;
mod admitting;
mod audit;
#[cfg(test)]
mod audit_tests;
mod commits;
mod crashes;
mod earliest_fit;
mod entry;
mod evacuation;
mod gang_time;
mod hold;
mod pace;
mod permits;
mod planning;
mod pool_state;
mod pool_view;
mod preemption;
mod racks;
mod reports;
mod restarts;
mod run_observations;
mod run_time;
mod sharing;
mod summary;
mod uncounted;
mod unit_rules;
mod units;
mod wait_reason;
mod waiting;
mod watch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::{
    Advice, AdviceAnswer, AdviceCall, EndKind, Fleet, FleetWorker, Job, JobAccess, JobState,
    JobTables, KnownWorkers, Orders, RouteKey, RowsError, RunTimes, Shares, SharingRun, StartOrder,
    TaskId, TaskKey, decode_progress, progress_key,
};
use crashes::UnexplainedCrash;
use entry::{JobEntry, Placement};
use hold::Hold;
use run_observations::step_kind;
pub use sharing::ShareCounts;
pub use summary::{DomainSummary, QueueSummary, Summary, WorkerSummary};
pub use waiting::WaitCounts;
use waiting::WaitLog;

/// Version of a job in the write that stores its submission.
const ACCEPTED_VERSION: u64 = 1;

/// Total size in bytes of the texts of the starts in the orders for one worker. A message to an
/// agent is limited to 4 MiB; further starts follow when the worker has listed these.
const MAX_START_BYTES: usize = 1 << 20;

/// Time of an event, as monotonic time and as time of day.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Time of day, milliseconds since 1970. Used only for times that callers give or read.
    pub wall_ms: u64,
}

/// Limits of the coordinator, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Run time between two checkpoints of a task that records them.
    pub checkpoint: Duration,
    /// Time after an operator's request from which no task may start in an evacuated failure domain;
    /// `None` if starts are ordered whatever the age of the tables is.
    pub evacuation: Option<Duration>,
    /// Time after the last report of a silent worker until its leases have lapsed, clock drift
    /// included.
    pub lapse: Duration,
    /// Whether decisions use the model of run times and of the speeds of workers. Otherwise run times
    /// are corrected by route.
    pub learn_run_times: bool,
    /// Maximum number of open jobs of one pool; further ones are refused.
    pub open_jobs: usize,
    /// Time within which a guaranteed job must start.
    pub reclaim: Duration,
    /// Whether urgent runs that slow workers would make late start again elsewhere. Needs
    /// `learn_run_times`.
    pub restart_late: bool,
    /// Time for which an ended job is kept.
    pub retention: Duration,
    /// Maximum size of a stored row in bytes.
    pub row_bytes: usize,
    /// Longest time that a worker takes to stop a run.
    pub stop: Duration,
    /// Time after a takeover during which earlier leaders may still renew leases.
    pub takeover: Duration,
}

impl Default for Limits {
    /// Returns limits for workers that accept leases of 8 s and stop a run within 0.9 s, and for a
    /// store with rows of 64 KiB.
    fn default() -> Self {
        Self {
            checkpoint: Duration::from_secs(1),
            evacuation: None,
            lapse: Duration::from_secs(9),
            learn_run_times: true,
            open_jobs: 100,
            reclaim: Duration::from_secs(3),
            restart_late: true,
            retention: Duration::from_secs(120),
            row_bytes: 65_536,
            stop: Duration::from_millis(900),
            takeover: Duration::from_secs(12),
        }
    }
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submission {
    /// The job counts as accepted once [`Coordinator::is_durable`] holds for this version.
    Accepted {
        /// Version of the job that must be durable.
        version: u64,
    },
    /// The job was not accepted and never runs.
    Refused {
        /// Limit that was reached.
        reason: String,
        /// Time after which a further try is expected to succeed.
        retry: Duration,
    },
}

/// State of a job that callers may see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct View {
    /// Durable state.
    pub state: JobState,
}

/// State of all jobs and workers of a deployment, and the decisions on them.
#[derive(Debug)]
pub struct Coordinator {
    advice: Advice,
    audit_log: audit::AuditLog,
    changed_jobs: BTreeSet<String>,
    changed_workers: BTreeSet<String>,
    decisions: Vec<Decision>,
    /// Workers that have left, by id, while their agents have sessions.
    departures: BTreeMap<String, Departure>,
    fleet: Fleet,
    /// Number of stored rows beyond the first, of each job whose state takes more than one row.
    further_rows: BTreeMap<String, usize>,
    /// Resources that the last round of planning has reserved.
    holds: Vec<Hold>,
    jobs: BTreeMap<String, JobEntry>,
    /// Workers that admission takes for present.
    known_workers: KnownWorkers,
    /// When a worker of each pool last crashed or was found down.
    last_crashes: BTreeMap<String, Instant>,
    limits: Limits,
    open_write: Option<Vec<commits::WrittenJob>>,
    plan_due: bool,
    /// Time from which no earlier leader extends leases.
    predecessor_end: Instant,
    /// When workers of each pool crashed, for as long as [`crashes::CRASHES_KEPT`].
    pool_crashes: BTreeMap<String, VecDeque<Instant>>,
    /// Urgent runs, by the first member of each gang, that have made progress since the last tick.
    progressed: BTreeSet<TaskId>,
    /// Jobs whose rows the store rejects, and when they are written again.
    rejected_jobs: BTreeMap<String, Instant>,
    /// Refused submissions since the last call of [`Coordinator::take_refusals`], by team and route.
    refusals: BTreeMap<(String, String), u64>,
    run_times: RunTimes,
    /// When a pool was last searched for faster workers for a late run.
    searched_at: Option<Instant>,
    /// Shares of the teams in each pool with waiting work, after the last round of planning.
    shares: BTreeMap<String, Shares>,
    started_at: Instant,
    /// Whether no starts are ordered, because the tables may be outdated.
    starts_held: bool,
    /// Tasks that may have crashed a worker and whose job has not ended.
    suspects: BTreeSet<TaskId>,
    tables: JobTables,
    /// Time at which the tables were the newest ones of their source.
    tables_confirmed: Option<Instant>,
    /// Time of the last tick.
    ticked_at: Instant,
    unexplained_crashes: VecDeque<UnexplainedCrash>,
    wait_log: WaitLog,
    waiting_jobs: BTreeSet<String>,
    /// Maximum number of jobs in the next write.
    write_limit: usize,
}

/// A worker that has left.
#[derive(Clone, Debug)]
struct Departure {
    incarnation: u64,
    /// Versions of the jobs of its last runs, by id, that must be durable before its agent may stop
    /// reporting that it has left.
    versions: BTreeMap<String, u64>,
}

/// A decision for the log, with its subject and its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Inputs and outcome of the decision.
    pub detail: String,
    /// Id of the job, task or worker.
    pub id: String,
    /// Kind of the decision.
    pub kind: DecisionKind,
}

/// Kinds of decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionKind {
    /// A job was accepted.
    Accepted,
    /// A job was refused.
    Refused,
    /// Tasks were placed.
    Placed,
    /// A run ended.
    RunEnded,
    /// A run was stopped.
    Stopped,
    /// A job ended.
    Ended,
    /// A worker is in quarantine.
    Quarantined,
    /// A worker crashed under a task that may have caused it.
    CrashRecorded,
    /// A job ended as failed because workers crash under one of its tasks.
    GivenUp,
    /// The runs of a worker are lost.
    Lost,
    /// The agent of a worker is silent.
    Silent,
    /// The store rejects the rows of a job.
    Unstored,
    /// Tasks that could start have waited for long.
    Waiting,
    /// A failure domain is evacuated.
    DomainEvacuated,
    /// A failure domain is no longer evacuated.
    DomainReturned,
}

impl Coordinator {
    /// Returns a coordinator without jobs.
    pub fn new(limits: Limits, tables: JobTables, now: Timestamp) -> Self {
        let mut coordinator = Self {
            advice: Advice::new(),
            audit_log: audit::AuditLog::default(),
            changed_jobs: BTreeSet::new(),
            changed_workers: BTreeSet::new(),
            decisions: Vec::new(),
            departures: BTreeMap::new(),
            fleet: Fleet::new(),
            further_rows: BTreeMap::new(),
            holds: Vec::new(),
            jobs: BTreeMap::new(),
            known_workers: KnownWorkers::new(),
            last_crashes: BTreeMap::new(),
            limits,
            open_write: None,
            plan_due: true,
            predecessor_end: now.monotonic + limits.takeover,
            pool_crashes: BTreeMap::new(),
            progressed: BTreeSet::new(),
            refusals: BTreeMap::new(),
            rejected_jobs: BTreeMap::new(),
            run_times: RunTimes::new(limits.learn_run_times),
            searched_at: None,
            shares: BTreeMap::new(),
            started_at: now.monotonic,
            starts_held: limits.evacuation.is_some(),
            suspects: BTreeSet::new(),
            tables,
            tables_confirmed: None,
            ticked_at: now.monotonic,
            unexplained_crashes: VecDeque::new(),
            wait_log: WaitLog::new(),
            waiting_jobs: BTreeSet::new(),
            write_limit: commits::MAX_JOBS_PER_WRITE,
        };
        coordinator.apply_evacuations(&BTreeSet::new());
        coordinator
    }

    /// Restores one job from its rows after a takeover. `progress` holds the rows of the state of
    /// all jobs.
    ///
    /// # Errors
    /// [`RowsError`] when a row cannot be read; the job is then left out.
    pub fn restore(
        &mut self,
        key: &str,
        job: &[u8],
        progress: &BTreeMap<String, Vec<u8>>,
        now: Timestamp,
    ) -> Result<(), RowsError> {
        let error =
            |error: serde_json::Error| RowsError { key: key.to_owned(), detail: error.to_string() };
        let mut job: Job = serde_json::from_slice(job).map_err(error)?;
        limit_acceptance(&mut job, now);
        self.tables.adopt_pool(&mut job);
        let further =
            (1..).take_while(|number| progress.contains_key(&progress_key(key, *number))).count();
        if further > 0 {
            self.further_rows.insert(key.to_owned(), further);
        }
        let progress = decode_progress(key, progress)?;
        let entry = JobEntry::restore(job, &progress, now.monotonic);
        for (task, placement) in entry.placements() {
            let worker_entry = self.fleet.workers.entry(placement.worker.clone());
            // Only one incarnation of an id is tracked; if any is alive, it is the highest one.
            let worker = worker_entry.or_insert_with(|| {
                FleetWorker::new(&placement.worker, placement.incarnation, now.monotonic)
            });
            if placement.incarnation >= worker.status.incarnation {
                worker.status.incarnation = placement.incarnation;
                worker.status.address.clone_from(&placement.address);
            }
            let resources = entry.resources(task.key.step);
            let (id, run) = (placement.worker.clone(), placement.run);
            self.fleet.occupy(&id, &task, run, &resources);
        }
        if !entry.is_ended() {
            self.waiting_jobs.insert(key.to_owned());
            self.suspects.extend(entry.suspects());
        }
        self.jobs.insert(key.to_owned(), entry);
        Ok(())
    }

    /// Applies a version of the tables and of the evacuated failure domains. A version that is not
    /// higher than the current one is ignored.
    pub fn set_tables(&mut self, tables: &JobTables) {
        let evacuated_before = self.tables.evacuated.domains.clone();
        let change = self.tables.adopt_newer(tables);
        if change.evacuated {
            self.apply_evacuations(&evacuated_before);
        }
        if change.tables {
            for entry in self.jobs.values_mut() {
                self.tables.adopt_pool(&mut entry.job);
            }
            self.plan_due = true;
        }
    }

    /// Reports whether an earlier leader may still extend leases.
    pub fn has_predecessor(&self, now: Timestamp) -> bool {
        now.monotonic < self.predecessor_end
    }

    /// Records that no earlier leader extends leases any more.
    pub fn end_predecessor(&mut self, now: Timestamp) {
        self.predecessor_end = self.predecessor_end.min(now.monotonic);
    }

    /// Accepts or refuses a submission.
    pub fn submit(&mut self, now: Timestamp, mut job: Job) -> Submission {
        limit_acceptance(&mut job, now);
        if self.jobs.contains_key(&job.id) {
            return Submission::Accepted { version: ACCEPTED_VERSION };
        }
        let entry = JobEntry::new(job, now.monotonic);
        if let Some((cause, retry)) = self.refusal(now, &entry) {
            let reason = cause.to_string();
            let job = &entry.job;
            let detail = format!(
                "{reason}; retry after {} ms; route {}, team {}, class {}",
                retry.as_millis(),
                job.route,
                job.team,
                job.class
            );
            self.record_decision(&job.id, DecisionKind::Refused, detail);
            *self.refusals.entry((job.team.clone(), job.route.clone())).or_default() += 1;
            return Submission::Refused { reason, retry };
        }
        let job = &entry.job;
        let id = job.id.clone();
        let detail = format!(
            "route {}, team {}, class {}, {} steps, {} accelerators at once, critical path {} ms, objective {} ms",
            job.route,
            job.team,
            job.class,
            job.steps.len(),
            job.accelerators(),
            job.critical_path_ms(),
            job.objective_ms(self.expected_critical_path(job))
        );
        self.record_decision(&id, DecisionKind::Accepted, detail);
        self.jobs.insert(id.clone(), entry);
        self.waiting_jobs.insert(id.clone());
        let version = self.mark_changed(&id);
        self.plan_due = true;
        Submission::Accepted { version }
    }

    /// Moves acceptances that lie in the future to the present: the clock of this entry was set back.
    fn limit_acceptances(&mut self, now: Timestamp) {
        for entry in self.jobs.values_mut() {
            limit_acceptance(&mut entry.job, now);
        }
    }

    /// Withdraws a submission that was never part of a write; returns `false` when it was.
    pub fn withdraw(&mut self, id: &str) -> bool {
        if self.jobs.get(id).is_none_or(|entry| entry.submission_written) {
            return false;
        }
        self.remove_job(id, "withdrawn before it was stored");
        true
    }

    /// Removes a job that is not stored, and releases its placements.
    fn remove_job(&mut self, id: &str, reason: &str) {
        let Some(entry) = self.jobs.remove(id) else { return };
        for (task, placement) in entry.placements() {
            let resources = entry.resources(task.key.step);
            self.fleet.release(&placement.worker, &task, placement.run, &resources);
            self.changed_workers.insert(placement.worker.clone());
        }
        self.changed_jobs.remove(id);
        self.waiting_jobs.remove(id);
        self.plan_due = true;
        self.record_decision(id, DecisionKind::Refused, reason.to_owned());
    }

    /// Cancels a job; returns the version that must be durable before the caller is told, or `None`
    /// when there is no such job.
    pub fn cancel(&mut self, now: Timestamp, id: &str) -> Option<u64> {
        let entry = self.jobs.get_mut(id)?;
        if entry.is_final() {
            return Some(entry.version);
        }
        entry.cancelled = true;
        self.stop_job(id, "cancelled by its caller");
        self.end_if_final(now, id);
        Some(self.mark_changed(id))
    }

    /// Reports whether there is a job that the caller may not see.
    pub fn is_denied(&self, id: &str, access: &JobAccess) -> bool {
        self.jobs.get(id).is_some_and(|entry| !access.allows(&entry.job))
    }

    /// Returns what callers may see of a job, `None` when there is no such job.
    pub fn view(&self, id: &str) -> Option<View> {
        self.jobs.get(id).map(|entry| View { state: entry.visible_state() })
    }

    /// Returns the number of the run of a task that may be alive.
    pub fn run_number(&self, task: &TaskId) -> Option<u32> {
        Some(self.placement(task)?.run)
    }

    /// Returns the run of a task that may be alive.
    fn placement(&self, task: &TaskId) -> Option<&Placement> {
        self.jobs.get(&task.job)?.placement(&task.key)
    }

    /// Returns the number of accepted jobs of `route` for which no task has started.
    pub fn pending(&self, route: &RouteKey) -> usize {
        self.jobs
            .values()
            .filter(|entry| route.selects(&entry.job) && !entry.started && !entry.is_final())
            .count()
    }

    /// Reports whether `version` of the job `id` is stored.
    pub fn is_durable(&self, id: &str, version: u64) -> bool {
        self.jobs.get(id).is_none_or(|entry| entry.durable_version >= version)
    }

    /// Returns the next request to the placement policy; `None` while one is open, or when no step
    /// waits for advice.
    pub fn next_advice_call(&mut self, now: Timestamp) -> Option<AdviceCall> {
        self.advice.next_call(now.monotonic)
    }

    /// Handles the answer to a request; `None` means that the policy did not answer.
    pub fn handle_advice(
        &mut self,
        now: Timestamp,
        call: &AdviceCall,
        answer: Option<&AdviceAnswer>,
    ) {
        let with_incarnation =
            |id: &String| Some((id.clone(), self.fleet.workers.get(id)?.status.incarnation));
        let incarnations = call.workers.iter().filter_map(with_incarnation).collect();
        self.advice.record_answer(call, answer, &incarnations, now.monotonic);
        self.plan_due = true;
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the workers whose orders have changed since the last call.
    pub fn take_changed_workers(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed_workers)
    }

    /// Returns the orders for a worker. A start appears only once its row is durable, and only as far
    /// as the size of a message allows; otherwise its run is one to keep, for which the agent does
    /// nothing yet.
    pub fn orders(&self, worker: &str) -> Orders {
        let Some(state) = self.fleet.workers.get(worker) else {
            return self.departure_orders(worker);
        };
        let mut orders = Orders {
            ended_through: state.acked,
            incarnation: state.status.incarnation,
            pace: self.run_times.pace(worker, state.status.incarnation, self.ticked_at),
            worker: worker.to_owned(),
            ..Orders::default()
        };
        let ordered = self.ordered_starts(state);
        for (task, run) in &state.runs {
            let Some(entry) = self.jobs.get(&task.job) else { continue };
            let Some(placement) = entry.placement(&task.key) else { continue };
            if placement.stopping {
                orders.stop.push((task.clone(), *run));
                continue;
            }
            if let Some(step) = entry.job.steps.get(task.key.step as usize)
                && (step.fills || step.response_ms > 0)
            {
                let response = (!step.fills).then(|| Duration::from_millis(step.response_ms));
                orders.sharing.push(SharingRun { response, run: *run, task: task.clone() });
            }
            if !ordered.contains(task) {
                if self.is_held(state, entry, placement) {
                    orders.held.push((task.clone(), *run));
                }
                orders.keep.push((task.clone(), *run));
                continue;
            }
            orders.start.push(StartOrder {
                checkpoint: placement.checkpoint.clone(),
                payload: entry.job.payload.clone(),
                permit: placement.permit.clone(),
                run: *run,
                task: task.clone(),
            });
        }
        if orders.sharing.iter().all(|run| run.response.is_some()) {
            orders.sharing.clear();
        }
        orders
    }

    /// Returns the orders for a worker that is not in the fleet: none, or that its departure is stored.
    fn departure_orders(&self, worker: &str) -> Orders {
        let departure = self.departures.get(worker);
        let Some(departure) = departure.filter(|departure| self.is_stored(departure)) else {
            return Orders::default();
        };
        Orders {
            departure_stored: true,
            incarnation: departure.incarnation,
            worker: worker.to_owned(),
            ..Orders::default()
        }
    }

    fn is_stored(&self, departure: &Departure) -> bool {
        departure.versions.iter().all(|(job, version)| self.is_durable(job, *version))
    }

    /// Returns the tasks whose start is ordered at a worker: their rows are durable, the worker does
    /// not list them yet, and a message holds them. There are none in an evacuated failure domain, and
    /// none while the tables may be outdated.
    fn ordered_starts<'a>(&'a self, worker: &'a FleetWorker) -> BTreeSet<&'a TaskId> {
        let mut ordered = BTreeSet::new();
        if self.starts_held || worker.evacuated {
            return ordered;
        }
        let mut bytes = 0;
        for task in worker.runs.keys() {
            let Some(entry) = self.jobs.get(&task.job) else { continue };
            let Some(placement) = entry.placement(&task.key) else { continue };
            if placement.stopping || placement.listed || entry.durable_version < placement.version {
                continue;
            }
            let (payload, permit) = (&entry.job.payload, &placement.permit);
            bytes += payload.len() + permit.len() + placement.checkpoint.len() + task.job.len();
            if bytes > MAX_START_BYTES && !ordered.is_empty() {
                break;
            }
            ordered.insert(task);
        }
        ordered
    }

    /// Returns the ids of all workers.
    pub fn worker_ids(&self) -> Vec<String> {
        self.fleet.workers.keys().cloned().collect()
    }

    /// Records the end of a worker's session. The worker gets no new work until it reports again.
    pub fn end_session(&mut self, worker: &str) {
        self.departures.remove(worker);
        if let Some(state) = self.fleet.workers.get_mut(worker) {
            state.has_session = false;
        }
    }

    fn record_decision(&mut self, id: &str, kind: DecisionKind, detail: String) {
        self.decisions.push(Decision { detail, id: id.to_owned(), kind });
    }

    /// Marks the state of a job as changed, to be written, and returns its new version.
    fn mark_changed(&mut self, id: &str) -> u64 {
        let Some(entry) = self.jobs.get_mut(id) else { return 0 };
        entry.version += 1;
        let version = entry.version;
        self.changed_jobs.insert(id.to_owned());
        version
    }

    /// Orders all runs of a job to stop.
    fn stop_job(&mut self, id: &str, reason: &str) {
        let Some(entry) = self.jobs.get(id) else { return };
        let keys: Vec<TaskKey> = entry.placements().map(|(task, _)| task.key).collect();
        for key in keys {
            self.stop_run(&TaskId::new(id, key), reason);
        }
    }

    /// Orders a run and the other members of its gang to stop.
    fn stop_run(&mut self, task: &TaskId, reason: &str) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let mut workers = Vec::new();
        for key in entry.members(&task.key) {
            let Some(placement) = entry.placement_mut(&key) else { continue };
            if !placement.stopping {
                placement.stopping = true;
                workers.push(placement.worker.clone());
            }
        }
        if workers.is_empty() {
            return;
        }
        self.changed_workers.extend(workers.iter().cloned());
        self.record_decision(&task.to_string(), DecisionKind::Stopped, reason.to_owned());
    }

    /// Releases the resources of a run whose end is certain, and records how it ended.
    fn end_run(&mut self, now: Timestamp, task: &TaskId, kind: Option<EndKind>, checkpoint: &str) {
        self.observe_end(now, task, kind);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(placement) = entry.take_placement(&task.key) else { return };
        let resources = entry.resources(task.key.step);
        if kind.is_some()
            && let Some(listed_at) = placement.listed_at
            && let Some(state) = entry.tasks.get_mut(&task.key)
            && state.exposure.losses > 0
        {
            state.exposure.record_end(now.monotonic.saturating_duration_since(listed_at));
        }
        let Placement { worker, run, .. } = placement;
        entry.apply_end(&task.key, run, kind, checkpoint, &worker, now.monotonic);
        let failed = entry.failed;
        self.fleet.release(&worker, task, run, &resources);
        self.changed_workers.insert(worker.clone());
        self.plan_due = true;
        let detail = format!("run {run} on {worker}: {kind:?}");
        self.record_decision(&task.to_string(), DecisionKind::RunEnded, detail);
        if kind != Some(EndKind::Done) {
            self.stop_run(task, "another member of its gang ended");
        }
        if failed {
            self.stop_job(&task.job, "a task failed as often as its route allows");
        }
        self.waiting_jobs.insert(task.job.clone());
        self.end_if_final(now, &task.job);
        self.mark_changed(&task.job);
    }

    /// Ends a job that is in a final state and whose last run has ended.
    fn end_if_final(&mut self, now: Timestamp, id: &str) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.ended_ms.is_some() || !entry.is_final() || entry.placements().next().is_some() {
            return;
        }
        entry.ended_ms = Some(now.wall_ms);
        entry.ended_at = now.monotonic;
        let state = entry.state();
        self.advice.remove_job(id);
        self.waiting_jobs.remove(id);
        self.record_decision(id, DecisionKind::Ended, format!("{state:?}"));
    }
}

/// Moves an acceptance that lies in the future to the present: the entry that accepted the job has
/// a clock that is ahead, or the clock of this one was set back. Otherwise all waits of the job would
/// last longer by the difference.
fn limit_acceptance(job: &mut Job, now: Timestamp) {
    job.accepted_ms = job.accepted_ms.min(now.wall_ms);
}
