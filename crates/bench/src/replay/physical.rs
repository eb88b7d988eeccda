use std::cmp::Reverse;
use std::collections::BinaryHeap;

use skylarkpulley_placement::{Preemption, usable_accelerators};

use super::{EventList, Measures, Millis};

/// Time until the agents answer a hold for which they need not evict.
const HOLD_DELAY: Millis = 10;
/// Time from the hold to the start of the committed gang, without evictions.
const START_DELAY: Millis = 200;
/// Time to write a checkpoint; it is within the grace period of 2 s.
const CHECKPOINT_TIME: Millis = 1500;
/// Time to load a checkpoint when a task continues.
const RESTART_TIME: Millis = 10_000;
/// Interval at which checkpointable tasks write a checkpoint, from which they continue after a
/// failure.
const CHECKPOINT_PERIOD: Millis = 600_000;
/// Time after which a gang fails on a faulty worker.
const FAULTY_RUN_TIME: Millis = 1000;

/// An order of a scheduler.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start all members of a gang as soon as the accelerators are free.
    Start {
        /// Index of the job.
        job: usize,
        /// Epoch of the placement.
        epoch: u64,
        /// Workers of the members.
        workers: Vec<usize>,
    },
    /// Withdraw a placement whose gang has not started.
    Release {
        /// Index of the job.
        job: usize,
        /// Epoch of the placement.
        epoch: u64,
    },
    /// Stop a running gang, with or without a checkpoint.
    Stop {
        /// Index of the job.
        job: usize,
        /// Epoch of the gang.
        epoch: u64,
        /// Whether a checkpoint is written.
        checkpoint: bool,
    },
}

/// A scheduler, which decides where and when jobs run.
pub trait Scheduler {
    /// Handles the arrival of a job.
    fn on_arrival(&mut self, job: usize, now: Millis);
    /// Handles the cancellation of a job.
    fn on_cancel(&mut self, job: usize, now: Millis);
    /// Handles the result of a hold: all accelerators of the placement are held, or `complete` is
    /// false and gangs are still being evicted.
    fn on_hold_result(&mut self, job: usize, epoch: u64, complete: bool, now: Millis);
    /// Handles the start of a gang.
    fn on_start(&mut self, job: usize, epoch: u64, now: Millis);
    /// Handles the end of a gang; `progress` is the run time that need not be repeated.
    fn on_end(&mut self, job: usize, epoch: u64, end: EndKind, progress: Millis, now: Millis);
    /// Handles the loss or the return of a worker.
    fn on_worker_change(&mut self, worker: usize, up: bool, now: Millis);
    /// Returns the number of unclaimed instances of the guarantee that the job claims, or `None` if
    /// the scheduler does not support guarantees.
    fn unclaimed_instances(&self, _job: usize) -> Option<usize> {
        None
    }
    /// Returns the orders that are due at `now`, and the time of the next decision if no event
    /// occurs earlier.
    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>);
}

/// How a gang ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It completed its work.
    Finished,
    /// It failed on the worker with this index.
    Failed(usize),
    /// It was stopped, or one of its workers was lost.
    Stopped,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(usize),
    Cancel(usize),
    Worker(usize, bool),
    Faulty(usize, bool),
    Hold(usize, u64),
    Start(usize, u64),
    Finish(usize, u64),
    Fail(usize, u64, usize),
    Stopped(usize, u64, bool),
    Wake,
    Horizon,
}

#[derive(Clone, Debug, Default)]
struct JobState {
    epoch: u64,
    workers: Vec<usize>,
    /// Whether the gang occupies its accelerators.
    holds_accelerators: bool,
    /// Start of the running gang.
    running_since: Option<Millis>,
    /// Run time that need not be repeated.
    progress: Millis,
    /// Time that the running gang needs to load its checkpoint.
    restart_time: Millis,
    first_start: Option<Millis>,
    ended: Option<Millis>,
    arrived: bool,
    cancelled: bool,
    /// Whether an instance was available to the claim when the job arrived.
    entitled: bool,
}

struct Replay<'a> {
    list: &'a EventList,
    states: Vec<JobState>,
    up: Vec<bool>,
    faulty: Vec<bool>,
    accelerators_used: Vec<u32>,
    /// Failure domain and rack of each worker.
    locations: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Millis, u64, Step)>>,
    sequence: u64,
    measures: Measures,
    measured_until: Millis,
    planned_wake: Option<Millis>,
}

/// Replays `list` against `scheduler` until every job has ended or the time limit is reached.
pub fn replay(list: &EventList, scheduler: &mut dyn Scheduler) -> Measures {
    let mut locations = Vec::new();
    for (domain, rack, count) in [(0, 0, 3), (0, 1, 1), (1, 2, 3), (1, 3, 1), (2, 4, 3)] {
        locations.extend(std::iter::repeat_n((domain, rack), count));
    }
    let mut replay = Replay {
        list,
        states: vec![JobState::default(); list.jobs.len()],
        up: vec![true; 11],
        faulty: vec![false; 11],
        accelerators_used: vec![0; 11],
        locations,
        queue: BinaryHeap::new(),
        sequence: 0,
        measures: Measures::default(),
        measured_until: 0,
        planned_wake: None,
    };
    replay.run(scheduler);
    replay.measures.sort();
    replay.measures
}

impl Replay<'_> {
    fn push(&mut self, at: Millis, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, step)));
    }

    fn run(&mut self, scheduler: &mut dyn Scheduler) {
        for (index, job) in self.list.jobs.iter().enumerate() {
            self.push(job.arrival, Step::Arrive(index));
            if let Some(at) = job.cancellation {
                self.push(at, Step::Cancel(index));
            }
        }
        for (at, worker, up) in &self.list.worker_changes {
            self.push(*at, Step::Worker(*worker, *up));
        }
        for (at, worker, faulty) in &self.list.fault_changes {
            self.push(*at, Step::Faulty(*worker, *faulty));
        }
        self.push(self.list.horizon, Step::Horizon);
        // Ten days for a list of one day; reached only if a scheduler never finishes its jobs.
        let limit = self.list.horizon * 10;
        while let Some(Reverse((now, _, step))) = self.queue.pop() {
            if now > limit {
                break;
            }
            self.integrate(now);
            self.execute(step, now, scheduler);
            while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at == now) {
                let Some(Reverse((_, _, step))) = self.queue.pop() else { break };
                self.execute(step, now, scheduler);
            }
            let (orders, wake) = scheduler.decide(now);
            for order in orders {
                self.apply(order, now, scheduler);
            }
            if let Some(wake) = wake.map(|wake| wake.max(now + 1))
                && self.planned_wake.is_none_or(|planned| planned <= now || wake < planned)
            {
                self.planned_wake = Some(wake);
                self.push(wake, Step::Wake);
            }
            if now >= self.list.horizon && self.states.iter().all(|state| state.ended.is_some()) {
                break;
            }
        }
        self.record_results();
    }

    /// Adds the time since the last step, up to the horizon, to the integrals of the measures.
    fn integrate(&mut self, now: Millis) {
        let until = now.min(self.list.horizon);
        if until <= self.measured_until {
            return;
        }
        let span = (until - self.measured_until) as f64;
        self.measured_until = until;
        let workers = 0..self.accelerators_used.len();
        let free: Vec<(usize, usize, u32)> = workers
            .filter(|index| self.up[*index])
            .map(|index| {
                (
                    self.locations[index].0,
                    self.locations[index].1,
                    8 - self.accelerators_used[index],
                )
            })
            .collect();
        let unused: u32 = free.iter().map(|(_, _, free)| free).sum();
        let waiting = self.states.iter().zip(&self.list.jobs);
        let waiting = waiting
            .filter(|(state, _)| state.arrived && state.ended.is_none() && state.workers.is_empty())
            .map(|(_, job)| job.shape)
            .max_by_key(|shape| shape.total());
        let default_shape =
            skylarkpulley_types::Shape::new(8, 2, skylarkpulley_types::Locality::Rack);
        if unused > 0 {
            let usable = usable_accelerators(&free, waiting.unwrap_or(default_shape));
            self.measures.fragmentation_integral +=
                span * (1.0 - usable as f64 / f64::from(unused));
        }
        self.measures.measured_time += span;
        self.measures.busy_integral +=
            span * f64::from(self.accelerators_used.iter().sum::<u32>()) / 88.0;
    }

    fn is_current(&self, job: usize, epoch: u64) -> bool {
        let state = &self.states[job];
        state.epoch == epoch && !state.workers.is_empty()
    }

    fn execute(&mut self, step: Step, now: Millis, scheduler: &mut dyn Scheduler) {
        match step {
            Step::Arrive(job) => {
                self.states[job].arrived = true;
                self.states[job].entitled =
                    self.is_entitled(job, scheduler.unclaimed_instances(job));
                scheduler.on_arrival(job, now);
            }
            Step::Cancel(job) if self.states[job].ended.is_none() => {
                self.states[job].cancelled = true;
                scheduler.on_cancel(job, now);
                if self.states[job].workers.is_empty() {
                    self.states[job].ended = Some(now);
                }
            }
            Step::Worker(worker, up) => self.change_worker(worker, up, now, scheduler),
            Step::Faulty(worker, faulty) => self.faulty[worker] = faulty,
            Step::Hold(job, epoch) if self.is_current(job, epoch) => {
                let size = self.list.jobs[job].shape.accelerators;
                let state = &self.states[job];
                let complete =
                    state.workers.iter().all(|worker| self.accelerators_used[*worker] + size <= 8);
                scheduler.on_hold_result(job, epoch, complete, now);
                if !complete {
                    return self.push(now + 100, Step::Hold(job, epoch));
                }
                for worker in &self.states[job].workers {
                    self.accelerators_used[*worker] += size;
                }
                self.states[job].holds_accelerators = true;
                self.push(now + START_DELAY, Step::Start(job, epoch));
            }
            Step::Start(job, epoch) if self.is_current(job, epoch) => {
                let state = &mut self.states[job];
                state.running_since = Some(now);
                state.first_start.get_or_insert(now);
                state.restart_time = if state.progress > 0 { RESTART_TIME } else { 0 };
                let remaining =
                    self.list.jobs[job].actual_duration - state.progress + state.restart_time;
                let faulty = state.workers.iter().copied().find(|worker| self.faulty[*worker]);
                scheduler.on_start(job, epoch, now);
                match faulty {
                    Some(worker) => {
                        self.push(now + FAULTY_RUN_TIME, Step::Fail(job, epoch, worker))
                    }
                    None => self.push(now + remaining, Step::Finish(job, epoch)),
                }
            }
            Step::Finish(job, epoch) if self.is_current(job, epoch) => {
                let progress = self.list.jobs[job].actual_duration;
                self.release(job);
                self.states[job].ended = Some(now);
                scheduler.on_end(job, epoch, EndKind::Finished, progress, now);
            }
            Step::Fail(job, epoch, worker) if self.is_current(job, epoch) => {
                self.record_interruption(job, now, false);
                self.release(job);
                let progress = self.states[job].progress;
                scheduler.on_end(job, epoch, EndKind::Failed(worker), progress, now);
            }
            Step::Stopped(job, epoch, checkpoint) if self.is_current(job, epoch) => {
                self.record_interruption(job, now, checkpoint);
                self.release(job);
                if self.states[job].cancelled {
                    self.states[job].ended = Some(now);
                }
                let progress = self.states[job].progress;
                scheduler.on_end(job, epoch, EndKind::Stopped, progress, now);
            }
            _ => {}
        }
    }

    fn change_worker(
        &mut self,
        worker: usize,
        up: bool,
        now: Millis,
        scheduler: &mut dyn Scheduler,
    ) {
        self.up[worker] = up;
        scheduler.on_worker_change(worker, up, now);
        if up {
            return;
        }
        for job in 0..self.states.len() {
            if self.states[job].workers.contains(&worker) {
                let epoch = self.states[job].epoch;
                if self.states[job].running_since.is_some() {
                    self.record_interruption(job, now, false);
                }
                self.release(job);
                let progress = self.states[job].progress;
                scheduler.on_end(job, epoch, EndKind::Stopped, progress, now);
            }
        }
    }

    /// Records the progress of a run that ends early, and the accelerator time that is lost.
    fn record_interruption(&mut self, job: usize, now: Millis, checkpoint: bool) {
        let checkpointable = self.list.jobs[job].preemption == Preemption::Checkpoint;
        let size = u64::from(self.list.jobs[job].shape.total());
        let state = &mut self.states[job];
        let Some(start) = state.running_since else { return };
        let run_time = (now - start).saturating_sub(state.restart_time);
        let preserved = match (checkpointable, checkpoint) {
            (true, true) => run_time,
            (true, false) => run_time / CHECKPOINT_PERIOD * CHECKPOINT_PERIOD,
            (false, _) => 0,
        };
        let limit = self.list.jobs[job].actual_duration.saturating_sub(1);
        if !state.cancelled {
            self.measures.lost_work +=
                ((now - start).saturating_sub(preserved) * size) as f64 / 1000.0;
        }
        state.progress = (state.progress + preserved).min(limit);
    }

    fn release(&mut self, job: usize) {
        let size = self.list.jobs[job].shape.accelerators;
        let state = &mut self.states[job];
        for worker in std::mem::take(&mut state.workers) {
            if state.holds_accelerators {
                self.accelerators_used[worker] -= size;
            }
        }
        state.holds_accelerators = false;
        state.running_since = None;
    }

    fn apply(&mut self, order: Order, now: Millis, scheduler: &mut dyn Scheduler) {
        match order {
            Order::Start { job, epoch, workers } => {
                assert!(
                    self.states[job].workers.is_empty(),
                    "job {job} is placed although it already has workers"
                );
                self.states[job].epoch = epoch;
                self.states[job].workers = workers;
                self.push(now + HOLD_DELAY, Step::Hold(job, epoch));
            }
            Order::Release { job, epoch } if self.is_current(job, epoch) => {
                self.release(job);
                if self.states[job].cancelled {
                    self.states[job].ended = Some(now);
                }
            }
            Order::Stop { job, epoch, checkpoint } if self.is_current(job, epoch) => {
                let checkpointable = self.list.jobs[job].preemption == Preemption::Checkpoint;
                let after = if checkpoint && checkpointable { CHECKPOINT_TIME } else { 50 };
                self.push(now + after, Step::Stopped(job, epoch, checkpoint && checkpointable));
            }
            Order::Stop { job, epoch, .. } => {
                let progress = self.states[job].progress;
                scheduler.on_end(job, epoch, EndKind::Stopped, progress, now);
            }
            Order::Release { .. } => {}
        }
    }

    /// Reports whether an instance is available to the claim. That is the case if more instances
    /// are unclaimed than earlier claims are waiting; for a scheduler without guarantees, if more
    /// instances exist than earlier claims are open.
    fn is_entitled(&self, job: usize, unclaimed: Option<usize>) -> bool {
        let claim = self.list.jobs[job].claim;
        let states = self.states.iter().zip(&self.list.jobs).enumerate();
        let open_claims = states.filter(|(index, (state, other))| {
            let competes = unclaimed.is_none() || state.workers.is_empty();
            *index != job
                && other.claim == claim
                && state.arrived
                && state.ended.is_none()
                && competes
        });
        open_claims.count() < unclaimed.unwrap_or(if claim == Some("half") { 2 } else { 1 })
    }

    fn record_results(&mut self) {
        for (state, job) in self.states.iter().zip(&self.list.jobs) {
            if state.cancelled {
                continue;
            }
            let Some(ended) = state.ended else {
                self.measures.unfinished += 1;
                continue;
            };
            let completion_time = ended - job.arrival;
            self.measures.completion_times.push((job.class, completion_time as f64 / 1000.0));
            self.measures
                .slowdowns
                .push(completion_time as f64 / job.actual_duration.max(10_000) as f64);
            let wait = state.first_start.map_or(completion_time, |start| start - job.arrival);
            if job.shape.total() >= 24 {
                self.measures.large_waits.push(wait as f64 / 1000.0);
            }
            if job.claim.is_some() && state.entitled {
                self.measures.claim_waits.push(wait as f64 / 1000.0);
            }
        }
    }
}
