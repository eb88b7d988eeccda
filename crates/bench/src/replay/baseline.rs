use skylarkpulley_types::{Locality, Shape};

use super::physical::{End, Order, Scheduler};
use super::{EventList, Millis};

/// How a baseline orders and places.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// First come first served, first workers that fit; the first job that does not fit blocks.
    FirstFit,
    /// The same with the tightest workers that fit.
    BestFit,
    /// First come first served with a reserved start for the first blocked job, by declared run
    /// times; others may start when they do not delay it. Tightest workers.
    Easy,
}

struct Running {
    job: usize,
    workers: Vec<usize>,
    end: Millis,
}

/// A baseline without guarantees, classes or preemption; claims are ordinary jobs to it.
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
    const RACKS: [(usize, usize); 11] =
        [(0, 0), (0, 0), (0, 0), (0, 1), (1, 2), (1, 2), (1, 2), (1, 3), (2, 4), (2, 4), (2, 4)];

    /// Returns a baseline on the pool of the replay.
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
        let set = |ix: usize| match shape.locality {
            _ if shape.workers == 1 => 0,
            Locality::Pool => 0,
            Locality::Domain => Self::RACKS[ix].0,
            _ => Self::RACKS[ix].1,
        };
        let fit: Vec<usize> =
            (0..free.len()).filter(|ix| free[*ix] >= shape.accelerators).collect();
        let mut best: Option<(u32, Vec<usize>)> = None;
        for all in fit.chunk_by(|a, b| set(*a) == set(*b)) {
            if all.len() < shape.workers as usize {
                continue;
            }
            let mut all = all.to_vec();
            if self.rule != Rule::FirstFit {
                all.sort_by_key(|ix| free[*ix]);
            }
            let spare = all.len() as u32 * 8;
            all.truncate(shape.workers as usize);
            if self.rule == Rule::FirstFit {
                return Some(all);
            }
            let left: u32 = all.iter().map(|ix| free[*ix]).sum::<u32>() + spare;
            if best.as_ref().is_none_or(|(least, _)| left < *least) {
                best = Some((left, all));
            }
        }
        best.map(|(_, workers)| workers)
    }

    fn start(&mut self, job: usize, workers: Vec<usize>, now: Millis) {
        self.epoch += 1;
        self.queue.retain(|other| *other != job);
        let end = now + self.list.jobs[job].declared;
        self.orders.push(Order::Start { job, epoch: self.epoch, workers: workers.clone() });
        self.running.push(Running { job, workers, end });
    }

    /// Returns the time at which the first job can start, its workers, and what stays free there.
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
    fn arrive(&mut self, job: usize, _: Millis) {
        self.queue.push(job);
    }

    fn cancel(&mut self, job: usize, _: Millis) {
        self.queue.retain(|other| *other != job);
        if self.running.iter().any(|running| running.job == job) {
            for epoch in 0..=self.epoch {
                self.orders.push(Order::Release { job, epoch });
            }
            self.running.retain(|running| running.job != job);
        }
    }

    fn held(&mut self, _: usize, _: u64, _: bool, _: Millis) {}

    fn started(&mut self, _: usize, _: u64, _: Millis) {}

    fn ended(&mut self, job: usize, _: u64, end: End, _: Millis, _: Millis) {
        self.running.retain(|running| running.job != job);
        if end != End::Finished {
            self.queue.push(job);
        }
    }

    fn worker(&mut self, worker: usize, up: bool, _: Millis) {
        self.up[worker] = up;
    }

    fn decide(&mut self, now: Millis) -> (Vec<Order>, Option<Millis>) {
        // A job past its declared time is expected to end in a minute.
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
            && let Some((at, held, mut spare)) = self.reserve(self.list.jobs[first].shape, now)
        {
            let others: Vec<usize> = self.queue.iter().skip(1).copied().collect();
            for job in others {
                let wanted = &self.list.jobs[job];
                let late = now + wanted.declared > at;
                let mut free = self.free(now);
                for worker in held.iter().filter(|_| late) {
                    free[*worker] = free[*worker].min(spare[*worker]);
                }
                if let Some(workers) = self.choose(wanted.shape, &free) {
                    for worker in workers.iter().filter(|_| late) {
                        spare[*worker] = spare[*worker].saturating_sub(wanted.shape.accelerators);
                    }
                    self.start(job, workers, now);
                }
            }
        }
        (std::mem::take(&mut self.orders), None)
    }
}
