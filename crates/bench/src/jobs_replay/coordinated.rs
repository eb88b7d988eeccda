use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    Coordinator, EndKind, Guarantee, Job, JobTables, Limits, RowKind, RunEnd, RunReport, Step,
    TaskId, TaskKey, TeamEntry, Timestamp, WorkerPace, WorkerPool, WorkerReport, WorkerStatus,
};

use super::pool::{DECISION_INTERVAL, WORKER_RESOURCES};
use super::{EndedRun, JobPlan, Millis, Order, Policy, Pool, Run, Setup};

const POOL: &str = "workers";

/// Time of day at the start of a replay.
const START_WALL_MS: u64 = 1_000_000;

/// The coordinator of `skylarkpulley-jobs` as a policy.
pub struct Coordinated {
    core: Coordinator,
    /// Ends that the coordinator has not acknowledged, with their numbers, by worker.
    end_queues: BTreeMap<usize, Vec<(u64, RunEnd)>>,
    /// Number of the last end of each worker.
    end_numbers: BTreeMap<usize, u64>,
    limits: Limits,
    /// What the agents keep about the speeds of their workers.
    paces: BTreeMap<usize, WorkerPace>,
    rows: BTreeMap<(RowKind, String), Vec<u8>>,
    setup: Setup,
    start: Instant,
    tables: JobTables,
}

impl Coordinated {
    /// Returns a coordinator to which all workers of `setup` have reported.
    pub fn new(setup: &Setup) -> Self {
        let start = Instant::now();
        let limits = Limits {
            checkpoint: Duration::from_secs(1),
            evacuation: None,
            lapse: Duration::from_secs(9),
            learn_run_times: setup.learns,
            open_jobs: 10_000,
            reclaim: Duration::from_millis(2500 + setup.stop),
            restart_late: setup.restarts,
            retention: Duration::from_secs(1000),
            row_bytes: 65_536,
            stop: Duration::from_millis(setup.stop),
            takeover: Duration::ZERO,
        };
        let pool = WorkerPool { guarded: true, name: POOL.to_owned(), spare: false };
        let guarantee = Guarantee { accelerators: setup.guarantee };
        let team = |number| TeamEntry { guarantee, keys: Vec::new(), name: team_name(number) };
        let tables = JobTables {
            pools: [(POOL.to_owned(), pool)].into(),
            teams: (0..setup.teams).map(team).collect(),
            version: 1,
            ..JobTables::default()
        };
        let now = Timestamp { monotonic: start, wall_ms: START_WALL_MS };
        let core = Coordinator::new(limits, tables.clone(), now);
        let mut policy = Self {
            core,
            end_queues: BTreeMap::new(),
            end_numbers: BTreeMap::new(),
            limits,
            paces: BTreeMap::new(),
            rows: BTreeMap::new(),
            setup: setup.clone(),
            start,
            tables,
        };
        for worker in 0..setup.workers {
            policy.report(0, worker, &[]);
        }
        policy
    }

    /// Replaces the coordinator by a successor that restores the stored rows.
    fn take_over(&mut self, now: Millis) {
        let time = self.timestamp(now);
        let mut core = Coordinator::new(self.limits, self.tables.clone(), time);
        let (jobs, progress): (Vec<_>, Vec<_>) =
            self.rows.iter().partition(|((kind, _), _)| *kind == RowKind::Job);
        let progress: BTreeMap<String, Vec<u8>> =
            progress.into_iter().map(|((_, key), value)| (key.clone(), value.clone())).collect();
        for ((_, key), value) in jobs {
            let restored = core.restore(key, value, &progress, time);
            restored.expect("rows that the coordinator has written");
        }
        core.end_predecessor(time);
        self.core = core;
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
            rack: format!("rack-{}", worker / self.setup.rack),
            resources: WORKER_RESOURCES,
            ..WorkerStatus::default()
        };
        let orders = self.core.orders(&status.id);
        let acknowledged = orders.ended_through;
        // The agent returns what it was told, also to a later leader.
        if let Some(pace) = orders.pace {
            self.paces.insert(worker, pace);
        }
        let end_queue = self.end_queues.entry(worker).or_default();
        end_queue.retain(|(number, _)| *number > acknowledged);
        let listed = runs.iter().filter(|run| run.worker == worker && run.is_present(now));
        let running = listed.map(|run| RunReport {
            checkpoint: "saved".to_owned(),
            percent: run.percent(now),
            run: self.core.run_number(&task_id(run)).unwrap_or(0),
            task: task_id(run),
        });
        let report = WorkerReport {
            ended: end_queue.iter().map(|(_, end)| end.clone()).collect(),
            ended_through: end_queue.last().map_or(0, |(number, _)| *number),
            listed: true,
            pace: self.paces.get(&worker).copied(),
            running: running.collect(),
            worker: Some(status),
            ..WorkerReport::default()
        };
        self.core.report(self.timestamp(now), &report);
    }

    fn commit_all(&mut self) {
        while let Some(rows) = self.core.begin_commit() {
            for row in rows {
                match row.value {
                    Some(value) => self.rows.insert((row.kind, row.key), value),
                    None => self.rows.remove(&(row.kind, row.key)),
                };
            }
            self.core.end_commit();
        }
    }
}

impl Policy for Coordinated {
    fn submit(&mut self, now: Millis, number: usize, job: &JobPlan) {
        let team = team_name(job.team);
        let step = Step {
            checkpoints: job.checkpoints,
            count: u32::try_from(job.lengths.len()).unwrap_or(u32::MAX),
            estimate_ms: job.estimate,
            gang: job.gang,
            resources: job.resources,
            same_rack: job.same_rack,
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
            selector: String::new(),
            slack: job.slack,
            steps: vec![step],
            target_ms: job.target,
            team,
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
        if self.setup.takeovers.contains(&now) {
            self.take_over(now);
        }
        for worker in 0..pool.size() {
            if ended.iter().any(|end| end.run.worker == worker)
                || now.is_multiple_of(self.setup.report_interval)
                || pool.runs.iter().any(|run| run.worker == worker && is_news(run, now))
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

/// Reports whether the worker has carried out the start of `run` since the last decision.
fn is_news(run: &Run, now: Millis) -> bool {
    run.is_present(now) && now < run.start + DECISION_INTERVAL
}

fn team_name(number: usize) -> String {
    format!("team-{number:02}")
}

fn worker_id(worker: usize) -> String {
    format!("worker-{worker:03}")
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
