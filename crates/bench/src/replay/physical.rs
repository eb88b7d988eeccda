use std::cmp::Reverse;
use std::collections::BinaryHeap;

use skylarkpulley_placement::{Preemption, usable_accelerators};

use super::{EventList, Measures, Millis};

/// Time to hold and to commit on agents that need not evict.
const HOLD: Millis = 10;
const START: Millis = 200;
/// A checkpoint takes this long within the grace period of 2 s.
const CHECKPOINT: Millis = 1500;
/// Loading a checkpoint when a task continues.
const RESTART: Millis = 10_000;
/// Checkpointable tasks write a checkpoint this often, for failures.
const PERIOD: Millis = 600_000;
const SICK_RUN: Millis = 1000;

/// What a scheduler wants done.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start all members as soon as the accelerators are free.
    Start {
        /// Index of the job.
        job: usize,
        /// Epoch of the try.
        epoch: u64,
        /// Workers of the members.
        workers: Vec<usize>,
    },
    /// Give up a try that has not started.
    Release {
        /// Index of the job.
        job: usize,
        /// Epoch of the try.
        epoch: u64,
    },
    /// End a running gang, with or without a checkpoint.
    Stop {
        /// Index of the job.
        job: usize,
        /// Epoch of the gang.
        epoch: u64,
        /// Whether a checkpoint is written.
        checkpoint: bool,
    },
}

/// The side that decides.
pub trait Scheduler {
    /// A job arrives.
    fn arrive(&mut self, job: usize, now: Millis);
    /// A job is cancelled.
    fn cancel(&mut self, job: usize, now: Millis);
    /// The accelerators of a try are held, or evictions are still under way.
    fn held(&mut self, job: usize, epoch: u64, done: bool, now: Millis);
    /// A gang runs.
    fn started(&mut self, job: usize, epoch: u64, now: Millis);
    /// A gang has ended: finished, or failed on a worker, or stopped.
    fn ended(&mut self, job: usize, epoch: u64, end: End, progress: Millis, now: Millis);
    /// A worker leaves or returns.
    fn worker(&mut self, worker: usize, up: bool, now: Millis);
    /// Number of unclaimed instances of the guarantee that the job claims; none when the scheduler
    /// knows no guarantees.
    fn unclaimed(&self, _job: usize) -> Option<usize> {
        None
    }
    /// Decides, and says when to ask again.
    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>);
}

/// How a gang ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is complete.
    Finished,
    /// It failed on this worker.
    Failed(usize),
    /// It was stopped, or lost a worker.
    Stopped,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(usize),
    Cancel(usize),
    Worker(usize, bool),
    Sick(usize, bool),
    Hold(usize, u64),
    Start(usize, u64),
    Finish(usize, u64),
    Fail(usize, u64, usize),
    Stopped(usize, u64, bool),
    Wake,
    Horizon,
}

#[derive(Clone, Debug, Default)]
struct Task {
    epoch: u64,
    workers: Vec<usize>,
    holds: bool,
    running: Option<Millis>,
    progress: Millis,
    restart: Millis,
    first_start: Option<Millis>,
    ended: Option<Millis>,
    arrived: bool,
    cancelled: bool,
    entitled: bool,
}

struct Replay<'a> {
    list: &'a EventList,
    tasks: Vec<Task>,
    up: Vec<bool>,
    sick: Vec<bool>,
    used: Vec<u32>,
    racks: Vec<(usize, usize)>,
    heap: BinaryHeap<Reverse<(Millis, u64, Step)>>,
    sequence: u64,
    measures: Measures,
    last: Millis,
    wake: Option<Millis>,
}

/// Replays `list` against `scheduler` until every job has ended.
pub fn replay(list: &EventList, scheduler: &mut dyn Scheduler) -> Measures {
    let mut racks = Vec::new();
    for (domain, rack, count) in [(0, 0, 3), (0, 1, 1), (1, 2, 3), (1, 3, 1), (2, 4, 3)] {
        racks.extend(std::iter::repeat_n((domain, rack), count));
    }
    let mut replay = Replay {
        list,
        tasks: vec![Task::default(); list.jobs.len()],
        up: vec![true; 11],
        sick: vec![false; 11],
        used: vec![0; 11],
        racks,
        heap: BinaryHeap::new(),
        sequence: 0,
        measures: Measures::default(),
        last: 0,
        wake: None,
    };
    replay.run(scheduler);
    replay.measures.finish();
    replay.measures
}

impl Replay<'_> {
    fn push(&mut self, at: Millis, step: Step) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, step)));
    }

    fn run(&mut self, scheduler: &mut dyn Scheduler) {
        for (ix, job) in self.list.jobs.iter().enumerate() {
            self.push(job.arrival, Step::Arrive(ix));
            if let Some(at) = job.cancel {
                self.push(at, Step::Cancel(ix));
            }
        }
        for (at, worker, up) in &self.list.losses {
            self.push(*at, Step::Worker(*worker, *up));
        }
        for (at, worker, sick) in &self.list.sickness {
            self.push(*at, Step::Sick(*worker, *sick));
        }
        self.push(self.list.horizon, Step::Horizon);
        // Ten days; reached only when a scheduler never finishes its jobs.
        let limit = self.list.horizon * 10;
        while let Some(Reverse((now, _, step))) = self.heap.pop() {
            if now > limit {
                break;
            }
            self.measure(now);
            self.step(step, now, scheduler);
            while self.heap.peek().is_some_and(|Reverse((at, _, _))| *at == now) {
                let Some(Reverse((_, _, step))) = self.heap.pop() else { break };
                self.step(step, now, scheduler);
            }
            let (orders, wake) = scheduler.decide(now);
            for order in orders {
                self.carry_out(order, now, scheduler);
            }
            if let Some(wake) = wake.map(|wake| wake.max(now + 1))
                && self.wake.is_none_or(|planned| planned <= now || wake < planned)
            {
                self.wake = Some(wake);
                self.push(wake, Step::Wake);
            }
            if now >= self.list.horizon && self.tasks.iter().all(|task| task.ended.is_some()) {
                break;
            }
        }
        self.record();
    }

    /// Adds the time since the last step to the averages.
    fn measure(&mut self, now: Millis) {
        let until = now.min(self.list.horizon);
        if until <= self.last {
            return;
        }
        let span = (until - self.last) as f64;
        self.last = until;
        let workers = 0..self.used.len();
        let free: Vec<(usize, usize, u32)> = workers
            .filter(|ix| self.up[*ix])
            .map(|ix| (self.racks[ix].0, self.racks[ix].1, 8 - self.used[ix]))
            .collect();
        let unused: u32 = free.iter().map(|(_, _, free)| free).sum();
        let waiting = self.tasks.iter().zip(&self.list.jobs);
        let waiting = waiting
            .filter(|(task, _)| task.arrived && task.ended.is_none() && task.workers.is_empty())
            .map(|(_, job)| job.shape)
            .max_by_key(|shape| shape.total());
        let pair = skylarkpulley_types::Shape::new(8, 2, skylarkpulley_types::Locality::Rack);
        if unused > 0 {
            let usable = usable_accelerators(&free, waiting.unwrap_or(pair));
            self.measures.fragmentation += span * (1.0 - usable as f64 / f64::from(unused));
        }
        self.measures.span += span;
        self.measures.busy += span * f64::from(self.used.iter().sum::<u32>()) / 88.0;
    }

    fn current(&self, job: usize, epoch: u64) -> bool {
        let task = &self.tasks[job];
        task.epoch == epoch && !task.workers.is_empty()
    }

    fn step(&mut self, step: Step, now: Millis, scheduler: &mut dyn Scheduler) {
        match step {
            Step::Arrive(job) => {
                self.tasks[job].arrived = true;
                self.tasks[job].entitled = self.is_entitled(job, scheduler.unclaimed(job));
                scheduler.arrive(job, now);
            }
            Step::Cancel(job) if self.tasks[job].ended.is_none() => {
                self.tasks[job].cancelled = true;
                scheduler.cancel(job, now);
                if self.tasks[job].workers.is_empty() {
                    self.tasks[job].ended = Some(now);
                }
            }
            Step::Worker(worker, up) => self.change(worker, up, now, scheduler),
            Step::Sick(worker, sick) => self.sick[worker] = sick,
            Step::Hold(job, epoch) if self.current(job, epoch) => {
                let size = self.list.jobs[job].shape.accelerators;
                let task = &self.tasks[job];
                let done = task.workers.iter().all(|worker| self.used[*worker] + size <= 8);
                scheduler.held(job, epoch, done, now);
                if !done {
                    return self.push(now + 100, Step::Hold(job, epoch));
                }
                for worker in &self.tasks[job].workers {
                    self.used[*worker] += size;
                }
                self.tasks[job].holds = true;
                self.push(now + START, Step::Start(job, epoch));
            }
            Step::Start(job, epoch) if self.current(job, epoch) => {
                let task = &mut self.tasks[job];
                task.running = Some(now);
                task.first_start.get_or_insert(now);
                task.restart = if task.progress > 0 { RESTART } else { 0 };
                let left = self.list.jobs[job].actual - task.progress + task.restart;
                let sick = task.workers.iter().copied().find(|worker| self.sick[*worker]);
                scheduler.started(job, epoch, now);
                match sick {
                    Some(worker) => self.push(now + SICK_RUN, Step::Fail(job, epoch, worker)),
                    None => self.push(now + left, Step::Finish(job, epoch)),
                }
            }
            Step::Finish(job, epoch) if self.current(job, epoch) => {
                let progress = self.list.jobs[job].actual;
                self.release(job);
                self.tasks[job].ended = Some(now);
                scheduler.ended(job, epoch, End::Finished, progress, now);
            }
            Step::Fail(job, epoch, worker) if self.current(job, epoch) => {
                self.lose(job, now, false);
                self.release(job);
                let progress = self.tasks[job].progress;
                scheduler.ended(job, epoch, End::Failed(worker), progress, now);
            }
            Step::Stopped(job, epoch, checkpoint) if self.current(job, epoch) => {
                self.lose(job, now, checkpoint);
                self.release(job);
                if self.tasks[job].cancelled {
                    self.tasks[job].ended = Some(now);
                }
                let progress = self.tasks[job].progress;
                scheduler.ended(job, epoch, End::Stopped, progress, now);
            }
            _ => {}
        }
    }

    fn change(&mut self, worker: usize, up: bool, now: Millis, scheduler: &mut dyn Scheduler) {
        self.up[worker] = up;
        scheduler.worker(worker, up, now);
        if up {
            return;
        }
        for job in 0..self.tasks.len() {
            if self.tasks[job].workers.contains(&worker) {
                let epoch = self.tasks[job].epoch;
                if self.tasks[job].running.is_some() {
                    self.lose(job, now, false);
                }
                self.release(job);
                let progress = self.tasks[job].progress;
                scheduler.ended(job, epoch, End::Stopped, progress, now);
            }
        }
    }

    /// Books the progress of a run that ends early, and what is lost of it.
    fn lose(&mut self, job: usize, now: Millis, checkpoint: bool) {
        let able = self.list.jobs[job].preemption == Preemption::Checkpoint;
        let size = u64::from(self.list.jobs[job].shape.total());
        let task = &mut self.tasks[job];
        let Some(start) = task.running else { return };
        let ran = (now - start).saturating_sub(task.restart);
        let kept = match (able, checkpoint) {
            (true, true) => ran,
            (true, false) => ran / PERIOD * PERIOD,
            (false, _) => 0,
        };
        let limit = self.list.jobs[job].actual.saturating_sub(1);
        if !task.cancelled {
            self.measures.lost += ((now - start).saturating_sub(kept) * size) as f64 / 1000.0;
        }
        task.progress = (task.progress + kept).min(limit);
    }

    fn release(&mut self, job: usize) {
        let size = self.list.jobs[job].shape.accelerators;
        let task = &mut self.tasks[job];
        for worker in std::mem::take(&mut task.workers) {
            if task.holds {
                self.used[worker] -= size;
            }
        }
        task.holds = false;
        task.running = None;
    }

    fn carry_out(&mut self, order: Order, now: Millis, scheduler: &mut dyn Scheduler) {
        match order {
            Order::Start { job, epoch, workers } => {
                assert!(self.tasks[job].workers.is_empty(), "job {job} is placed twice");
                self.tasks[job].epoch = epoch;
                self.tasks[job].workers = workers;
                self.push(now + HOLD, Step::Hold(job, epoch));
            }
            Order::Release { job, epoch } if self.current(job, epoch) => {
                self.release(job);
                if self.tasks[job].cancelled {
                    self.tasks[job].ended = Some(now);
                }
            }
            Order::Stop { job, epoch, checkpoint } if self.current(job, epoch) => {
                let able = self.list.jobs[job].preemption == Preemption::Checkpoint;
                let after = if checkpoint && able { CHECKPOINT } else { 50 };
                self.push(now + after, Step::Stopped(job, epoch, checkpoint && able));
            }
            Order::Stop { job, epoch, .. } => {
                let progress = self.tasks[job].progress;
                scheduler.ended(job, epoch, End::Stopped, progress, now);
            }
            Order::Release { .. } => {}
        }
    }

    /// Reports whether an instance is left for the claim: more are unclaimed than earlier claims
    /// wait, or, for a scheduler without guarantees, more exist than claims are open.
    fn is_entitled(&self, job: usize, unclaimed: Option<usize>) -> bool {
        let claim = self.list.jobs[job].claim;
        let tasks = self.tasks.iter().zip(&self.list.jobs).enumerate();
        let open = tasks.filter(|(ix, (task, other))| {
            let counts = unclaimed.is_none() || task.workers.is_empty();
            *ix != job && other.claim == claim && task.arrived && task.ended.is_none() && counts
        });
        open.count() < unclaimed.unwrap_or(if claim == Some("half") { 2 } else { 1 })
    }

    fn record(&mut self) {
        for (task, job) in self.tasks.iter().zip(&self.list.jobs) {
            if task.cancelled {
                continue;
            }
            let Some(ended) = task.ended else {
                self.measures.unfinished += 1;
                continue;
            };
            let time = ended - job.arrival;
            self.measures.times.push((job.class, time as f64 / 1000.0));
            self.measures.slowdowns.push(time as f64 / job.actual.max(10_000) as f64);
            let wait = task.first_start.map_or(time, |start| start - job.arrival);
            if job.shape.total() >= 24 {
                self.measures.large_waits.push(wait as f64 / 1000.0);
            }
            if job.claim.is_some() && task.entitled {
                self.measures.claim_waits.push(wait as f64 / 1000.0);
            }
        }
    }
}
