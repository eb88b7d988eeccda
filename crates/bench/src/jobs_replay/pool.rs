use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use skylarkpulley_jobs::Resources;

use super::{JobPlan, Millis, Score, Setup};

/// Resources of a worker.
pub const WORKER_RESOURCES: Resources =
    Resources { accelerators: 8, cores: 64_000, memory: 262_144 };

/// Interval between two decisions of a policy.
pub const DECISION_INTERVAL: Millis = 50;

/// Time after which an agent repeats a start that was lost.
const START_REPEAT: Millis = 350;

/// Time after which a member of a gang gives up waiting for the others.
const MAX_GANG_WAIT: Millis = 5000;

/// Factor by which a gang that needs one rack is slower on several racks.
const FAR_FACTOR: u64 = 3;

/// Maximum run time that a task with checkpoints loses when it is stopped.
const MAX_CHECKPOINT_LOSS: Millis = 1000;

/// Time at which a replay ends even if jobs are unfinished.
const MAX_REPLAY_TIME: Millis = 400_000;

/// A run on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When the run began to work; a gang begins when all of its members are present.
    pub begun: Option<Millis>,
    /// Time at which an ordered stop takes effect.
    pub early_end: Option<Millis>,
    /// Whether the run is a member of a gang.
    pub gang: bool,
    /// Index of the task within its job.
    pub index: usize,
    /// Index of the job within the list.
    pub job: usize,
    /// Resources of the task.
    pub resources: Resources,
    /// When the worker carries out the start.
    pub start: Millis,
    /// Remaining run time of the task at the start of the run.
    pub work: Millis,
    /// Index of the worker.
    pub worker: usize,
}

impl Run {
    /// Returns the progress of the run in percent. A run outside a gang ends before it shows 100.
    pub fn percent(&self, now: Millis) -> u8 {
        let elapsed = self.begun.map_or(0, |begun| now.saturating_sub(begun));
        let limit = if self.gang { 100 } else { 99 };
        u8::try_from(elapsed * 100 / self.work.max(1)).unwrap_or(100).min(limit)
    }

    /// Reports whether the worker has carried out the start.
    pub fn is_present(&self, now: Millis) -> bool {
        now >= self.start
    }
}

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun {
    /// Whether the task is complete; otherwise the run was stopped.
    pub done: bool,
    /// The run that ended.
    pub run: Run,
}

/// An order of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a task on a worker.
    Start {
        /// Index of the job within the list.
        job: usize,
        /// Index of the task within its job.
        index: usize,
        /// Index of the worker.
        worker: usize,
    },
    /// Stop a task.
    Stop {
        /// Index of the job within the list.
        job: usize,
        /// Index of the task within its job.
        index: usize,
    },
}

/// Decides which tasks run on which workers.
pub trait Policy {
    /// Handles the submission of a job; `number` is its index within the list.
    fn submit(&mut self, now: Millis, number: usize, job: &JobPlan);

    /// Handles the runs that have ended, and returns orders for the tasks on `pool`.
    fn decide(&mut self, now: Millis, ended: &[EndedRun], pool: &Pool) -> Vec<Order>;
}

/// The workers and their runs.
#[derive(Debug)]
pub struct Pool {
    /// Runs that have not ended.
    pub runs: Vec<Run>,
    /// Remaining run time of each task, by job and index.
    remaining: Vec<Vec<Millis>>,
    rng: Rng,
    setup: Setup,
}

impl Pool {
    /// Returns the number of workers.
    pub fn size(&self) -> usize {
        self.setup.workers
    }

    /// Returns the free resources of each worker.
    pub fn free(&self) -> Vec<Resources> {
        let mut free = vec![WORKER_RESOURCES; self.setup.workers];
        for run in &self.runs {
            free[run.worker].subtract(&run.resources);
        }
        free
    }

    /// Lets gangs begin whose members are all present, and single runs that are present.
    fn begin_runs(&mut self, now: Millis, jobs: &[JobPlan]) {
        let mut gangs: BTreeMap<usize, (usize, Millis)> = BTreeMap::new();
        for run in self.runs.iter().filter(|run| run.gang && run.is_present(now)) {
            let (members, latest) = gangs.entry(run.job).or_default();
            *members += 1;
            *latest = run.start.max(*latest);
        }
        for run in self.runs.iter_mut().filter(|run| run.begun.is_none() && run.is_present(now)) {
            let (members, latest) = gangs.get(&run.job).copied().unwrap_or_default();
            if !run.gang {
                run.begun = Some(run.start);
            } else if members == jobs[run.job].lengths.len() {
                run.begun = Some(latest);
            }
        }
    }

    /// Ends the runs that are complete or whose stop takes effect. Returns them and the lost work
    /// in core-seconds. A gang ends as a whole: when its slowest member is complete, when one
    /// member is stopped, or when one has waited too long for the others.
    fn end_due_runs(&mut self, now: Millis, jobs: &[JobPlan]) -> (Vec<EndedRun>, f64) {
        let mut incomplete_gangs = BTreeSet::new();
        let mut broken_gangs = BTreeSet::new();
        for run in self.runs.iter().filter(|run| run.gang) {
            if run.begun.is_none_or(|begun| now < begun + run.work) {
                incomplete_gangs.insert(run.job);
            }
            let alone = run.begun.is_none() && now > run.start + MAX_GANG_WAIT;
            if alone || run.early_end.is_some_and(|at| now >= at) {
                broken_gangs.insert(run.job);
            }
        }
        let mut waste = 0.0;
        let mut ended = Vec::new();
        let (remaining, setup) = (&mut self.remaining, &self.setup);
        self.runs.retain(|run| {
            let complete = run.begun.is_some_and(|begun| now >= begun + run.work);
            let done = if run.gang { !incomplete_gangs.contains(&run.job) } else { complete };
            let stopped = run.early_end.is_some_and(|at| now >= at);
            let broken = run.gang && broken_gangs.contains(&run.job);
            if !(done || stopped || broken) {
                return true;
            }
            let occupied = now.saturating_sub(run.start);
            let worked = run.begun.map_or(0, |begun| (now - begun).min(run.work));
            let saved = match jobs[run.job].checkpoints {
                true => worked - worked.min(MAX_CHECKPOINT_LOSS),
                false => 0,
            };
            if done {
                remaining[run.job][run.index] = 0;
            } else {
                // Work at the usual speed; a new place on one rack makes up for a far one.
                let left = (run.work - saved) as f64 * setup.speed(run.worker);
                remaining[run.job][run.index] = left as Millis;
                waste += (occupied - saved) as f64 / 1000.0 * run.resources.weight();
            }
            ended.push(EndedRun { done, run: *run });
            false
        });
        (ended, waste)
    }

    /// Returns when a start that is ordered now is carried out.
    fn start_time(&mut self, now: Millis) -> Millis {
        let mut start = now;
        while self.rng.f64() < self.setup.lost_starts {
            start += START_REPEAT;
        }
        start
    }

    /// Returns the factor by which a task on `worker` is slower because the others of its job are on
    /// another rack.
    fn far_factor(&self, job: usize, worker: usize, jobs: &[JobPlan]) -> u64 {
        let rack = worker / self.setup.rack;
        let is_far = |run: &Run| run.job == job && run.worker / self.setup.rack != rack;
        if jobs[job].same_rack && self.runs.iter().any(is_far) { FAR_FACTOR } else { 1 }
    }

    fn apply(&mut self, now: Millis, order: Order, jobs: &[JobPlan]) {
        match order {
            Order::Start { job, index, worker } => {
                let resources = jobs[job].resources;
                assert!(
                    self.free()[worker].fits(&resources),
                    "worker {worker} lacks free resources for task {index} of job {job}"
                );
                let same_task = |run: &Run| run.job == job && run.index == index;
                assert!(
                    !self.runs.iter().any(same_task),
                    "task {index} of job {job} is already running"
                );
                let start = self.start_time(now);
                let work = self.remaining[job][index] * self.far_factor(job, worker, jobs);
                let work = (work as f64 / self.setup.speed(worker)) as Millis;
                self.runs.push(Run {
                    begun: None,
                    early_end: None,
                    gang: jobs[job].gang,
                    index,
                    job,
                    resources,
                    start,
                    work,
                    worker,
                });
            }
            Order::Stop { job, index } => {
                let early_end = now + self.rng.u64(self.setup.stop / 4..=self.setup.stop);
                let run = self.runs.iter_mut().find(|run| run.job == job && run.index == index);
                if let Some(run) = run {
                    run.early_end.get_or_insert(early_end);
                }
            }
        }
    }
}

/// Replays `jobs` with `policy` on the pool of `setup` and returns its score. The times that starts
/// and stops take depend on `seed`.
pub fn replay(setup: &Setup, jobs: &[JobPlan], policy: &mut dyn Policy, seed: u64) -> Score {
    let remaining = jobs.iter().map(|job| job.lengths.clone()).collect();
    let setup = setup.clone();
    let mut pool = Pool { runs: Vec::new(), remaining, rng: Rng::with_seed(seed), setup };
    let mut score = Score::default();
    let mut completions: Vec<Option<Millis>> = vec![None; jobs.len()];
    let (mut now, mut next_job) = (0, 0);
    while now < MAX_REPLAY_TIME && (next_job < jobs.len() || completions.contains(&None)) {
        while jobs.get(next_job).is_some_and(|job| job.arrival <= now) {
            policy.submit(now, next_job, &jobs[next_job]);
            next_job += 1;
        }
        pool.begin_runs(now, jobs);
        let (ended, waste) = pool.end_due_runs(now, jobs);
        score.waste += waste;
        for end in ended.iter().filter(|end| end.done) {
            if pool.remaining[end.run.job].iter().all(|remaining| *remaining == 0) {
                completions[end.run.job] = Some(now);
            }
        }
        for order in policy.decide(now, &ended, &pool) {
            pool.apply(now, order, jobs);
        }
        now += DECISION_INTERVAL;
    }
    for (job, end) in jobs.iter().zip(completions) {
        score.count(job, end);
    }
    score
}
