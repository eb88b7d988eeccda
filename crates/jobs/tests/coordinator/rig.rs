use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    Coordinator, EndKind, Guarantee, Job, JobTables, Limits, Orders, RefusalKind, Resources,
    RowKind, RunEnd, RunRefusal, RunReport, Step, Submission, TaskId, TeamEntry, Timestamp,
    WorkerPool, WorkerReport, WorkerStatus,
};

pub const POOL: &str = "renders";

/// A coordinator whose rows are stored in memory.
pub struct Rig {
    pub core: Coordinator,
    pub now: Timestamp,
    pub rows: BTreeMap<(RowKind, String), Vec<u8>>,
}

pub fn tables() -> JobTables {
    let pool = WorkerPool { guarded: true, name: POOL.to_owned(), spare: false };
    let team = |name: &str, accelerators| TeamEntry {
        guarantee: Guarantee { accelerators },
        keys: Vec::new(),
        name: name.to_owned(),
    };
    JobTables {
        pools: [(POOL.to_owned(), pool)].into(),
        teams: vec![team("north", 16), team("south", 0)],
        version: 1,
        ..JobTables::default()
    }
}

pub fn job(id: &str, class: u8, step: Step) -> Job {
    Job {
        accepted_ms: 0,
        advised: false,
        attempts: 2,
        class,
        id: id.to_owned(),
        payload: String::new(),
        pool: POOL.to_owned(),
        route: "looks".to_owned(),
        schedule: None,
        selector: String::new(),
        slack: 3.0,
        steps: vec![step],
        target_ms: 1000,
        team: "north".to_owned(),
    }
}

pub fn step(count: u32, accelerators: i64) -> Step {
    let resources = Resources { accelerators, cores: 1000, memory: 1000 };
    Step { count, estimate_ms: 2000, resources, ..Step::default() }
}

pub fn worker(number: u32, incarnation: u64) -> WorkerStatus {
    WorkerStatus {
        address: format!("10.0.0.{number}:1"),
        id: format!("w{number}"),
        incarnation,
        pool: POOL.to_owned(),
        rack: format!("r{}", number / 3),
        resources: Resources { accelerators: 8, cores: 64_000, memory: 256_000 },
        ..WorkerStatus::default()
    }
}

pub fn report(status: &WorkerStatus, running: &[(TaskId, u32)]) -> WorkerReport {
    let running = running.iter().map(|(task, run)| RunReport {
        checkpoint: String::new(),
        percent: 10,
        run: *run,
        task: task.clone(),
    });
    WorkerReport {
        listed: true,
        running: running.collect(),
        worker: Some(status.clone()),
        ..WorkerReport::default()
    }
}

pub fn ended(
    status: &WorkerStatus,
    number: u64,
    task: &TaskId,
    run: u32,
    kind: EndKind,
) -> WorkerReport {
    let end = RunEnd { checkpoint: String::new(), kind, run, task: task.clone() };
    WorkerReport { ended: vec![end], ended_through: number, ..report(status, &[]) }
}

impl Rig {
    pub fn new(workers: u32) -> Self {
        let now = Timestamp { monotonic: Instant::now(), wall_ms: 1_000_000 };
        let mut rig = Self {
            core: Coordinator::new(Limits::default(), tables(), now),
            now,
            rows: BTreeMap::new(),
        };
        for number in 0..workers {
            rig.core.report(rig.now, &report(&worker(number, 1), &[]));
        }
        rig
    }

    pub fn advance(&mut self, millis: u64) {
        self.now.monotonic += Duration::from_millis(millis);
        self.now.wall_ms += millis;
        self.core.tick(self.now);
    }

    /// Advances the time while the given workers report without any runs.
    pub fn advance_reporting(&mut self, millis: u64, workers: &[u32]) {
        for _ in 0..millis / 100 {
            for number in workers {
                self.core.report(self.now, &report(&worker(*number, 1), &[]));
            }
            self.advance(100);
        }
    }

    pub fn submit(&mut self, mut job: Job) {
        job.accepted_ms = self.now.wall_ms;
        assert!(matches!(self.core.submit(self.now, job), Submission::Accepted { .. }));
        self.place_and_commit();
    }

    /// Places waiting work and stores all changes.
    pub fn place_and_commit(&mut self) {
        self.core.place(self.now);
        while self.commit() {}
    }

    /// Stores one write; returns `false` when there was none.
    pub fn commit(&mut self) -> bool {
        let Some(rows) = self.core.begin_commit() else { return false };
        for row in rows {
            match row.value {
                Some(value) => self.rows.insert((row.kind, row.key), value),
                None => self.rows.remove(&(row.kind, row.key)),
            };
        }
        self.core.end_commit();
        true
    }

    /// Returns the stored rows of one kind by key.
    pub fn rows_of(&self, kind: RowKind) -> BTreeMap<String, Vec<u8>> {
        let rows = self.rows.iter().filter(|((row_kind, _), _)| *row_kind == kind);
        rows.map(|((_, key), value)| (key.clone(), value.clone())).collect()
    }

    /// Replaces the coordinator by a successor that restores the stored rows.
    pub fn take_over(&mut self) {
        let mut core = Coordinator::new(Limits::default(), tables(), self.now);
        let progress = self.rows_of(RowKind::Progress);
        for (key, value) in self.rows_of(RowKind::Job) {
            core.restore(&key, &value, &progress, self.now).expect("readable rows");
        }
        self.core = core;
    }

    /// Reports a new incarnation of a worker, whose agent fences the runs of the earlier one.
    pub fn restart_worker(&mut self, status: &WorkerStatus) {
        self.core.report(self.now, &report(status, &[]));
        let stops = self.core.orders(&status.id).stop;
        let refused = stops.into_iter().map(|(task, run)| RunRefusal {
            kind: RefusalKind::Fenced,
            run,
            task,
        });
        let fenced = WorkerReport { refused: refused.collect(), ..report(status, &[]) };
        self.core.report(self.now, &fenced);
    }

    /// Returns all starts that are currently ordered, with their workers.
    pub fn starts(&self) -> Vec<(String, TaskId, u32)> {
        let mut starts = Vec::new();
        for id in self.core.worker_ids() {
            let Orders { start, .. } = self.core.orders(&id);
            starts.extend(start.into_iter().map(|order| (id.clone(), order.task, order.run)));
        }
        starts
    }

    pub fn stops(&self) -> Vec<(TaskId, u32)> {
        let ids = self.core.worker_ids();
        ids.iter().flat_map(|id| self.core.orders(id).stop).collect()
    }
}
