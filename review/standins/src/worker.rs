use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Answer, Request, Server, call};
use crate::record::Record;

/// Time between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Number of ends that one answer lists.
const ENDS_AT_A_TIME: usize = 500;

/// Description of a worker. It stays the same over its boots.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Length of a checkpoint in characters; 0 if tasks have none.
    pub checkpoint: usize,
    /// Accelerators of the worker.
    pub gpu: i64,
    /// Longest lease that it accepts, in milliseconds.
    pub hold_max_ms: u64,
    pub id: String,
    pub service: String,
    /// Time that a stop takes.
    pub stop: Duration,
    pub zone: String,
}

#[derive(Clone, Debug)]
struct Run {
    ends: Instant,
    gpu: i64,
    /// When a stop takes effect.
    stops: Option<Instant>,
    started: Instant,
    work: Duration,
}

/// State of one boot. A new boot holds and knows nothing of before.
struct Boot {
    born: u64,
    /// End of all leases, on the clock of the boot.
    deadline_ms: u64,
    /// Number of the last end.
    ends: u64,
    /// Number, task, run, how it ended, and the checkpoint.
    finished: Vec<(u64, String, u32, &'static str, String)>,
    highest_token: u64,
    /// Highest run of each task that has ended or was stopped here.
    past: BTreeMap<String, u32>,
    running: BTreeMap<(String, u32), Run>,
    seq: u64,
    started: Instant,
}

/// A run that a worker has begun: task, run, begin and end.
#[derive(Clone, Debug)]
pub struct Interval {
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: String,
    /// Whether the end has been taken note of.
    pub noted: bool,
}

/// What the network does with the next order to a worker.
#[derive(Clone, Copy, Debug)]
pub struct LateOrders {
    /// Orders that arrive before this moment are held.
    pub until: Instant,
    /// How long each of them is held before the worker carries it out. The caller gets no answer.
    pub delay: Duration,
    /// Number of orders to hold.
    pub count: u32,
}

/// One worker, with the network between it and its agent.
pub struct Worker {
    address: SocketAddr,
    agent: SocketAddr,
    boot: Mutex<Option<Boot>>,
    changed: Condvar,
    draining: Mutex<Option<u64>>,
    intervals: Arc<Mutex<Vec<Interval>>>,
    late: Mutex<Option<LateOrders>>,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
    settings: WorkerSettings,
}

impl Boot {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: u64::try_from(since_epoch.as_millis()).unwrap_or(0),
            deadline_ms: 0,
            ends: 0,
            finished: Vec::new(),
            highest_token: 0,
            past: BTreeMap::new(),
            running: BTreeMap::new(),
            seq: 0,
            started: Instant::now(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn extend(&mut self, deadline_ms: Option<u64>, hold_max_ms: u64) {
        if let Some(deadline) = deadline_ms {
            let limit = self.clock_ms() + hold_max_ms;
            self.deadline_ms = self.deadline_ms.max(deadline.min(limit));
        }
    }
}

impl Worker {
    /// Starts a worker that checks in at `agent`. Its runs are added to `intervals`.
    pub fn start(
        settings: WorkerSettings,
        agent: SocketAddr,
        intervals: Arc<Mutex<Vec<Interval>>>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let probe = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = probe.local_addr()?;
        drop(probe);
        let worker = Arc::new(Self {
            address,
            agent,
            boot: Mutex::new(None),
            changed: Condvar::new(),
            draining: Mutex::new(None),
            intervals,
            late: Mutex::new(None),
            record,
            server: Mutex::new(None),
            settings,
        });
        worker.boot()?;
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.check_in();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// Starts a new boot under the same id and at the same address.
    pub fn boot(self: &Arc<Self>) -> std::io::Result<()> {
        let handled = self.clone();
        let handler = Arc::new(move |request| handled.receive(request));
        let server = Server::start(&self.address.to_string(), handler)?;
        *self.server.lock().unwrap() = Some(server);
        let boot = Boot::new();
        self.record.line(&format!("{} starts, born {}", self.settings.id, boot.born));
        *self.boot.lock().unwrap() = Some(boot);
        self.check_in();
        Ok(())
    }

    /// Kills the process: its connections close, and everything that runs on it ends.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let Some(boot) = self.boot.lock().unwrap().take() else { return };
        self.record.line(&format!("{} crashes", self.settings.id));
        for (task, run) in boot.running.keys() {
            self.end_interval(task, *run, "crashed");
        }
    }

    /// Announces from now on that the worker drains and leaves no sooner than in `remaining_ms`.
    pub fn drain(&self, remaining_ms: u64) {
        *self.draining.lock().unwrap() = Some(remaining_ms);
        self.record.line(&format!("{} drains", self.settings.id));
        self.check_in();
    }

    /// Lets orders stay unanswered and carries them out late.
    pub fn hold_orders(&self, late: LateOrders) {
        *self.late.lock().unwrap() = Some(late);
    }

    /// Sends one check-in to the agent.
    fn check_in(&self) {
        let body = {
            let mut boot = self.boot.lock().unwrap();
            let Some(boot) = boot.as_mut() else { return };
            boot.seq += 1;
            let draining = *self.draining.lock().unwrap();
            let mut body = json!({
                "service": self.settings.service,
                "address": self.address.to_string(),
                "zone": self.settings.zone,
                "version": "v1",
                "slots": 8,
                "state": if draining.is_some() { "draining" } else { "ready" },
                "cold_ms": 0,
                "capacity": { "cpu": 64_000, "mem_mb": 262_144, "gpu": self.settings.gpu },
                "labels": ["a", format!("rack-{}", self.settings.zone)],
                "clock_ms": boot.clock_ms(),
                "born": boot.born,
                "seq": boot.seq,
            });
            if let Some(remaining_ms) = draining {
                body["remaining_ms"] = remaining_ms.into();
            }
            body.to_string()
        };
        let path = format!("/Instances.Heartbeat/{}", self.settings.id);
        let answer = call(self.agent, "POST", &path, &[], body.as_bytes(), Duration::from_secs(1));
        if answer.is_none_or(|(status, _)| status != 200) {
            self.record.line(&format!("{}: check-in not acknowledged", self.settings.id));
        }
    }

    /// Takes a call from the network: holds it, or passes it on at once.
    fn receive(self: &Arc<Self>, request: Request) -> Answer {
        if request.path == "/run-start" {
            let mut late = self.late.lock().unwrap();
            if let Some(rule) = late.as_mut()
                && Instant::now() < rule.until
                && rule.count > 0
            {
                rule.count -= 1;
                let (worker, delay) = (self.clone(), rule.delay);
                self.record.line(&format!(
                    "{}: start held by the network for {} ms, not answered: {}",
                    self.settings.id,
                    delay.as_millis(),
                    String::from_utf8_lossy(&request.body)
                ));
                thread::spawn(move || {
                    thread::sleep(delay);
                    let answer = worker.handle(&request);
                    let text = answer.map_or_else(
                        || "no boot takes it".to_owned(),
                        |(status, body)| format!("{status} {}", String::from_utf8_lossy(&body)),
                    );
                    worker.record.line(&format!(
                        "{}: the late start arrives and is carried out: {text}",
                        worker.settings.id
                    ));
                });
                return None;
            }
        }
        self.handle(&request)
    }

    fn handle(&self, request: &Request) -> Answer {
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|id| *id != self.settings.id) {
            return Some((421, Vec::new()));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (status, answer) = match request.path.as_str() {
            "/run-start" => self.start_run(&body)?,
            "/run-stop" => self.stop_run(&body)?,
            "/pace" => (200, json!({ "clock_ms": 0 })),
            "/hold" => self.hold(&body)?,
            _ => (404, json!({})),
        };
        Some((status, answer.to_string().into_bytes()))
    }

    fn start_run(&self, body: &Value) -> Option<(u16, Value)> {
        let mut guard = self.boot.lock().unwrap();
        let boot = guard.as_mut()?;
        let now = boot.clock_ms();
        let refuse = |reason: &str| Some((409, json!({ "clock_ms": now, "reason": reason })));
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = u32::try_from(body["run"].as_u64().unwrap_or(0)).unwrap_or(0);
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < boot.highest_token {
            return refuse("fence");
        }
        boot.highest_token = token;
        if boot.running.contains_key(&(task.clone(), run)) {
            return Some((200, json!({ "clock_ms": now })));
        }
        let deadline = body["deadline_ms"].as_u64();
        boot.extend(deadline, self.settings.hold_max_ms);
        if boot.past.get(&task).is_some_and(|past| run <= *past) {
            return refuse("old");
        }
        // A start whose own deadline has passed is refused, even if a later call has extended the
        // leases of the worker.
        if boot.deadline_ms <= now || deadline.is_some_and(|deadline| deadline <= now) {
            return refuse("late");
        }
        let (work_ms, gpu) = work_of(body["spec"].as_str().unwrap_or_default());
        let used: i64 = boot.running.values().map(|run| run.gpu).sum();
        if used + gpu > self.settings.gpu {
            return refuse("room");
        }
        let (started, work) = (Instant::now(), Duration::from_millis(work_ms));
        let ends = started + work;
        boot.running.insert((task.clone(), run), Run { ends, gpu, stops: None, started, work });
        self.record.line(&format!("{}: {task} run {run} begins", self.settings.id));
        self.intervals.lock().unwrap().push(Interval {
            worker: self.settings.id.clone(),
            task,
            run,
            began: started,
            ended: None,
            how: String::new(),
            noted: false,
        });
        Some((200, json!({ "clock_ms": now })))
    }

    fn stop_run(&self, body: &Value) -> Option<(u16, Value)> {
        let mut guard = self.boot.lock().unwrap();
        let boot = guard.as_mut()?;
        let now = boot.clock_ms();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = u32::try_from(body["run"].as_u64().unwrap_or(0)).unwrap_or(0);
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < boot.highest_token {
            return Some((409, json!({ "clock_ms": now, "reason": "fence" })));
        }
        boot.highest_token = token;
        match boot.running.get_mut(&(task.clone(), run)) {
            Some(active) => {
                let stops = Instant::now() + self.settings.stop;
                active.stops.get_or_insert(stops);
            }
            None => {
                let past = boot.past.entry(task).or_insert(0);
                *past = (*past).max(run);
            }
        }
        Some((200, json!({ "clock_ms": now })))
    }

    fn hold(&self, body: &Value) -> Option<(u16, Value)> {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2000));
        let end = Instant::now() + wait;
        let mut guard = self.boot.lock().unwrap();
        let born = {
            let boot = guard.as_mut()?;
            let token = body["fencing_token"].as_u64().unwrap_or(0);
            if token < boot.highest_token {
                let answer = json!({ "clock_ms": boot.clock_ms(), "reason": "fence" });
                return Some((409, answer));
            }
            boot.highest_token = token;
            boot.extend(body["deadline_ms"].as_u64(), self.settings.hold_max_ms);
            let acked = body["ack_seq"].as_u64().unwrap_or(0);
            for (_, task, run, _, _) in boot.finished.iter().filter(|end| end.0 <= acked) {
                self.note_end(task, *run);
            }
            boot.finished.retain(|end| end.0 > acked);
            boot.born
        };
        loop {
            let boot = guard.as_ref().filter(|boot| boot.born == born)?;
            let left = end.saturating_duration_since(Instant::now());
            if !boot.finished.is_empty() || left.is_zero() {
                return Some((200, listing(boot, &self.settings)));
            }
            guard = self.changed.wait_timeout(guard, left).unwrap().0;
        }
    }

    /// Ends the runs that are done, stopped or without a lease.
    fn tick(&self) {
        let mut guard = self.boot.lock().unwrap();
        let Some(boot) = guard.as_mut() else { return };
        let (now, lapsed) = (Instant::now(), boot.deadline_ms <= boot.clock_ms());
        let mut ended = Vec::new();
        for ((task, number), run) in &boot.running {
            let how = if lapsed {
                "lapsed"
            } else if run.stops.is_some_and(|stops| now >= stops) {
                "stopped"
            } else if now >= run.ends {
                "done"
            } else {
                continue;
            };
            ended.push((task.clone(), *number, how));
        }
        for (task, run, how) in ended {
            boot.running.remove(&(task.clone(), run));
            let past = boot.past.entry(task.clone()).or_insert(0);
            *past = (*past).max(run);
            boot.ends += 1;
            let saved = checkpoint(self.settings.checkpoint, &task, boot.ends);
            boot.finished.push((boot.ends, task.clone(), run, how, saved));
            self.end_interval(&task, run, how);
            self.changed.notify_all();
        }
    }

    fn end_interval(&self, task: &str, run: u32, how: &str) {
        self.record.line(&format!("{}: {task} run {run} ends: {how}", self.settings.id));
        let mut intervals = self.intervals.lock().unwrap();
        let open = intervals.iter_mut().rev().find(|interval| {
            interval.ended.is_none()
                && interval.worker == self.settings.id
                && interval.task == task
                && interval.run == run
        });
        if let Some(interval) = open {
            interval.ended = Some(Instant::now());
            interval.how = how.to_owned();
        }
    }

    fn note_end(&self, task: &str, run: u32) {
        let mut intervals = self.intervals.lock().unwrap();
        let ended = intervals.iter_mut().find(|interval| {
            interval.worker == self.settings.id && interval.task == task && interval.run == run
        });
        if let Some(interval) = ended {
            interval.noted = true;
        }
    }
}

/// Returns the work in milliseconds and the accelerators that a `spec` of the form
/// "MILLISECONDS ACCELERATORS" asks for.
fn work_of(spec: &str) -> (u64, i64) {
    let mut parts = spec.split(' ');
    let work = parts.next().and_then(|text| text.parse().ok()).unwrap_or(1000);
    (work, parts.next().and_then(|text| text.parse().ok()).unwrap_or(1))
}

/// Returns a checkpoint of `length` characters, or none if that is 0.
fn checkpoint(length: usize, task: &str, progress: u64) -> String {
    let mut text = task.replace('.', "-") + &format!("-{progress:0length$x}");
    text.truncate(length);
    text
}

fn listing(boot: &Boot, settings: &WorkerSettings) -> Value {
    let running: Vec<Value> = boot
        .running
        .iter()
        .map(|((task, number), run)| {
            let share = run.started.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
            let percent = (share * 100.0).clamp(0.0, 100.0) as u64;
            let saved = checkpoint(settings.checkpoint, task, percent);
            json!([task, number, saved, percent, 1000])
        })
        .collect();
    let finished: Vec<Value> = boot
        .finished
        .iter()
        .take(ENDS_AT_A_TIME)
        .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
        .collect();
    json!({ "clock_ms": boot.clock_ms(), "born": boot.born, "running": running, "finished": finished })
}

/// Returns pairs of runs of one task that were active at the same time for longer than `slack`.
pub fn overlaps(intervals: &[Interval], slack: Duration) -> Vec<String> {
    let mut found = Vec::new();
    let now = Instant::now();
    for (index, first) in intervals.iter().enumerate() {
        for second in &intervals[index + 1..] {
            if first.task != second.task {
                continue;
            }
            let began = first.began.max(second.began);
            let ended = first.ended.unwrap_or(now).min(second.ended.unwrap_or(now));
            let both = ended.saturating_duration_since(began);
            if both > slack {
                found.push(format!(
                    "{}: run {} on {} and run {} on {} at the same time for {} ms",
                    first.task,
                    first.run,
                    first.worker,
                    second.run,
                    second.worker,
                    both.as_millis()
                ));
            }
        }
    }
    found
}

/// Returns the starts of tasks that had ended as done before, if that end has been taken note of.
/// Leases never lapse in the cases that use this.
pub fn repeats(intervals: &[Interval]) -> Vec<String> {
    let mut found = Vec::new();
    for done in intervals.iter().filter(|interval| interval.how == "done" && interval.noted) {
        let again = intervals.iter().find(|interval| {
            interval.task == done.task
                && interval.run != done.run
                && done.ended.is_some_and(|ended| interval.began > ended)
        });
        if let Some(again) = again {
            found.push(format!(
                "{}: run {} has ended as done on {}, and run {} begins on {}",
                done.task, done.run, done.worker, again.run, again.worker
            ));
        }
    }
    found
}
