//! Plays one case of the review and tells by its exit code whether the rule held.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins::advice::Advice;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::system::{Bounds, Extras, SERVICE, System, config};
use review_standins::worker::{Interval, LateOrders, Worker, WorkerSettings, overlaps, repeats};
use serde_json::{Value, json};

/// Exit code when the rule was broken.
const BROKEN: u8 = 1;

/// Exit code when the case could not run.
const NOT_RUN: u8 = 2;

/// Time that the policy takes for a decision and for each worker, in milliseconds.
const ADVICE_MS: (u64, u64) = (400, 100);

/// Processor time of a worker in thousandths of a core.
const CPU: u64 = 64_000;

/// Time after the end of the traffic from which no job may wait while there is capacity, in
/// seconds.
const FINISH_S: u64 = 14;

/// Bounds of the site menza-grid.
const BOUNDS: Bounds = Bounds { hold_max_ms: 10_000, reclaim_ms: 3400, stop_ms: 900 };

/// A deployment with one worker beside each agent.
struct Deployment {
    intervals: Arc<Mutex<Vec<Interval>>>,
    record: Arc<Record>,
    store: Arc<Store>,
    system: System,
    workers: Vec<Arc<Worker>>,
}

impl Deployment {
    fn start(
        root: &Path,
        folder: &Path,
        extras: Extras,
        advice: Option<(u64, u64)>,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let (store, server) = Store::start(&config(advice)).map_err(text)?;
        // Another process may take a port between its choice and its use.
        let started = (0..3).find_map(|_| {
            let system = System::prepare(root, folder, server.address(), BOUNDS, extras, record);
            system.and_then(System::start).transpose()
        });
        let system = started.ok_or("the entries did not become ready")?.map_err(text)?;
        let intervals = Arc::new(Mutex::new(Vec::new()));
        let mut workers = Vec::new();
        for (number, agent) in system.check_ins.iter().enumerate() {
            let settings = WorkerSettings {
                checkpoint: extras.checkpoint,
                gpu: 8,
                hold_max_ms: BOUNDS.hold_max_ms,
                // The first worker has the lower id.
                id: format!("i-{}", number + 1),
                service: SERVICE.to_owned(),
                stop: Duration::from_millis(BOUNDS.stop_ms),
                zone: format!("zone-{}", number + 1),
            };
            let worker = Worker::start(settings, *agent, intervals.clone(), record.clone());
            workers.push(worker.map_err(text)?);
        }
        // Each agent has reported to the leader by then.
        thread::sleep(Duration::from_secs(4));
        Ok(Self { intervals, record: record.clone(), store, system, workers })
    }

    /// Waits until `task` has begun a run, and returns the number of its worker.
    fn wait_for_run(&self, task: &str, run: u32, limit: Duration) -> Option<usize> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let found = self
                .intervals
                .lock()
                .unwrap()
                .iter()
                .find(|interval| interval.task == task && interval.run == run)
                .map(|interval| interval.worker.clone());
            if let Some(id) = found {
                return self.workers.iter().position(|worker| worker.id() == id);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Writes the runs that were active at the same time; returns whether there were any.
    fn judge_overlaps(&self) -> bool {
        let found = overlaps(&self.intervals.lock().unwrap(), Duration::ZERO);
        for line in &found {
            self.record.line(&format!("TWICE {line}"));
        }
        !found.is_empty()
    }

    /// Watches for 3 s which of the jobs have nothing running, although there is capacity for each
    /// of them twice over and under half of the capacity is in use. `cpu` is what the tasks of one
    /// job need together, in thousandths of a core. Returns whether there is such a job.
    fn judge_idle(&self, ids: &[&str], cpu: u64) -> bool {
        let begin = Instant::now();
        thread::sleep(Duration::from_secs(3));
        let capacity = CPU * self.workers.len() as u64;
        let intervals = self.intervals.lock().unwrap();
        let active: Vec<&Interval> = intervals
            .iter()
            .filter(|interval| interval.ended.is_none_or(|ended| ended > begin))
            .collect();
        let mut found = false;
        for id in ids {
            let runs = active.iter().filter(|interval| interval.task.starts_with(id)).count();
            let answer = self.system.exchange(0, "GET", id, &Value::Null);
            let ended = answer.is_some_and(|(_, body)| body.contains("completed"));
            // Only these jobs run here, so that nothing is in use when none of them has a run.
            if !ended && active.is_empty() && 2 * cpu <= capacity {
                self.record.line(&format!(
                    "LOST {id}: not completed, {runs} runs for 3 s, {capacity} thousandths of a core free"
                ));
                found = true;
            }
        }
        found
    }

    /// Watches for 3 s which of the jobs begin nothing, although under half of the capacity is in
    /// use. Each of them needs next to nothing. Returns whether there is such a job.
    fn judge_waiting(&self, ids: &[String]) -> bool {
        thread::sleep(Duration::from_secs(3));
        let intervals = self.intervals.lock().unwrap();
        let active = intervals.iter().filter(|interval| interval.ended.is_none()).count();
        let mut found = false;
        for id in ids {
            if !intervals.iter().any(|interval| interval.task.starts_with(id)) && active < 8 {
                self.record.line(&format!("LOST {id}: no run, {active} runs on both workers"));
                found = true;
            }
        }
        found
    }

    /// Writes the tasks that were started again after they had ended as done; returns whether there
    /// were any.
    fn judge_repeats(&self) -> bool {
        let found = repeats(&self.intervals.lock().unwrap());
        for line in &found {
            self.record.line(&format!("TWICE {line}"));
        }
        !found.is_empty()
    }
}

/// A job of one task that works for `work_ms` on `gpu` accelerators.
fn job(work_ms: u64, gpu: u64) -> Value {
    json!({ "spec": format!("{work_ms} {gpu}"), "steps": [{ "count": 1, "cpu": 8000,
        "mem_mb": 1000, "gpu": gpu, "estimate_ms": work_ms }] })
}

/// A start whose first copy is carried out late, after its minion has crashed and started again
/// under its id.
fn late_start_after_crash(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    let (short, long) = ("00000000000000a1", "00000000000000b2");
    if !deployment.system.submit(short, &job(4000, 8)) {
        return Err("the first job was not accepted".to_owned());
    }
    let task = format!("{short}.0.0.0");
    deployment.wait_for_run(&task, 1, Duration::from_secs(3)).ok_or("the first job did not run")?;
    if trouble {
        for worker in &deployment.workers {
            let until = Instant::now() + Duration::from_secs(2);
            let delay = Duration::from_millis(10_500);
            worker.hold_orders(LateOrders { until, delay, count: 1 });
        }
    }
    if !deployment.system.submit(long, &job(15_000, 8)) {
        return Err("the second job was not accepted".to_owned());
    }
    let task = format!("{long}.0.0.0");
    let first = deployment.wait_for_run(&task, 1, Duration::from_secs(5));
    let first = first.ok_or("the second job did not run")?;
    thread::sleep(Duration::from_millis(2500));
    if trouble {
        deployment.workers[first].crash();
        thread::sleep(Duration::from_millis(4500));
        deployment.workers[first].boot().map_err(|error| error.to_string())?;
    }
    thread::sleep(Duration::from_secs(16));
    Ok(deployment.judge_overlaps())
}

/// A start that is carried out late, after the agent has been killed and its minion drains.
fn late_start_after_restart(deployment: &mut Deployment, trouble: bool) -> Result<bool, String> {
    let id = "00000000000000c3";
    if trouble {
        for worker in &deployment.workers {
            let until = Instant::now() + Duration::from_secs(2);
            let delay = Duration::from_secs(5);
            worker.hold_orders(LateOrders { until, delay, count: 4 });
        }
    }
    if !deployment.system.submit(id, &job(15_000, 8)) {
        return Err("the job was not accepted".to_owned());
    }
    if trouble {
        thread::sleep(Duration::from_millis(300));
        // The first worker has the lower id and gets the job.
        deployment.system.agents[0].kill();
        deployment.workers[0].drain(20_000);
        thread::sleep(Duration::from_millis(1000));
        deployment.system.agents[0].start().map_err(|error| error.to_string())?;
    }
    thread::sleep(Duration::from_secs(20));
    Ok(deployment.judge_overlaps())
}

/// More tasks end at one worker than it lists at a time, while the store is down.
fn many_ends_without_store(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    let id = "00000000000000d4";
    let (count, work_ms) = (640, 8000);
    let job = json!({ "spec": format!("{work_ms} 0"), "steps": [{ "count": count, "cpu": 90,
        "mem_mb": 10, "estimate_ms": work_ms }] });
    if !deployment.system.submit(id, &job) {
        return Err("the job was not accepted".to_owned());
    }
    let first = format!("{id}.0.0.0");
    deployment.wait_for_run(&first, 1, Duration::from_secs(5)).ok_or("the job did not run")?;
    thread::sleep(Duration::from_millis(work_ms - 300));
    if trouble {
        deployment.record.line("the store answers all calls with 503 for 4.5 s");
        deployment.store.take_down(Duration::from_millis(4500));
    }
    thread::sleep(Duration::from_secs(20));
    let state = deployment.system.exchange(0, "GET", id, &Value::Null);
    deployment.record.line(&format!("state of the job: {state:?}"));
    Ok(deployment.judge_repeats())
}

/// Two jobs of many small tasks with long descriptions become due at once.
fn large_jobs_at_once(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let due = u64::try_from(since_epoch.as_millis()).unwrap_or(0) + 3000;
    let (ids, cpu, count) = (["00000000000000e5", "00000000000000e6"], 50, 620);
    for (number, id) in (0..).zip(ids) {
        let spec = format!("{:<3990}", "20000 0 ");
        let start = if trouble { due } else { due + 6000 * number };
        let job = json!({ "spec": spec, "times": 1, "start_at_ms": start, "interval_ms": 1000,
            "steps": [{ "count": count, "cpu": cpu, "mem_mb": 10, "estimate_ms": 20_000 }] });
        if !deployment.system.submit(id, &job) {
            return Err("a job was not accepted".to_owned());
        }
    }
    // Both are due by then, and `finish_s` has passed since the end of the traffic.
    thread::sleep(Duration::from_secs(9 + FINISH_S));
    let found = deployment.judge_idle(&ids, cpu * count);
    thread::sleep(Duration::from_secs(25));
    Ok(deployment.judge_idle(&ids, cpu * count) && found)
}

/// A worker with many tasks that have checkpoints crashes and starts again.
fn checkpoints_of_a_large_job(deployment: &Deployment, trouble: bool) -> Result<bool, String> {
    let (large, small) = ("00000000000000f7", "00000000000000f8");
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let due = u64::try_from(since_epoch.as_millis()).unwrap_or(0) + 15_000;
    let work_ms = 70_000;
    let jobs = [
        (
            small,
            json!({ "spec": "3000 1", "times": 1, "start_at_ms": due, "interval_ms": 1000,
            "steps": [{ "count": 1, "cpu": 1000, "mem_mb": 10, "gpu": 1, "estimate_ms": 3000 }] }),
        ),
        (
            large,
            json!({ "spec": format!("{work_ms} 0"), "steps": [{ "count": 1000, "cpu": 30,
            "mem_mb": 10, "estimate_ms": work_ms, "checkpointable": true }] }),
        ),
    ];
    for (id, job) in &jobs {
        if !deployment.system.submit(id, job) {
            return Err("a job was not accepted".to_owned());
        }
    }
    let first = format!("{large}.0.0.0");
    let worker = deployment.wait_for_run(&first, 1, Duration::from_secs(5));
    let worker = worker.ok_or("the large job did not run")?;
    thread::sleep(Duration::from_secs(6));
    if trouble {
        deployment.workers[worker].crash();
        thread::sleep(Duration::from_millis(4500));
        deployment.workers[worker].boot().map_err(|error| error.to_string())?;
    }
    thread::sleep(Duration::from_secs(10 + FINISH_S));
    let found = deployment.judge_idle(&[small], 1000);
    // Shown only: what a further caller is told.
    deployment.system.request(0, "POST", "00000000000000f9", &job(1000, 1));
    let refused = deployment.store.refused_rows();
    if let Some(row) = refused.first() {
        let times = refused.len();
        deployment.record.line(&format!("the store has refused {times} writes; first row: {row}"));
    }
    Ok(found)
}

/// A burst on a queue whose policy decides slowly.
fn advice_after_a_burst(
    deployment: &Deployment,
    advice: &Advice,
    trouble: bool,
) -> Result<bool, String> {
    let (gap, started) = (Duration::from_millis(714), Instant::now());
    let (mut number, mut next, mut ids) = (0, Duration::ZERO, Vec::new());
    while next < Duration::from_secs(56) {
        thread::sleep(next.saturating_sub(started.elapsed()));
        let id = format!("{:016x}", 0xa000 + number);
        if !deployment.system.submit(&id, &job(1000, 0)) {
            return Err("a job was not accepted".to_owned());
        }
        ids.push(id);
        number += 1;
        let burst = trouble && next >= Duration::from_secs(10) && next < Duration::from_secs(16);
        next += if burst { gap.div_f64(2.3) } else { gap };
    }
    thread::sleep(Duration::from_secs(FINISH_S));
    let waits: Vec<String> = {
        let intervals = deployment.intervals.lock().unwrap();
        let begun = |id: &String| intervals.iter().any(|interval| interval.task.starts_with(id));
        ids.iter().filter(|id| !begun(id)).cloned().collect()
    };
    let calls = advice.calls();
    deployment.record.line(&format!("{} jobs, {} calls for advice", ids.len(), calls.len()));
    let found = deployment.judge_waiting(&waits);
    Ok(found)
}

fn run(
    case: &str,
    trouble: bool,
    root: &Path,
    folder: &Path,
    record: &Arc<Record>,
) -> Result<bool, String> {
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let mut extras = Extras::default();
    if case == "checkpoints-of-a-large-job" {
        extras.checkpoint = 36;
    }
    let mut advice = None;
    if case == "advice-after-a-burst" {
        let started = Advice::start(ADVICE_MS.0, ADVICE_MS.1).map_err(|error| error.to_string())?;
        extras.advice = Some(started.1);
        advice = Some(started.0);
    }
    let times = advice.as_ref().map(|_| ADVICE_MS);
    let mut deployment = Deployment::start(root, folder, extras, times, record)?;
    match case {
        "late-start-after-crash" => late_start_after_crash(&deployment, trouble),
        "late-start-after-restart" => late_start_after_restart(&mut deployment, trouble),
        "many-ends-without-store" => many_ends_without_store(&deployment, trouble),
        "large-jobs-at-once" => large_jobs_at_once(&deployment, trouble),
        "checkpoints-of-a-large-job" => checkpoints_of_a_large_job(&deployment, trouble),
        "advice-after-a-burst" => {
            let advice = advice.ok_or("no service for advice")?;
            advice_after_a_burst(&deployment, &advice, trouble)
        }
        _ => Err(format!("no case {case:?}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE REPOSITORY FOLDER RECORD TROUBLE");
        return ExitCode::from(NOT_RUN);
    };
    let record = match Record::new(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    match run(case, trouble != "0", &PathBuf::from(root), &PathBuf::from(folder), &record) {
        Ok(false) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            record.line("the rule was broken");
            ExitCode::from(BROKEN)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
