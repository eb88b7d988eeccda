use std::collections::BTreeMap;
use std::rc::Rc;

use skylarkpulley_jobs::Resources;

use super::{Ended, JobPlan, Millis, Order, Policy, Pool};

/// How a simple policy places work. None of them stops anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// By class and arrival; what does not fit is passed over.
    FirstFit,
    /// The same, but the first job that does not fit gets a reservation from the estimates, and others
    /// start only where they do not delay it (EASY backfill).
    Easy,
}

/// A simple policy to compare with.
pub struct Baseline {
    jobs: BTreeMap<usize, Rc<JobPlan>>,
    rule: Rule,
    /// Tasks that wait, by class, arrival and number of the job.
    waiting: BTreeMap<(u8, Millis, usize), Vec<usize>>,
}

/// Workers that are kept for the first blocked job, and until when others may use them.
struct Reserved {
    until: Millis,
    workers: Vec<usize>,
}

impl Baseline {
    /// Returns the policy without jobs.
    pub fn new(rule: Rule) -> Self {
        Self { jobs: BTreeMap::new(), rule, waiting: BTreeMap::new() }
    }

    fn reserve(&self, now: Millis, tasks: &[usize], job: &JobPlan, pool: &Pool) -> Reserved {
        let mut ends: Vec<(Millis, usize, Resources)> = pool
            .runs
            .iter()
            .map(|run| {
                let estimate = self.jobs.get(&run.job).map_or(0, |job| job.estimate);
                ((run.since + estimate).max(now), run.worker, run.room)
            })
            .collect();
        ends.sort_by_key(|(at, worker, _)| (*at, *worker));
        let mut free = pool.free();
        let count = if job.gang { tasks.len() } else { 1 };
        for (until, worker, room) in ends {
            free[worker].add(&room);
            if let Some(workers) = fit(&free, &job.room, count, |_| true) {
                return Reserved { until, workers };
            }
        }
        Reserved { until: now, workers: Vec::new() }
    }
}

impl Policy for Baseline {
    fn submit(&mut self, _now: Millis, number: usize, job: &JobPlan) {
        let tasks = (0..job.lengths.len()).collect();
        self.waiting.insert((job.class, job.arrival, number), tasks);
        self.jobs.insert(number, Rc::new(job.clone()));
    }

    fn decide(&mut self, now: Millis, _ended: &[Ended], pool: &Pool) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut free = pool.free();
        let mut reserved: Option<Reserved> = None;
        for ((_, _, number), mut tasks) in std::mem::take(&mut self.waiting) {
            let job = Rc::clone(&self.jobs[&number]);
            while !tasks.is_empty() {
                let count = if job.gang { tasks.len() } else { 1 };
                let open = |worker: usize| {
                    reserved.as_ref().is_none_or(|reserved| {
                        !reserved.workers.contains(&worker) || now + job.estimate <= reserved.until
                    })
                };
                let Some(workers) = fit(&free, &job.room, count, open) else {
                    if self.rule == Rule::Easy && reserved.is_none() {
                        reserved = Some(self.reserve(now, &tasks, &job, pool));
                    }
                    break;
                };
                for (index, worker) in tasks.drain(..count).zip(workers) {
                    free[worker].subtract(&job.room);
                    orders.push(Order::Start { job: number, index, worker });
                }
            }
            if !tasks.is_empty() {
                self.waiting.insert((job.class, job.arrival, number), tasks);
            }
        }
        orders
    }
}

/// Returns the first workers with room for `count` tasks.
fn fit(
    free: &[Resources],
    need: &Resources,
    count: usize,
    open: impl Fn(usize) -> bool,
) -> Option<Vec<usize>> {
    let mut chosen = Vec::new();
    for (worker, room) in free.iter().enumerate().filter(|(worker, _)| open(*worker)) {
        let mut left = *room;
        while chosen.len() < count && left.fits(need) {
            left.subtract(need);
            chosen.push(worker);
        }
    }
    (chosen.len() == count).then_some(chosen)
}
