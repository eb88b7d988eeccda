use std::collections::BTreeMap;
use std::time::Duration;

use super::{Coordinator, Timestamp};
use crate::Normal;

/// An evacuated failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainSummary {
    /// Name of the failure domain.
    pub domain: String,
    /// Number of runs that still go on there.
    pub runs: usize,
    /// Number of its workers.
    pub workers: usize,
}

/// State of a worker as the coordinator knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSummary {
    /// Total number of accelerators.
    pub accelerators: i64,
    /// Accelerators of runs outside a guarantee.
    pub borrowed: i64,
    /// Failure domain.
    pub domain: String,
    /// Accelerators of runs within a guarantee.
    pub guaranteed: i64,
    /// Id of the worker.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// Rack.
    pub rack: String,
    /// Time that runs take there, in percent of the usual time, and the standard deviation of its
    /// logarithm in hundredths; `None` if nothing is known.
    pub slowness: Option<(u32, u32)>,
    /// `serving`, `draining`, `evacuated`, `quarantined` or `silent`.
    pub state: &'static str,
}

/// Jobs of one team on one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueSummary {
    /// Accelerators of its runs.
    pub accelerators: i64,
    /// Time since the oldest waiting job was accepted.
    pub oldest: Duration,
    /// Pool.
    pub pool: String,
    /// Route.
    pub route: String,
    /// Team.
    pub team: String,
    /// Number of jobs without a started task.
    pub waiting: u32,
}

/// State of the queues and the workers, for operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Evacuated failure domains.
    pub evacuated: Vec<DomainSummary>,
    /// Version of the store at which their set was read.
    pub evacuated_version: u64,
    /// Queues by route and team.
    pub queues: Vec<QueueSummary>,
    /// Workers by id.
    pub workers: Vec<WorkerSummary>,
}

impl Coordinator {
    /// Returns the current state of the queues and the workers.
    pub fn summary(&self, now: Timestamp) -> Summary {
        Summary {
            evacuated: self.domain_summaries(),
            evacuated_version: self.tables.evacuated.version,
            queues: self.queue_summaries(now),
            workers: self.worker_summaries(now),
        }
    }

    fn worker_summaries(&self, now: Timestamp) -> Vec<WorkerSummary> {
        let guaranteed_jobs = self.guaranteed();
        let reported = self.fleet.workers.iter().filter(|(_, worker)| worker.has_reported);
        reported
            .map(|(id, worker)| {
                let accelerators_used = |guaranteed: bool| {
                    let runs = worker.runs.keys();
                    let runs =
                        runs.filter(|task| guaranteed_jobs.contains(&task.job) == guaranteed);
                    runs.filter_map(|task| Some(self.jobs.get(&task.job)?.resources(task.key.step)))
                        .map(|resources| resources.accelerators)
                        .sum()
                };
                let state = if !worker.has_session || !worker.is_reached {
                    "silent"
                } else if worker.status.draining {
                    "draining"
                } else if worker.evacuated {
                    "evacuated"
                } else if !worker.health.is_usable(now.monotonic) {
                    "quarantined"
                } else {
                    "serving"
                };
                WorkerSummary {
                    accelerators: worker.status.resources.accelerators,
                    borrowed: accelerators_used(false),
                    domain: worker.status.domain.clone(),
                    guaranteed: accelerators_used(true),
                    id: id.clone(),
                    pool: worker.status.pool.clone(),
                    rack: worker.status.rack.clone(),
                    slowness: self.known_slowness(now, id),
                    state,
                }
            })
            .collect()
    }

    fn known_slowness(&self, now: Timestamp, worker: &str) -> Option<(u32, u32)> {
        let slowness = self.run_times.slowness(worker, now.monotonic);
        let is_known = slowness != Normal::unknown_slowness();
        // Casts from floats saturate.
        let hundredths = |value: f64| (value * 100.0).round() as u32;
        is_known.then(|| (hundredths(slowness.mean.exp()), hundredths(slowness.deviation())))
    }

    /// Returns the number of workers that are slow beyond doubt.
    pub fn slow_workers(&self, now: Timestamp) -> usize {
        let slowness = |id: &String| self.run_times.slowness(id, now.monotonic);
        self.fleet.workers.keys().filter(|id| slowness(id).is_slow()).count()
    }

    fn queue_summaries(&self, now: Timestamp) -> Vec<QueueSummary> {
        let mut queues: BTreeMap<(&str, &str), QueueSummary> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| !entry.is_ended()) {
            let job = &entry.job;
            let queue = queues.entry((&job.route, &job.team)).or_insert_with(|| QueueSummary {
                accelerators: 0,
                oldest: Duration::ZERO,
                pool: job.pool.clone(),
                route: job.route.clone(),
                team: job.team.clone(),
                waiting: 0,
            });
            let runs = entry.placements();
            queue.accelerators +=
                runs.map(|(task, _)| entry.resources(task.key.step).accelerators).sum::<i64>();
            if !entry.started {
                queue.waiting += 1;
                let age = Duration::from_millis(now.wall_ms.saturating_sub(job.accepted_ms));
                queue.oldest = queue.oldest.max(age);
            }
        }
        queues.into_values().collect()
    }
}
