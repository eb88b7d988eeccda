use std::collections::BTreeMap;
use std::rc::Rc;

use skylarkpulley_jobs::Resources;

use super::{EndedRun, JobPlan, Millis, Order, Policy, Pool};

/// How a simple policy places tasks. No rule stops a running task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Tasks start in the order of class and arrival; jobs that do not fit are skipped.
    FirstFit,
    /// Like `FirstFit`, but the first job that does not fit gets a reservation computed from the
    /// estimates, and other jobs start only where they do not delay it (EASY backfill).
    Easy,
}

/// A simple policy with which the coordinator is compared.
pub struct Baseline {
    jobs: BTreeMap<usize, Rc<JobPlan>>,
    rule: Rule,
    /// Indices of the waiting tasks, by class, arrival and number of their job.
    waiting: BTreeMap<(u8, Millis, usize), Vec<usize>>,
}

/// Workers that are reserved for the first blocked job, and the estimated start of that job. Other
/// tasks may use the workers if they end by then.
struct Reservation {
    until: Millis,
    workers: Vec<usize>,
}

impl Baseline {
    /// Returns a policy without jobs.
    pub fn new(rule: Rule) -> Self {
        Self { jobs: BTreeMap::new(), rule, waiting: BTreeMap::new() }
    }

    fn reserve(&self, now: Millis, tasks: &[usize], job: &JobPlan, pool: &Pool) -> Reservation {
        let mut run_ends: Vec<(Millis, usize, Resources)> = pool
            .runs
            .iter()
            .map(|run| {
                let estimate = self.jobs.get(&run.job).map_or(0, |job| job.estimate);
                ((run.start + estimate).max(now), run.worker, run.resources)
            })
            .collect();
        run_ends.sort_by_key(|(end, worker, _)| (*end, *worker));
        let mut free = pool.free();
        let count = if job.gang { tasks.len() } else { 1 };
        for (until, worker, resources) in run_ends {
            free[worker].add(&resources);
            if let Some(workers) = first_fit(&free, &job.resources, count, |_| true) {
                return Reservation { until, workers };
            }
        }
        Reservation { until: now, workers: Vec::new() }
    }
}

impl Policy for Baseline {
    fn submit(&mut self, _now: Millis, number: usize, job: &JobPlan) {
        let tasks = (0..job.lengths.len()).collect();
        self.waiting.insert((job.class, job.arrival, number), tasks);
        self.jobs.insert(number, Rc::new(job.clone()));
    }

    fn decide(&mut self, now: Millis, ended: &[EndedRun], pool: &Pool) -> Vec<Order> {
        for end in ended.iter().filter(|end| !end.done) {
            let job = &self.jobs[&end.run.job];
            let key = (job.class, job.arrival, end.run.job);
            self.waiting.entry(key).or_default().push(end.run.index);
        }
        let mut orders = Vec::new();
        let mut free = pool.free();
        let mut reservation: Option<Reservation> = None;
        for ((_, _, number), mut tasks) in std::mem::take(&mut self.waiting) {
            let job = Rc::clone(&self.jobs[&number]);
            while !tasks.is_empty() {
                let count = if job.gang { tasks.len() } else { 1 };
                let usable = |worker: usize| {
                    reservation.as_ref().is_none_or(|reservation| {
                        !reservation.workers.contains(&worker)
                            || now + job.estimate <= reservation.until
                    })
                };
                let Some(workers) = first_fit(&free, &job.resources, count, usable) else {
                    if self.rule == Rule::Easy && reservation.is_none() {
                        reservation = Some(self.reserve(now, &tasks, &job, pool));
                    }
                    break;
                };
                for (index, worker) in tasks.drain(..count).zip(workers) {
                    free[worker].subtract(&job.resources);
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

/// Returns the first workers with free resources for `count` tasks.
fn first_fit(
    free: &[Resources],
    needed: &Resources,
    count: usize,
    usable: impl Fn(usize) -> bool,
) -> Option<Vec<usize>> {
    let mut selected = Vec::new();
    for (worker, resources) in free.iter().enumerate().filter(|(worker, _)| usable(*worker)) {
        let mut remaining = *resources;
        while selected.len() < count && remaining.fits(needed) {
            remaining.subtract(needed);
            selected.push(worker);
        }
    }
    (selected.len() == count).then_some(selected)
}
