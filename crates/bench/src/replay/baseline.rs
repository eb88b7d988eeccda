use skylarkpulley_types::{Locality, Shape};

use super::physical::{EndKind, Order, Scheduler};
use super::{EventList, Millis};

/// How a baseline orders and places jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// First come, first served, on the first workers that fit; the first job that does not fit
    /// blocks the jobs behind it.
    FirstFit,
    /// Like `FirstFit`, on the fitting workers with the fewest free accelerators.
    BestFit,
    /// Like `BestFit`, with a reservation for the first blocked job, computed from the declared run
    /// times; other jobs may start if they do not delay it (EASY backfill).
    Easy,
}

struct Running {
    job: usize,
    workers: Vec<usize>,
    end: Millis,
}

/// A baseline without guarantees, classes or preemption. It treats claims as ordinary jobs.
pub struct Baseline<'a> {
    rule: Rule,
    list: &'a EventList,
    queue: Vec<usize>,
    running: Vec<Running>,
    up: Vec<bool>,
    orders: Vec<Order>,
    epoch: u64,
}

impl<'a> Baseline<'a> {
    /// Failure domain and rack of each worker.
    const RACKS: [(usize, usize); 11] =
        [(0, 0), (0, 0), (0, 0), (0, 1), (1, 2), (1, 2), (1, 2), (1, 3), (2, 4), (2, 4), (2, 4)];

    /// Returns a baseline for the pool of the replay, in which all workers are up.
    pub fn new(rule: Rule, list: &'a EventList) -> Self {
        let up = vec![true; Self::RACKS.len()];
        Self {
            rule,
            list,
            queue: Vec::new(),
            running: Vec::new(),
            up,
            orders: Vec::new(),
            epoch: 0,
        }
    }

    fn free(&self, at: Millis) -> Vec<u32> {
        let mut free: Vec<u32> = self.up.iter().map(|up| if *up { 8 } else { 0 }).collect();
        for running in self.running.iter().filter(|running| running.end > at) {
            for worker in &running.workers {
                let size = self.list.jobs[running.job].shape.accelerators;
                free[*worker] = free[*worker].saturating_sub(size);
            }
        }
        free
    }

    fn choose(&self, shape: Shape, free: &[u32]) -> Option<Vec<usize>> {
        let locality_group = |index: usize| match shape.locality {
            _ if shape.workers == 1 => 0,
            Locality::Pool => 0,
            Locality::Domain => Self::RACKS[index].0,
            _ => Self::RACKS[index].1,
        };
        let fitting: Vec<usize> =
            (0..free.len()).filter(|index| free[*index] >= shape.accelerators).collect();
        let mut best: Option<(u32, Vec<usize>)> = None;
        for group in fitting.chunk_by(|a, b| locality_group(*a) == locality_group(*b)) {
            if group.len() < shape.workers as usize {
                continue;
            }
            let mut group = group.to_vec();
            if self.rule != Rule::FirstFit {
                group.sort_by_key(|index| free[*index]);
            }
            let group_capacity = group.len() as u32 * 8;
            group.truncate(shape.workers as usize);
            if self.rule == Rule::FirstFit {
                return Some(group);
            }
            let cost: u32 = group.iter().map(|index| free[*index]).sum::<u32>() + group_capacity;
            if best.as_ref().is_none_or(|(lowest_cost, _)| cost < *lowest_cost) {
                best = Some((cost, group));
            }
        }
        best.map(|(_, workers)| workers)
    }

    fn start(&mut self, job: usize, workers: Vec<usize>, now: Millis) {
        self.epoch += 1;
        self.queue.retain(|other| *other != job);
        let end = now + self.list.jobs[job].declared_duration;
        self.orders.push(Order::Start { job, epoch: self.epoch, workers: workers.clone() });
        self.running.push(Running { job, workers, end });
    }

    /// Returns the time at which the first blocked job can start, its workers, and the accelerators
    /// that then remain free on each worker.
    fn reserve(&self, shape: Shape, now: Millis) -> Option<(Millis, Vec<usize>, Vec<u32>)> {
        let mut ends: Vec<Millis> = self.running.iter().map(|running| running.end).collect();
        ends.push(now);
        ends.sort_unstable();
        ends.into_iter().find_map(|end| {
            let mut free = self.free(end);
            let workers = self.choose(shape, &free)?;
            for worker in &workers {
                free[*worker] -= shape.accelerators;
            }
            Some((end, workers, free))
        })
    }
}

impl Scheduler for Baseline<'_> {
    fn on_arrival(&mut self, job: usize, _: Millis) {
        self.queue.push(job);
    }

    fn on_cancel(&mut self, job: usize, _: Millis) {
        self.queue.retain(|other| *other != job);
        if self.running.iter().any(|running| running.job == job) {
            for epoch in 0..=self.epoch {
                self.orders.push(Order::Release { job, epoch });
            }
            self.running.retain(|running| running.job != job);
        }
    }

    fn on_hold_result(&mut self, _: usize, _: u64, _: bool, _: Millis) {}

    fn on_start(&mut self, _: usize, _: u64, _: Millis) {}

    fn on_end(&mut self, job: usize, _: u64, end: EndKind, _: Millis, _: Millis) {
        self.running.retain(|running| running.job != job);
        if end != EndKind::Finished {
            self.queue.push(job);
        }
    }

    fn on_worker_change(&mut self, worker: usize, up: bool, _: Millis) {
        self.up[worker] = up;
    }

    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>) {
        // A job that has exceeded its declared run time is expected to end within a minute.
        for running in &mut self.running {
            running.end = running.end.max(now + 60_000);
        }
        while let Some(job) = self.queue.first().copied() {
            let Some(workers) = self.choose(self.list.jobs[job].shape, &self.free(now)) else {
                break;
            };
            self.start(job, workers, now);
        }
        if self.rule == Rule::Easy
            && let Some(first) = self.queue.first().copied()
            && let Some((reserved_start, reserved_workers, mut spare)) =
                self.reserve(self.list.jobs[first].shape, now)
        {
            let others: Vec<usize> = self.queue.iter().skip(1).copied().collect();
            for job in others {
                let candidate = &self.list.jobs[job];
                let overlaps = now + candidate.declared_duration > reserved_start;
                let mut free = self.free(now);
                for worker in reserved_workers.iter().filter(|_| overlaps) {
                    free[*worker] = free[*worker].min(spare[*worker]);
                }
                if let Some(workers) = self.choose(candidate.shape, &free) {
                    for worker in workers.iter().filter(|_| overlaps) {
                        spare[*worker] =
                            spare[*worker].saturating_sub(candidate.shape.accelerators);
                    }
                    self.start(job, workers, now);
                }
            }
        }
        (std::mem::take(&mut self.orders), None)
    }
}
