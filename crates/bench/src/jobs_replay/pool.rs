use fastrand::Rng;
use skylarkpulley_jobs::Resources;

use super::{JobPlan, Millis, Score};

/// Workers, three on a rack.
const WORKERS: usize = 11;

/// Room of a worker.
pub const WORKER_ROOM: Resources = Resources { accelerators: 8, cores: 64_000, memory: 262_144 };

/// Time between two looks of a policy.
const TICK: Millis = 50;

/// Longest time that a stop takes.
pub const STOP: Millis = 900;

/// Work that a task with checkpoints may lose when it is stopped.
const CHECKPOINT: Millis = 1000;

/// A list that is not done by then is given up.
const END: Millis = 400_000;

/// A run on a worker.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// When a stop takes effect.
    pub ends_early: Option<Millis>,
    /// Task within its job.
    pub index: usize,
    /// Job within the list.
    pub job: usize,
    /// Needs.
    pub room: Resources,
    /// Start.
    pub since: Millis,
    /// Time that is left at the start.
    pub work: Millis,
    /// Worker.
    pub worker: usize,
}

impl Run {
    /// Returns the progress of the run in percent.
    pub fn percent(&self, now: Millis) -> u8 {
        u8::try_from((now - self.since) * 100 / self.work.max(1)).unwrap_or(100).min(99)
    }
}

/// A run that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Whether the task is done; otherwise it was stopped.
    pub done: bool,
    /// The run.
    pub run: Run,
}

/// What a policy wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a task on a worker.
    Start {
        /// Job within the list.
        job: usize,
        /// Task within its job.
        index: usize,
        /// Worker.
        worker: usize,
    },
    /// Stop a task.
    Stop {
        /// Job within the list.
        job: usize,
        /// Task within its job.
        index: usize,
    },
}

/// Decides what runs where.
pub trait Policy {
    /// Takes in a submission.
    fn submit(&mut self, now: Millis, number: usize, job: &JobPlan);

    /// Takes in what has ended, and returns orders for the runs of `pool`.
    fn decide(&mut self, now: Millis, ended: &[Ended], pool: &Pool) -> Vec<Order>;
}

/// The workers and what runs on them.
#[derive(Debug)]
pub struct Pool {
    /// Runs that have not ended.
    pub runs: Vec<Run>,
    left: Vec<Vec<Millis>>,
    rng: Rng,
}

impl Pool {
    /// Returns the number of workers.
    pub fn size(&self) -> usize {
        WORKERS
    }

    /// Returns the free room of each worker.
    pub fn free(&self) -> Vec<Resources> {
        let mut free = vec![WORKER_ROOM; WORKERS];
        for run in &self.runs {
            free[run.worker].subtract(&run.room);
        }
        free
    }

    /// Ends what is due; returns it and the work that was lost in core-seconds.
    fn end(&mut self, now: Millis, jobs: &[JobPlan]) -> (Vec<Ended>, f64) {
        let mut waste = 0.0;
        let mut ended = Vec::new();
        let left = &mut self.left;
        self.runs.retain(|run| {
            let done = now >= run.since + run.work;
            if !done && run.ends_early.is_none_or(|at| now < at) {
                return true;
            }
            let ran = now - run.since;
            let lost = if jobs[run.job].checkpoints { ran.min(CHECKPOINT) } else { ran };
            if done {
                left[run.job][run.index] = 0;
            } else {
                left[run.job][run.index] = run.work - (ran - lost);
                waste += lost as f64 / 1000.0 * run.room.weight();
            }
            ended.push(Ended { done, run: *run });
            false
        });
        (ended, waste)
    }

    fn apply(&mut self, now: Millis, order: Order, jobs: &[JobPlan]) {
        match order {
            Order::Start { job, index, worker } => {
                let room = jobs[job].room;
                assert!(self.free()[worker].fits(&room), "worker {worker} has no room");
                let running = |run: &Run| run.job == job && run.index == index;
                assert!(!self.runs.iter().any(running), "task {index} of job {job} runs twice");
                let work = self.left[job][index];
                self.runs.push(Run {
                    ends_early: None,
                    index,
                    job,
                    room,
                    since: now,
                    work,
                    worker,
                });
            }
            Order::Stop { job, index } => {
                let at = now + self.rng.u64(STOP / 4..=STOP);
                let run = self.runs.iter_mut().find(|run| run.job == job && run.index == index);
                if let Some(run) = run {
                    run.ends_early.get_or_insert(at);
                }
            }
        }
    }
}

/// Plays `jobs` under `policy`. Stops take times that depend on `seed`.
pub fn replay(jobs: &[JobPlan], policy: &mut dyn Policy, seed: u64) -> Score {
    let left = jobs.iter().map(|job| job.lengths.clone()).collect();
    let mut pool = Pool { runs: Vec::new(), left, rng: Rng::with_seed(seed) };
    let mut score = Score::default();
    let mut ends: Vec<Option<Millis>> = vec![None; jobs.len()];
    let (mut now, mut arrived) = (0, 0);
    while now < END && (arrived < jobs.len() || ends.contains(&None)) {
        while jobs.get(arrived).is_some_and(|job| job.arrival <= now) {
            policy.submit(now, arrived, &jobs[arrived]);
            arrived += 1;
        }
        let (ended, waste) = pool.end(now, jobs);
        score.waste += waste;
        for end in ended.iter().filter(|end| end.done) {
            if pool.left[end.run.job].iter().all(|left| *left == 0) {
                ends[end.run.job] = Some(now);
            }
        }
        for order in policy.decide(now, &ended, &pool) {
            pool.apply(now, order, jobs);
        }
        now += TICK;
    }
    for (job, end) in jobs.iter().zip(ends) {
        score.count(job, end);
    }
    score
}
