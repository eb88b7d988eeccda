use fastrand::Rng;
use skylarkpulley_jobs::Resources;

use super::{JobPlan, Millis, Score};

/// Number of workers; three share a rack.
const WORKERS: usize = 11;

/// Resources of a worker.
pub const WORKER_RESOURCES: Resources =
    Resources { accelerators: 8, cores: 64_000, memory: 262_144 };

/// Interval between two decisions of a policy.
const DECISION_INTERVAL: Millis = 50;

/// Maximum time that a worker takes to stop a run.
pub const MAX_STOP_TIME: Millis = 900;

/// Maximum run time that a task with checkpoints loses when it is stopped.
const MAX_CHECKPOINT_LOSS: Millis = 1000;

/// Time at which a replay ends even if jobs are unfinished.
const MAX_REPLAY_TIME: Millis = 400_000;

/// A run on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Time at which an ordered stop takes effect.
    pub early_end: Option<Millis>,
    /// Index of the task within its job.
    pub index: usize,
    /// Index of the job within the list.
    pub job: usize,
    /// Resources of the task.
    pub resources: Resources,
    /// Start of the run.
    pub start: Millis,
    /// Remaining run time of the task at the start of the run.
    pub work: Millis,
    /// Index of the worker.
    pub worker: usize,
}

impl Run {
    /// Returns the progress of the run in percent, at most 99.
    pub fn percent(&self, now: Millis) -> u8 {
        u8::try_from((now - self.start) * 100 / self.work.max(1)).unwrap_or(100).min(99)
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
}

impl Pool {
    /// Returns the number of workers.
    pub fn size(&self) -> usize {
        WORKERS
    }

    /// Returns the free resources of each worker.
    pub fn free(&self) -> Vec<Resources> {
        let mut free = vec![WORKER_RESOURCES; WORKERS];
        for run in &self.runs {
            free[run.worker].subtract(&run.resources);
        }
        free
    }

    /// Ends the runs that are complete or whose stop takes effect. Returns them and the lost work
    /// in core-seconds.
    fn end_due_runs(&mut self, now: Millis, jobs: &[JobPlan]) -> (Vec<EndedRun>, f64) {
        let mut waste = 0.0;
        let mut ended = Vec::new();
        let remaining = &mut self.remaining;
        self.runs.retain(|run| {
            let done = now >= run.start + run.work;
            if !done && run.early_end.is_none_or(|at| now < at) {
                return true;
            }
            let elapsed = now - run.start;
            let lost =
                if jobs[run.job].checkpoints { elapsed.min(MAX_CHECKPOINT_LOSS) } else { elapsed };
            if done {
                remaining[run.job][run.index] = 0;
            } else {
                remaining[run.job][run.index] = run.work - (elapsed - lost);
                waste += lost as f64 / 1000.0 * run.resources.weight();
            }
            ended.push(EndedRun { done, run: *run });
            false
        });
        (ended, waste)
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
                let work = self.remaining[job][index];
                self.runs.push(Run {
                    early_end: None,
                    index,
                    job,
                    resources,
                    start: now,
                    work,
                    worker,
                });
            }
            Order::Stop { job, index } => {
                let early_end = now + self.rng.u64(MAX_STOP_TIME / 4..=MAX_STOP_TIME);
                let run = self.runs.iter_mut().find(|run| run.job == job && run.index == index);
                if let Some(run) = run {
                    run.early_end.get_or_insert(early_end);
                }
            }
        }
    }
}

/// Replays `jobs` with `policy` and returns its score. The times that stops take depend on `seed`.
pub fn replay(jobs: &[JobPlan], policy: &mut dyn Policy, seed: u64) -> Score {
    let remaining = jobs.iter().map(|job| job.lengths.clone()).collect();
    let mut pool = Pool { runs: Vec::new(), remaining, rng: Rng::with_seed(seed) };
    let mut score = Score::default();
    let mut completions: Vec<Option<Millis>> = vec![None; jobs.len()];
    let (mut now, mut next_job) = (0, 0);
    while now < MAX_REPLAY_TIME && (next_job < jobs.len() || completions.contains(&None)) {
        while jobs.get(next_job).is_some_and(|job| job.arrival <= now) {
            policy.submit(now, next_job, &jobs[next_job]);
            next_job += 1;
        }
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
