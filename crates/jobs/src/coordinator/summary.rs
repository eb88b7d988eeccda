use std::collections::BTreeMap;
use std::time::Duration;

use super::{Coordinator, Moment};

/// A worker as the coordinator sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSummary {
    /// Accelerators in all.
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
    /// `serving`, `draining`, `quarantined` or `silent`.
    pub state: &'static str,
}

/// Jobs of one team on one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueSummary {
    /// Accelerators of its runs.
    pub accelerators: i64,
    /// Time since the oldest job that waits was accepted.
    pub oldest: Duration,
    /// Pool.
    pub pool: String,
    /// Route.
    pub route: String,
    /// Team.
    pub team: String,
    /// Jobs of which no task has started.
    pub waiting: u32,
}

/// What a coordinator knows, for operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Queues by route and team.
    pub queues: Vec<QueueSummary>,
    /// Workers by id.
    pub workers: Vec<WorkerSummary>,
}

impl Coordinator {
    /// Returns what is known now.
    pub fn summary(&self, now: Moment) -> Summary {
        Summary { queues: self.queue_summaries(now), workers: self.worker_summaries(now) }
    }

    fn worker_summaries(&self, now: Moment) -> Vec<WorkerSummary> {
        let within = self.guaranteed();
        let known = self.fleet.workers.iter().filter(|(_, worker)| worker.known);
        known
            .map(|(id, worker)| {
                let used = |guaranteed: bool| {
                    let runs = worker.runs.keys();
                    let runs = runs.filter(|task| within.contains(&task.job) == guaranteed);
                    runs.filter_map(|task| Some(self.jobs.get(&task.job)?.resources(task.key.step)))
                        .map(|resources| resources.accelerators)
                        .sum()
                };
                let state = if !worker.session || !worker.reached {
                    "silent"
                } else if worker.status.draining {
                    "draining"
                } else if !worker.health.is_usable(now.at) {
                    "quarantined"
                } else {
                    "serving"
                };
                WorkerSummary {
                    accelerators: worker.status.resources.accelerators,
                    borrowed: used(false),
                    domain: worker.status.domain.clone(),
                    guaranteed: used(true),
                    id: id.clone(),
                    pool: worker.status.pool.clone(),
                    rack: worker.status.rack.clone(),
                    state,
                }
            })
            .collect()
    }

    fn queue_summaries(&self, now: Moment) -> Vec<QueueSummary> {
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
