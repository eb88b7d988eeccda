use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_tables::Pool;
use skylarkpulley_types::Shape;

use crate::estimates::Estimates;
use crate::free_index::FreeIndex;
use crate::instance::Instance;
use crate::job::{Job, State};
use crate::worker::Worker;
use crate::{Action, Event, GangEnd, JobSpec};

mod admission;
mod choice;
mod claims;
mod gangs;
mod health;
mod queue;
mod reports;
mod reservations;
mod snapshot;

/// Time that a task gets to write a checkpoint before it is stopped.
const CHECKPOINT_GRACE: Duration = Duration::from_secs(2);
/// Agents report every second. A new placer waits this long for a first report of each of them.
const INITIAL_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// A report that was sent before a decision arrives within this time after it.
const MAX_REPORT_LAG: Duration = Duration::from_millis(2500);
/// Bounds the cost of one decision; the remaining timers are handled in the next one.
const MAX_TIMERS_PER_DECISION: usize = 256;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    /// Job, epoch.
    HoldTimeout(usize, u64),
    /// Job, epoch.
    Requeue(usize, u64),
    /// Job, epoch.
    StopTimeout(usize, u64),
    /// Job, epoch.
    MemoryExcess(usize, u64),
    /// Job, epoch, worker.
    MissingMember(usize, u64, usize),
    /// Worker.
    ProbeDue(usize),
    /// Worker, number of the probe.
    ProbeRunTime(usize, u32),
    /// Worker.
    AvoidanceEnd(usize),
    FullPass,
    PlanReservations,
}

#[derive(Clone, Debug)]
struct Rack {
    domain: usize,
    workers: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default)]
struct TeamUsage {
    /// Weight of the team in the pool; 0 for a team that is not in the pool.
    weight: u32,
    accelerators: u64,
    cores: u64,
    memory: u64,
}

#[derive(Clone, Debug)]
struct RefusedJob {
    refused_at: Instant,
    spec: JobSpec,
    reason: String,
}

/// The reserved start of the first waiting job that does not fit now. Other jobs are backfilled
/// only if they do not delay it.
#[derive(Clone, Debug)]
struct ReservedStart {
    job: usize,
    start: Instant,
    computed_at: Instant,
    /// Version of the estimates from which the start was computed.
    estimates_version: u64,
    /// Accelerators that stay free next to the job, for each worker of its set.
    spare: BTreeMap<usize, u32>,
    /// Other gangs were preempted to make this start possible.
    preempts_others: bool,
}

/// Places the jobs of one pool. The caller passes events to [`Placer::handle`], carries out the
/// actions that [`Placer::decide`] returns, and calls `decide` again no later than
/// [`Placer::next_wake`].
#[derive(Debug)]
pub struct Placer {
    pool: Pool,
    now: Instant,
    /// Decisions start at this time even if workers have not reported.
    ready_deadline: Instant,
    /// The initial reports have arrived or their deadline has passed.
    ready: bool,
    rng: Rng,
    actions: Vec<Action>,
    workers: Vec<Worker>,
    /// Indices in `workers` that can be reused.
    worker_freelist: Vec<usize>,
    worker_indices: HashMap<String, usize>,
    quarantined: BTreeSet<usize>,
    racks: Vec<Rack>,
    /// Domain and name of each rack.
    rack_names: Vec<(String, String)>,
    domains: Vec<String>,
    /// Unused accelerators of usable workers.
    free: FreeIndex,
    /// Unused accelerators of usable workers that no reservation covers.
    free_unreserved: FreeIndex,
    jobs: Vec<Option<Job>>,
    /// Indices in `jobs` that can be reused.
    job_freelist: Vec<usize>,
    job_indices: HashMap<String, usize>,
    /// Waiting jobs by class and team, in order of their queue keys.
    queues: BTreeMap<(u8, usize), BTreeSet<(i64, usize)>>,
    /// Waiting jobs that claim a guarantee.
    claims: BTreeSet<(i64, usize)>,
    /// Jobs queued since the last full pass.
    newly_queued: Vec<usize>,
    /// Capacity may have been freed since the last full pass over the queues.
    pass_due: bool,
    /// Demands that could not be placed since capacity was last freed.
    failed_demands: HashSet<queue::Demand>,
    reserved_start: Option<ReservedStart>,
    instances: Vec<Instance>,
    /// Instances may lack a reservation.
    planning_due: bool,
    /// Earliest time of the next full search in a large pool.
    next_plan: Instant,
    epoch: u64,
    /// Index of each team in `team_usage`.
    team_indices: HashMap<String, usize>,
    team_usage: Vec<TeamUsage>,
    /// Number of workers in the description of the pool.
    described_workers: u64,
    /// Incremented with every edit of the pool.
    pool_version: u64,
    estimates: Estimates,
    timers: BTreeSet<(Instant, Timer)>,
    /// Epoch and end of gangs that ended recently; reports sent before the end still list them.
    recently_ended: HashMap<String, (u64, Instant)>,
    /// Entries of `recently_ended` in order of time.
    ended_order: VecDeque<(Instant, String)>,
    refused: VecDeque<RefusedJob>,
    created_at: Instant,
}

impl Placer {
    /// Returns a placer for `pool`. It makes no decision until every described worker has reported
    /// or 1.5 s have passed, so that it does not grant capacity that another entry has already
    /// granted.
    pub fn new(pool: &Pool, now: Instant) -> Self {
        let mut placer = Self {
            pool: pool.clone(),
            now,
            ready_deadline: now + INITIAL_REPORT_TIMEOUT,
            ready: false,
            rng: Rng::with_seed(0),
            actions: Vec::new(),
            workers: Vec::new(),
            worker_freelist: Vec::new(),
            worker_indices: HashMap::new(),
            quarantined: BTreeSet::new(),
            racks: Vec::new(),
            rack_names: Vec::new(),
            domains: Vec::new(),
            free: FreeIndex::default(),
            free_unreserved: FreeIndex::default(),
            jobs: Vec::new(),
            job_freelist: Vec::new(),
            job_indices: HashMap::new(),
            queues: BTreeMap::new(),
            claims: BTreeSet::new(),
            newly_queued: Vec::new(),
            pass_due: false,
            failed_demands: HashSet::new(),
            reserved_start: None,
            instances: Vec::new(),
            planning_due: true,
            next_plan: now,
            epoch: 0,
            team_indices: HashMap::new(),
            team_usage: Vec::new(),
            described_workers: 0,
            pool_version: 1,
            estimates: Estimates::default(),
            timers: BTreeSet::new(),
            recently_ended: HashMap::new(),
            ended_order: VecDeque::new(),
            refused: VecDeque::new(),
            created_at: now,
        };
        placer.update_team_weights();
        placer.rebuild_instances();
        placer
    }

    /// Sets the seed for the jitter of retries, which must differ between entries.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = Rng::with_seed(seed);
        self
    }

    /// Applies an edited pool. Waiting jobs that can no longer run on it are refused, and refused
    /// jobs that would fit it are reported.
    pub fn apply_pool(&mut self, pool: &Pool) {
        if self.pool == *pool {
            return;
        }
        self.pool = pool.clone();
        self.pool_version += 1;
        self.update_team_weights();
        self.rebuild_instances();
        self.recheck_refused();
        self.recheck_waiting();
        self.mark_capacity_freed();
    }

    /// Handles one event. The resulting actions are returned by the next call of `decide`.
    pub fn handle(&mut self, event: Event, now: Instant) {
        self.now = self.now.max(now);
        match event {
            Event::WorkerJoined { agent, domain, rack, accelerators } => {
                self.worker_joined(agent, &domain, &rack, accelerators)
            }
            Event::WorkerLost { agent } => {
                if let Some(worker) = self.worker_of(&agent) {
                    self.worker_lost(worker, "worker lost");
                }
            }
            Event::WorkerReport { agent, report } => {
                if let Some(worker) = self.worker_of(&agent) {
                    self.handle_report(worker, &report);
                }
            }
            Event::Submit(spec) => self.submit(spec),
            Event::Cancel { job } => self.cancel(&job),
            Event::HoldAnswered { job, epoch, worker, result } => {
                if let Some(ix) = self.active_job(&job, epoch) {
                    self.handle_hold_answer(ix, &worker, result);
                }
            }
            Event::GangStarted { job, epoch } => {
                if let Some(ix) = self.active_job(&job, epoch) {
                    self.gang_started(ix);
                }
            }
            Event::Checkpointed { job, epoch, progress } => {
                if let Some(ix) = self.active_job(&job, epoch) {
                    let job = self.job_mut(ix);
                    job.progress = job.progress.max(progress);
                }
            }
            Event::GangEnded { job, epoch, end } => {
                if let Some(ix) = self.active_job(&job, epoch) {
                    self.gang_ended(ix, &end);
                }
            }
            Event::Drain { worker, draining } => self.set_draining(&worker, draining),
        }
    }

    /// Handles due timers, plans reservations and places waiting jobs. Returns the actions in the
    /// order in which they must be carried out. The work of one call is bounded.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.now = self.now.max(now);
        if !self.ready {
            let reported = self.workers.iter().filter(|worker| worker.alive && worker.reported);
            let all = reported.count() >= self.pool.worker_count() as usize;
            if !all && self.now < self.ready_deadline {
                return Vec::new();
            }
            self.ready = true;
            self.drop_incomplete_reservations();
            self.mark_capacity_freed();
        }
        self.fire_timers();
        self.plan_reservations();
        self.place_waiting();
        self.expire_ended();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which `decide` must be called if no further event arrives.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.ready {
            return Some(self.ready_deadline);
        }
        if self.pass_due
            || self.planning_due
            || !self.newly_queued.is_empty()
            || !self.actions.is_empty()
        {
            return Some(self.now);
        }
        self.timers.first().map(|(at, _)| *at)
    }

    fn fire_timers(&mut self) {
        for _ in 0..MAX_TIMERS_PER_DECISION {
            let Some((at, timer)) = self.timers.first().copied() else { return };
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::HoldTimeout(job, epoch) if self.has_epoch(job, epoch) => {
                    self.hold_expired(job)
                }
                Timer::Requeue(job, epoch) if self.has_epoch(job, epoch) => self.requeue_due(job),
                Timer::StopTimeout(job, epoch) if self.has_epoch(job, epoch) => {
                    if matches!(self.job(job).state, State::Stopping(_)) {
                        self.gang_ended(job, &GangEnd::LeaseLapsed);
                    }
                }
                Timer::MissingMember(job, epoch, worker) if self.has_epoch(job, epoch) => {
                    self.preempt_if_still_missing(job, worker)
                }
                Timer::MemoryExcess(job, epoch) if self.has_epoch(job, epoch) => {
                    self.check_memory_excess(job)
                }
                Timer::ProbeDue(worker) => self.probe_due(worker),
                Timer::ProbeRunTime(worker, probes) => self.probe_passed(worker, probes),
                Timer::AvoidanceEnd(worker) => {
                    self.update_free_index(worker);
                    self.mark_capacity_freed();
                }
                Timer::FullPass => self.pass_due = true,
                Timer::PlanReservations => self.planning_due = true,
                _ => {}
            }
        }
    }

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.insert((self.now + after, timer));
    }

    fn job(&self, ix: usize) -> &Job {
        self.jobs[ix].as_ref().expect("the index must refer to an existing job")
    }

    fn job_mut(&mut self, ix: usize) -> &mut Job {
        self.jobs[ix].as_mut().expect("the index must refer to an existing job")
    }

    fn has_epoch(&self, ix: usize, epoch: u64) -> bool {
        self.jobs.get(ix).is_some_and(|job| job.as_ref().is_some_and(|job| job.epoch == epoch))
    }

    /// Returns the job if its current placement has this epoch.
    fn active_job(&self, id: &str, epoch: u64) -> Option<usize> {
        let ix = *self.job_indices.get(id)?;
        let job = self.job(ix);
        (job.epoch == epoch && !job.is_waiting()).then_some(ix)
    }

    /// Updates the values of the pool that the ranking of jobs uses: the weights of the teams and
    /// the number of described workers.
    fn update_team_weights(&mut self) {
        self.described_workers = u64::from(self.pool.worker_count());
        for usage in &mut self.team_usage {
            usage.weight = 0;
        }
        for ix in 0..self.pool.teams.len() {
            let team = self.pool.teams[ix].clone();
            let team_index = self.team_index(&team.name);
            self.team_usage[team_index].weight = team.weight;
        }
    }

    fn team_index(&mut self, name: &str) -> usize {
        if let Some(ix) = self.team_indices.get(name) {
            return *ix;
        }
        self.team_indices.insert(name.to_owned(), self.team_usage.len());
        self.team_usage.push(TeamUsage::default());
        self.team_usage.len() - 1
    }

    fn add_job(&mut self, mut job: Job) -> usize {
        job.team = self.team_index(&job.spec.team);
        job.estimate = self.estimates.key(&job.spec.team, &job.spec.kind);
        let id = job.spec.id.clone();
        let ix = self.job_freelist.pop().unwrap_or(self.jobs.len());
        if ix == self.jobs.len() {
            self.jobs.push(None);
        }
        self.jobs[ix] = Some(job);
        self.job_indices.insert(id, ix);
        ix
    }

    fn remove_job(&mut self, ix: usize) {
        self.dequeue(ix);
        let Some(job) = self.jobs[ix].take() else { return };
        self.job_indices.remove(&job.spec.id);
        self.job_freelist.push(ix);
        if self.reserved_start.as_ref().is_some_and(|reserved_start| reserved_start.job == ix) {
            self.reserved_start = None;
            self.mark_capacity_freed();
        }
    }

    /// Recomputes the accelerators that a worker offers in the indexes.
    fn update_free_index(&mut self, ix: usize) {
        let worker = &self.workers[ix];
        if worker.alive && worker.quarantine.is_some() {
            self.quarantined.insert(ix);
        } else {
            self.quarantined.remove(&ix);
        }
        let usable = worker.is_usable() && !worker.is_avoided(self.now);
        let free = worker.free();
        self.free.set(ix, worker.rack, usable.then_some(free));
        self.free_unreserved.set(ix, worker.rack, usable.then_some(free.min(worker.lendable())));
    }

    /// Records that capacity may have been freed, so that all waiting jobs are considered again.
    fn mark_capacity_freed(&mut self) {
        self.pass_due = true;
        self.failed_demands.clear();
    }

    fn avoid(&mut self, worker: usize, period: Duration) {
        self.workers[worker].avoided_until = Some(self.now + period);
        self.set_timer(period, Timer::AvoidanceEnd(worker));
        self.update_free_index(worker);
    }

    fn update_usage(&mut self, ix: usize, add: bool) {
        let job = self.jobs[ix].as_ref().expect("the index must refer to an existing job");
        let members = job.members.len() as u64;
        let delta =
            [job.total_accelerators(), u64::from(job.spec.cores) * members, job.memory * members];
        let entry = &mut self.team_usage[job.team];
        let fields = [&mut entry.accelerators, &mut entry.cores, &mut entry.memory];
        for (field, delta) in fields.into_iter().zip(delta) {
            *field = if add { *field + delta } else { field.saturating_sub(delta) };
        }
    }

    /// Returns the largest waiting shape, or the largest guarantee when no job waits.
    fn largest_shape(&self) -> Option<Shape> {
        let waiting = self.jobs.iter().flatten().filter(|job| job.is_waiting());
        let largest = waiting.map(|job| job.spec.shape).max_by_key(Shape::total);
        largest.or_else(|| {
            let shapes = self.instances.iter().map(|instance| instance.shape);
            shapes.max_by_key(Shape::total)
        })
    }
}
