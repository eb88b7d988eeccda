use std::collections::{BTreeMap, BTreeSet};

use skylarkpulley_jobs::{
    EndKind, JobState, Orders, RefusalKind, RunEnd, RunRefusal, RunReport, TaskId, WorkerReport,
    WorkerStatus,
};

use crate::rig::{Rig, worker};

/// Length of one step of the simulation in milliseconds.
const STEP_MS: u64 = 100;

/// Time from a crash of a worker until its next incarnation, in milliseconds.
const RESTART_MS: u64 = 3300;

/// Time after which an agent reports that its worker is down, in milliseconds.
const UNREACHED_MS: u64 = 400;

/// Run time of a task that does not crash its worker, in milliseconds.
const RUN_MS: u64 = 2000;

/// Run time of a task of a long job, in milliseconds.
const LONG_RUN_MS: u64 = 8000;

/// Start of the ids of jobs whose task 0 crashes each worker that starts it.
pub const CRASHING: &str = "crashing";

/// Start of the ids of jobs whose tasks crash their worker once they have made progress.
pub const CRASHING_LATER: &str = "later";

/// Run time after which such a task crashes its worker, in milliseconds, unless its id ends with
/// another one.
const CRASH_AFTER_MS: u64 = 1000;

/// Start of the ids of jobs with a long run time, whose tasks work only while all of them are up.
pub const LONG: &str = "long";

/// A worker and its agent, which survives the crashes of the worker.
struct SimWorker {
    crashed_at: Option<u64>,
    ended: BTreeMap<u64, RunEnd>,
    /// Number of the last end in this incarnation.
    ends: u64,
    incarnation: u64,
    number: u32,
    rack: u32,
    /// Runs that were stopped here before they started.
    refused: Vec<(TaskId, u32)>,
    /// Time for which each run has worked, in milliseconds.
    runs: BTreeMap<(TaskId, u32), u64>,
}

/// Workers that carry out the orders of a coordinator, and crash when they start certain tasks.
pub struct CrashingPool {
    /// Crashes of workers under each task that was running or starting there.
    pub crashes: BTreeMap<TaskId, u32>,
    /// Members of the gangs whose members wait for each other, by job.
    pub gangs: BTreeMap<String, u32>,
    pub rig: Rig,
    /// Starts that the workers carried out, by task.
    pub starts: BTreeMap<TaskId, u32>,
    /// Starts of a task after the third crash that it caused.
    pub starts_after_third: BTreeMap<TaskId, u32>,
    /// Milliseconds since the start.
    pub time_ms: u64,
    workers: Vec<SimWorker>,
}

/// Returns the run time after which a task crashes its worker, in milliseconds.
fn crash_after_ms(task: &TaskId) -> Option<u64> {
    let rest = task.job.strip_prefix(CRASHING_LATER)?;
    Some(rest.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(CRASH_AFTER_MS))
}

fn run_ms(task: &TaskId) -> u64 {
    if let Some(crash_after_ms) = crash_after_ms(task) {
        return crash_after_ms * 2;
    }
    if task.job.starts_with(LONG) { LONG_RUN_MS } else { RUN_MS }
}

fn refusal((task, run): &(TaskId, u32)) -> RunRefusal {
    RunRefusal { kind: RefusalKind::Fenced, run: *run, task: task.clone() }
}

impl SimWorker {
    fn status(&self) -> WorkerStatus {
        WorkerStatus { rack: format!("r{}", self.rack), ..worker(self.number, self.incarnation) }
    }

    fn report(&self, time_ms: u64) -> WorkerReport {
        let down_ms = self.crashed_at.map_or(0, |at| time_ms - at);
        let running = self.runs.iter().map(|((task, run), worked_ms)| RunReport {
            checkpoint: String::new(),
            percent: u8::try_from(worked_ms * 100 / run_ms(task)).unwrap_or(100),
            run: *run,
            task: task.clone(),
        });
        WorkerReport {
            ended: self.ended.values().cloned().collect(),
            ended_through: self.ended.keys().next_back().copied().unwrap_or(0),
            listed: true,
            refused: self.refused.iter().map(refusal).collect(),
            running: running.collect(),
            unreached: down_ms >= UNREACHED_MS,
            worker: Some(self.status()),
            ..WorkerReport::default()
        }
    }

    /// Reports whether a run crashes the worker now, after it has worked for some time.
    fn has_crashing_run(&self) -> bool {
        self.runs.iter().any(|((task, _), worked_ms)| {
            crash_after_ms(task).is_some_and(|crash_after_ms| *worked_ms >= crash_after_ms)
        })
    }

    /// Lets the runs work for one step, except those of the jobs in `waiting`, and ends those that
    /// are complete.
    fn work(&mut self, waiting: &BTreeSet<String>) {
        for ((task, _), worked_ms) in &mut self.runs {
            // The other members of a gang wait for the one that crashes its worker.
            if !task.job.starts_with(CRASHING) && !waiting.contains(&task.job) {
                *worked_ms += STEP_MS;
            }
        }
        let is_done = |((task, _), ms): &(&(TaskId, u32), &u64)| **ms >= run_ms(task);
        let done: Vec<(TaskId, u32)> =
            self.runs.iter().filter(is_done).map(|(run, _)| run.clone()).collect();
        for run in done {
            self.end(&run, EndKind::Done);
        }
    }

    fn end(&mut self, key: &(TaskId, u32), kind: EndKind) {
        if self.runs.remove(key).is_none() {
            return;
        }
        self.ends += 1;
        let number = self.ends;
        let (task, run) = key.clone();
        self.ended.insert(number, RunEnd { checkpoint: String::new(), kind, run, task });
    }
}

impl CrashingPool {
    pub fn new(workers: u32) -> Self {
        Self::with_racks(workers, 3)
    }

    /// Returns a pool with `rack` workers on each rack.
    pub fn with_racks(workers: u32, rack: u32) -> Self {
        let sim = |number| SimWorker {
            crashed_at: None,
            ended: BTreeMap::new(),
            ends: 0,
            incarnation: 1,
            number,
            rack: number / rack,
            refused: Vec::new(),
            runs: BTreeMap::new(),
        };
        Self {
            crashes: BTreeMap::new(),
            gangs: BTreeMap::new(),
            rig: Rig::new(workers),
            starts: BTreeMap::new(),
            starts_after_third: BTreeMap::new(),
            time_ms: 0,
            workers: (0..workers).map(sim).collect(),
        }
    }

    /// Plays `millis` in steps of 100 ms.
    pub fn play(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    /// Crashes all workers at once, for a cause outside of their tasks. Their agents survive.
    pub fn crash_all(&mut self) {
        self.crash_some(|| true);
    }

    /// Crashes each worker that `choose` selects, for a cause outside of its tasks.
    pub fn crash_some(&mut self, mut choose: impl FnMut() -> bool) {
        for index in 0..self.workers.len() {
            if choose() {
                self.crash(index);
            }
        }
    }

    /// Crashes each worker of the racks that `choose` selects, for a cause outside of its tasks.
    pub fn crash_racks(&mut self, mut choose: impl FnMut() -> bool) {
        let racks: BTreeSet<u32> = self.workers.iter().map(|worker| worker.rack).collect();
        let chosen: BTreeSet<u32> = racks.into_iter().filter(|_| choose()).collect();
        for index in 0..self.workers.len() {
            if chosen.contains(&self.workers[index].rack) {
                self.crash(index);
            }
        }
    }

    pub fn state(&self, job: &str) -> Option<JobState> {
        self.rig.core.view(job).map(|view| view.state)
    }

    /// Returns the ids of workers that run nothing and are up.
    pub fn idle_workers(&self) -> usize {
        self.workers
            .iter()
            .filter(|worker| worker.crashed_at.is_none() && worker.runs.is_empty())
            .count()
    }

    /// Returns the gangs of long jobs of which a member does not run.
    fn waiting_gangs(&self) -> BTreeSet<String> {
        let mut members: BTreeMap<String, u32> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.crashed_at.is_none()) {
            for (task, _) in worker.runs.keys().filter(|(task, _)| task.job.starts_with(LONG)) {
                *members.entry(task.job.clone()).or_default() += 1;
            }
        }
        let is_waiting = |(job, count): &(&String, &u32)| {
            self.gangs.get(*job).is_some_and(|expected| *count < expected)
        };
        members.iter().filter(is_waiting).map(|(job, _)| job.clone()).collect()
    }

    fn step(&mut self) {
        let waiting = self.waiting_gangs();
        for index in 0..self.workers.len() {
            let time_ms = self.time_ms;
            let worker = &mut self.workers[index];
            if worker.crashed_at.is_some_and(|at| time_ms >= at + RESTART_MS) {
                worker.crashed_at = None;
                worker.incarnation += 1;
                worker.refused.clear();
                worker.runs.clear();
                worker.ended.clear();
                worker.ends = 0;
            }
            if worker.crashed_at.is_none() {
                worker.work(&waiting);
                if worker.has_crashing_run() {
                    self.crash(index);
                } else {
                    self.carry_out(index);
                }
            }
            let report = self.workers[index].report(time_ms);
            self.rig.core.report(self.rig.now, &report);
        }
        self.rig.advance(STEP_MS);
        self.rig.place_and_commit();
        self.time_ms += STEP_MS;
    }

    fn carry_out(&mut self, index: usize) {
        let id = format!("w{}", self.workers[index].number);
        let Orders { ended_through, incarnation, start, stop, .. } = self.rig.core.orders(&id);
        let worker = &mut self.workers[index];
        if incarnation != worker.incarnation {
            return;
        }
        worker.ended.retain(|number, _| *number > ended_through);
        for run in &stop {
            worker.end(run, EndKind::Stopped);
        }
        let has_ended = |(task, run): &(TaskId, u32)| {
            worker.ended.values().any(|end| end.task == *task && end.run == *run)
        };
        worker.refused = stop.into_iter().filter(|run| !has_ended(run)).collect();
        for order in start {
            let key = (order.task.clone(), order.run);
            let ended =
                worker.ended.values().any(|end| end.task == order.task && end.run == order.run);
            if ended || worker.runs.contains_key(&key) {
                continue;
            }
            *self.starts.entry(order.task.clone()).or_default() += 1;
            if self.crashes.get(&order.task).is_some_and(|crashes| *crashes >= 3) {
                *self.starts_after_third.entry(order.task.clone()).or_default() += 1;
            }
            worker.runs.insert(key, 0);
            if order.task.job.starts_with(CRASHING) && order.task.key.index == 0 {
                self.crash(index);
                return;
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.crashed_at.is_some() {
            return;
        }
        worker.crashed_at = Some(self.time_ms);
        for (task, _) in worker.runs.keys() {
            *self.crashes.entry(task.clone()).or_default() += 1;
        }
    }
}
