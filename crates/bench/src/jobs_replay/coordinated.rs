use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    Coordinator, EndKind, Guarantee, Job, JobTables, Limits, RunEnd, RunReport, Step, TaskId,
    TaskKey, TeamEntry, Timestamp, WorkerPool, WorkerReport, WorkerStatus,
};

use super::pool::{MAX_STOP_TIME, WORKER_RESOURCES};
use super::{EndedRun, JobPlan, Millis, Order, Policy, Pool, Run};

const POOL: &str = "workers";
const TEAM: &str = "all";

/// Number of accelerators that are guaranteed to class 0, about a quarter of the pool.
const GUARANTEED_ACCELERATORS: i64 = 24;

/// Time of day at the start of a replay.
const START_WALL_MS: u64 = 1_000_000;

/// Interval between two reports of a worker.
const REPORT_INTERVAL: Millis = 1000;

/// The coordinator of `skylarkpulley-jobs` as a policy.
pub struct Coordinated {
    core: Coordinator,
    /// Ends that the coordinator has not acknowledged, with their numbers, by worker.
    end_queues: BTreeMap<usize, Vec<(u64, RunEnd)>>,
    /// Number of the last end of each worker.
    end_numbers: BTreeMap<usize, u64>,
    start: Instant,
}

impl Coordinated {
    /// Returns a coordinator to which all `workers` workers of a replay have reported.
    pub fn new(workers: usize) -> Self {
        let start = Instant::now();
        let now = Timestamp { monotonic: start, wall_ms: START_WALL_MS };
        let limits = Limits {
            checkpoint: Duration::from_secs(1),
            lapse: Duration::from_secs(9),
            open_jobs: 10_000,
            reclaim: Duration::from_millis(3400),
            retention: Duration::from_secs(1000),
            stop: Duration::from_millis(MAX_STOP_TIME),
            takeover: Duration::ZERO,
        };
        let pool = WorkerPool { guarded: true, name: POOL.to_owned(), spare: false };
        let guarantee = Guarantee { accelerators: GUARANTEED_ACCELERATORS };
        let tables = JobTables {
            pools: [(POOL.to_owned(), pool)].into(),
            teams: vec![TeamEntry { guarantee, keys: Vec::new(), name: TEAM.to_owned() }],
            version: 1,
            ..JobTables::default()
        };
        let core = Coordinator::new(limits, tables, now);
        let mut policy =
            Self { core, end_queues: BTreeMap::new(), end_numbers: BTreeMap::new(), start };
        for worker in 0..workers {
            policy.report(0, worker, &[]);
        }
        policy
    }

    fn timestamp(&self, now: Millis) -> Timestamp {
        Timestamp {
            monotonic: self.start + Duration::from_millis(now),
            wall_ms: START_WALL_MS + now,
        }
    }

    fn report(&mut self, now: Millis, worker: usize, runs: &[Run]) {
        let status = WorkerStatus {
            address: format!("10.0.0.{worker}:1"),
            id: worker_id(worker),
            incarnation: 1,
            pool: POOL.to_owned(),
            rack: format!("rack-{}", worker / 3),
            resources: WORKER_RESOURCES,
            ..WorkerStatus::default()
        };
        let acknowledged = self.core.orders(&status.id).ended_through;
        let end_queue = self.end_queues.entry(worker).or_default();
        end_queue.retain(|(number, _)| *number > acknowledged);
        let running = runs.iter().filter(|run| run.worker == worker).map(|run| RunReport {
            checkpoint: "saved".to_owned(),
            percent: run.percent(now),
            run: self.core.run_number(&task_id(run)).unwrap_or(0),
            task: task_id(run),
        });
        let report = WorkerReport {
            ended: end_queue.iter().map(|(_, end)| end.clone()).collect(),
            ended_through: end_queue.last().map_or(0, |(number, _)| *number),
            listed: true,
            running: running.collect(),
            worker: Some(status),
            ..WorkerReport::default()
        };
        self.core.report(self.timestamp(now), &report);
    }

    fn commit_all(&mut self) {
        while self.core.begin_commit().is_some() {
            self.core.end_commit();
        }
    }
}

impl Policy for Coordinated {
    fn submit(&mut self, now: Millis, number: usize, job: &JobPlan) {
        let step = Step {
            checkpoints: job.checkpoints,
            count: u32::try_from(job.lengths.len()).unwrap_or(u32::MAX),
            estimate_ms: job.estimate,
            gang: job.gang,
            resources: job.resources,
            ..Step::default()
        };
        let job = Job {
            accepted_ms: START_WALL_MS + now,
            advised: false,
            attempts: 3,
            class: job.class,
            id: job_id(number),
            payload: String::new(),
            pool: POOL.to_owned(),
            route: format!("class-{}", job.class),
            schedule: None,
            slack: job.slack,
            steps: vec![step],
            target_ms: job.target,
            team: TEAM.to_owned(),
        };
        self.core.submit(self.timestamp(now), job);
    }

    fn decide(&mut self, now: Millis, ended: &[EndedRun], pool: &Pool) -> Vec<Order> {
        for end in ended {
            let task = task_id(&end.run);
            let number = self.end_numbers.entry(end.run.worker).or_default();
            *number += 1;
            let run = self.core.run_number(&task).unwrap_or(0);
            let kind = if end.done { EndKind::Done } else { EndKind::Stopped };
            let end_report = RunEnd { checkpoint: "saved".to_owned(), kind, run, task };
            self.end_queues.entry(end.run.worker).or_default().push((*number, end_report));
        }
        for worker in 0..pool.size() {
            if ended.iter().any(|end| end.run.worker == worker)
                || now.is_multiple_of(REPORT_INTERVAL)
            {
                self.report(now, worker, &pool.runs);
            }
        }
        self.core.tick(self.timestamp(now));
        self.commit_all();
        self.core.take_decisions();
        let mut orders = Vec::new();
        for worker in 0..pool.size() {
            let worker_orders = self.core.orders(&worker_id(worker));
            for start in worker_orders.start {
                let Some((job, index)) = parse_task(&start.task) else { continue };
                if !pool.runs.iter().any(|run| run.job == job && run.index == index) {
                    orders.push(Order::Start { job, index, worker });
                }
            }
            for (task, _) in worker_orders.stop {
                let Some((job, index)) = parse_task(&task) else { continue };
                orders.push(Order::Stop { job, index });
            }
        }
        orders
    }
}

fn worker_id(worker: usize) -> String {
    format!("worker-{worker:02}")
}

fn job_id(number: usize) -> String {
    format!("job-{number:04}")
}

fn task_id(run: &Run) -> TaskId {
    let index = u32::try_from(run.index).unwrap_or(u32::MAX);
    TaskId::new(&job_id(run.job), TaskKey { occurrence: 0, step: 0, index })
}

fn parse_task(task: &TaskId) -> Option<(usize, usize)> {
    let job = task.job.strip_prefix("job-")?.parse().ok()?;
    Some((job, task.key.index as usize))
}
