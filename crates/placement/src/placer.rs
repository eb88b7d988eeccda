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

/// Time for a checkpoint before a task is stopped.
const GRACE: Duration = Duration::from_secs(2);
/// Agents report every second; a new placer waits until each has reported at least once.
const SETTLE: Duration = Duration::from_millis(1500);
/// A report that was under way when a decision was made arrives within this time.
const REPORT_LAG: Duration = Duration::from_millis(2500);
/// Timers handled in one decision.
const TIMERS: usize = 256;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Timer {
    Hold(usize, u64),
    Retry(usize, u64),
    Stop(usize, u64),
    Excess(usize, u64),
    /// Job, epoch, worker.
    Missing(usize, u64, usize),
    Probe(usize),
    ProbeEnd(usize, u32),
    Avoid(usize),
    Look,
    Plan,
}

#[derive(Clone, Debug)]
struct Rack {
    domain: usize,
    workers: BTreeSet<usize>,
}

#[derive(Clone, Debug, Default)]
struct Use {
    /// Paid share; 0 for a team that is not in the pool.
    weight: u32,
    accelerators: u64,
    cores: u64,
    memory: u64,
}

#[derive(Clone, Debug)]
struct Refused {
    at: Instant,
    spec: JobSpec,
    reason: String,
}

/// The reserved start of the first job that waits for room.
#[derive(Clone, Debug)]
struct Shadow {
    job: usize,
    start: Instant,
    made: Instant,
    /// Version of the estimates it rests on.
    version: u64,
    /// Per worker of the set, the accelerators that stay free next to the job.
    spare: BTreeMap<usize, u32>,
    /// Preemptions were sent to make room.
    moving: bool,
}

/// Decides for one pool. Feed it with [`Placer::handle`], then carry out what [`Placer::decide`]
/// returns; call `decide` again no later than [`Placer::next_wake`].
#[derive(Debug)]
pub struct Placer {
    pool: Pool,
    now: Instant,
    settle_until: Instant,
    settled: bool,
    rng: Rng,
    out: Vec<Action>,
    workers: Vec<Worker>,
    spare_workers: Vec<usize>,
    by_name: HashMap<String, usize>,
    quarantined: BTreeSet<usize>,
    racks: Vec<Rack>,
    rack_names: Vec<(String, String)>,
    domains: Vec<String>,
    /// Unused accelerators of usable workers.
    free: FreeIndex,
    /// Unused accelerators that no reservation covers.
    open: FreeIndex,
    jobs: Vec<Option<Job>>,
    spare_jobs: Vec<usize>,
    by_id: HashMap<String, usize>,
    /// Waiting jobs by class and team, in order of their keys.
    queues: BTreeMap<(u8, usize), BTreeSet<(i64, usize)>>,
    /// Waiting jobs that claim a guarantee.
    claims: BTreeSet<(i64, usize)>,
    /// Jobs queued since the last full pass.
    fresh: Vec<usize>,
    /// Room became available since the last full pass.
    changed: bool,
    /// Demands that found no room since room last became available.
    failed: HashSet<queue::Demand>,
    shadow: Option<Shadow>,
    instances: Vec<Instance>,
    plan: bool,
    plan_at: Instant,
    epoch: u64,
    /// Index of each team in `uses`.
    teams: HashMap<String, usize>,
    uses: Vec<Use>,
    described: u64,
    /// Number of the pool's current edit.
    edit: u64,
    estimates: Estimates,
    timers: BTreeSet<(Instant, Timer)>,
    /// Gangs that ended recently, which older reports may still list.
    ended: HashMap<String, (u64, Instant)>,
    ended_order: VecDeque<(Instant, String)>,
    refused: VecDeque<Refused>,
    origin: Instant,
}

impl Placer {
    /// Returns a placer for `pool`. It makes no decision until every described worker has reported,
    /// or 1.5 s have passed, so that it does not grant what another entry granted before.
    pub fn new(pool: &Pool, now: Instant) -> Self {
        let mut placer = Self {
            pool: pool.clone(),
            now,
            settle_until: now + SETTLE,
            settled: false,
            rng: Rng::with_seed(0),
            out: Vec::new(),
            workers: Vec::new(),
            spare_workers: Vec::new(),
            by_name: HashMap::new(),
            quarantined: BTreeSet::new(),
            racks: Vec::new(),
            rack_names: Vec::new(),
            domains: Vec::new(),
            free: FreeIndex::default(),
            open: FreeIndex::default(),
            jobs: Vec::new(),
            spare_jobs: Vec::new(),
            by_id: HashMap::new(),
            queues: BTreeMap::new(),
            claims: BTreeSet::new(),
            fresh: Vec::new(),
            changed: false,
            failed: HashSet::new(),
            shadow: None,
            instances: Vec::new(),
            plan: true,
            plan_at: now,
            epoch: 0,
            teams: HashMap::new(),
            uses: Vec::new(),
            described: 0,
            edit: 1,
            estimates: Estimates::default(),
            timers: BTreeSet::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            refused: VecDeque::new(),
            origin: now,
        };
        placer.take_shares();
        placer.rebuild_instances();
        placer
    }

    /// Uses `seed` for the jitter of retries; differs between entries.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = Rng::with_seed(seed);
        self
    }

    /// Takes over an edited pool. Waiting jobs that can never run any more are refused; refused jobs
    /// that would fit now are reported.
    pub fn apply_pool(&mut self, pool: &Pool) {
        if self.pool == *pool {
            return;
        }
        self.pool = pool.clone();
        self.edit += 1;
        self.take_shares();
        self.rebuild_instances();
        self.review_refused();
        self.review_waiting();
        self.freed();
    }

    /// Takes one event into account. Its consequences are returned by the next `decide`.
    pub fn handle(&mut self, event: Event, now: Instant) {
        self.now = self.now.max(now);
        match event {
            Event::WorkerJoined { agent, domain, rack, accelerators } => {
                self.join(agent, &domain, &rack, accelerators)
            }
            Event::WorkerLost { agent } => {
                if let Some(worker) = self.worker_of(&agent) {
                    self.lose(worker, "worker lost");
                }
            }
            Event::WorkerReport { agent, report } => {
                if let Some(worker) = self.worker_of(&agent) {
                    self.take_report(worker, &report);
                }
            }
            Event::Submit(spec) => self.submit(spec),
            Event::Cancel { job } => self.cancel(&job),
            Event::HoldAnswered { job, epoch, worker, result } => {
                if let Some(ix) = self.gang(&job, epoch) {
                    self.take_answer(ix, &worker, result);
                }
            }
            Event::GangStarted { job, epoch } => {
                if let Some(ix) = self.gang(&job, epoch) {
                    self.start(ix);
                }
            }
            Event::Checkpointed { job, epoch, progress } => {
                if let Some(ix) = self.gang(&job, epoch) {
                    let job = self.job_mut(ix);
                    job.progress = job.progress.max(progress);
                }
            }
            Event::GangEnded { job, epoch, end } => {
                if let Some(ix) = self.gang(&job, epoch) {
                    self.end(ix, &end);
                }
            }
            Event::Drain { worker, draining } => self.drain(&worker, draining),
        }
    }

    /// Decides on everything that is due, with bounded work, and returns what to do in order.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.now = self.now.max(now);
        if !self.settled {
            let reported = self.workers.iter().filter(|worker| worker.alive && worker.reported);
            let all = reported.count() >= self.pool.worker_count() as usize;
            if !all && self.now < self.settle_until {
                return Vec::new();
            }
            self.settled = true;
            self.settle_reservations();
            self.freed();
        }
        self.fire_timers();
        self.plan_reservations();
        self.place_waiting();
        self.forget_ended();
        std::mem::take(&mut self.out)
    }

    /// Returns when `decide` has something to do without a further event.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.settled {
            return Some(self.settle_until);
        }
        if self.changed || self.plan || !self.fresh.is_empty() || !self.out.is_empty() {
            return Some(self.now);
        }
        self.timers.first().map(|(at, _)| *at)
    }

    fn fire_timers(&mut self) {
        for _ in 0..TIMERS {
            let Some((at, timer)) = self.timers.first().copied() else { return };
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Hold(job, epoch) if self.is_at(job, epoch) => self.hold_expired(job),
                Timer::Retry(job, epoch) if self.is_at(job, epoch) => self.requeue_due(job),
                Timer::Stop(job, epoch) if self.is_at(job, epoch) => {
                    if matches!(self.job(job).state, State::Stopping(_)) {
                        self.end(job, &GangEnd::LeaseLapsed);
                    }
                }
                Timer::Missing(job, epoch, worker) if self.is_at(job, epoch) => {
                    self.still_missing(job, worker)
                }
                Timer::Excess(job, epoch) if self.is_at(job, epoch) => self.check_excess(job),
                Timer::Probe(worker) => self.probe_due(worker),
                Timer::ProbeEnd(worker, probes) => self.probe_passed(worker, probes),
                Timer::Avoid(worker) => {
                    self.refresh(worker);
                    self.freed();
                }
                Timer::Look => self.changed = true,
                Timer::Plan => self.plan = true,
                _ => {}
            }
        }
    }

    fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.insert((self.now + after, timer));
    }

    fn job(&self, ix: usize) -> &Job {
        self.jobs[ix].as_ref().expect("job index is live")
    }

    fn job_mut(&mut self, ix: usize) -> &mut Job {
        self.jobs[ix].as_mut().expect("job index is live")
    }

    fn is_at(&self, ix: usize, epoch: u64) -> bool {
        self.jobs.get(ix).is_some_and(|job| job.as_ref().is_some_and(|job| job.epoch == epoch))
    }

    /// Returns the job whose current try has this epoch.
    fn gang(&self, id: &str, epoch: u64) -> Option<usize> {
        let ix = *self.by_id.get(id)?;
        let job = self.job(ix);
        (job.epoch == epoch && !job.is_waiting()).then_some(ix)
    }

    /// Copies weights and sizes that every ranking of a job needs.
    fn take_shares(&mut self) {
        self.described = u64::from(self.pool.worker_count());
        for used in &mut self.uses {
            used.weight = 0;
        }
        for ix in 0..self.pool.teams.len() {
            let team = self.pool.teams[ix].clone();
            let used = self.team(&team.name);
            self.uses[used].weight = team.weight;
        }
    }

    fn team(&mut self, name: &str) -> usize {
        if let Some(ix) = self.teams.get(name) {
            return *ix;
        }
        self.teams.insert(name.to_owned(), self.uses.len());
        self.uses.push(Use::default());
        self.uses.len() - 1
    }

    fn add_job(&mut self, mut job: Job) -> usize {
        job.team = self.team(&job.spec.team);
        job.estimate = self.estimates.key(&job.spec.team, &job.spec.kind);
        let id = job.spec.id.clone();
        let ix = self.spare_jobs.pop().unwrap_or(self.jobs.len());
        if ix == self.jobs.len() {
            self.jobs.push(None);
        }
        self.jobs[ix] = Some(job);
        self.by_id.insert(id, ix);
        ix
    }

    fn remove_job(&mut self, ix: usize) {
        self.dequeue(ix);
        let Some(job) = self.jobs[ix].take() else { return };
        self.by_id.remove(&job.spec.id);
        self.spare_jobs.push(ix);
        if self.shadow.as_ref().is_some_and(|shadow| shadow.job == ix) {
            self.shadow = None;
            self.freed();
        }
    }

    /// Recomputes what a worker offers.
    fn refresh(&mut self, ix: usize) {
        let worker = &self.workers[ix];
        if worker.alive && worker.quarantine.is_some() {
            self.quarantined.insert(ix);
        } else {
            self.quarantined.remove(&ix);
        }
        let usable = worker.is_usable() && !worker.is_avoided(self.now);
        let free = worker.free();
        self.free.set(ix, worker.rack, usable.then_some(free));
        self.open.set(ix, worker.rack, usable.then_some(free.min(worker.uncovered())));
    }

    /// Notes that room may have become available.
    fn freed(&mut self) {
        self.changed = true;
        self.failed.clear();
    }

    fn avoid(&mut self, worker: usize, period: Duration) {
        self.workers[worker].avoid = Some(self.now + period);
        self.set_timer(period, Timer::Avoid(worker));
        self.refresh(worker);
    }

    fn account(&mut self, ix: usize, add: bool) {
        let job = self.jobs[ix].as_ref().expect("job index is live");
        let members = job.members.len() as u64;
        let delta = [job.total(), u64::from(job.spec.cores) * members, job.memory * members];
        let entry = &mut self.uses[job.team];
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
