//! Tests of restarts of urgent gangs, on workers of different speeds.

use std::collections::BTreeMap;

use skylarkpulley_jobs::{
    Decision, DecisionKind, EndKind, Job, Normal, RunEnd, RunReport, Step, TaskId, WorkerReport,
};

use crate::rig::{Rig, job, report, step, worker};

/// Interval of the reports in milliseconds.
const INTERVAL: u64 = 100;

/// Time in milliseconds that a worker takes to stop a run.
const STOP: u64 = 300;

/// A run at a worker.
struct Run {
    begun: Option<u64>,
    number: u32,
    stop_at: Option<u64>,
    worker: u32,
}

/// Workers that carry out the orders of a coordinator.
struct Play {
    /// Ends so far, by worker.
    ends: BTreeMap<u32, u64>,
    elapsed: u64,
    rig: Rig,
    runs: BTreeMap<TaskId, Run>,
    /// Factor by which runs take longer, by worker.
    slowness: Vec<f64>,
    /// Run time in milliseconds on a usual worker.
    work: u64,
    /// Whether the members of a gang advance at the pace of the slowest one.
    paced: bool,
    /// Worker whose report at a time shows the progress of this long before.
    delay: Option<(u32, u64, u64)>,
    /// Until when an earlier leader may extend leases.
    predecessor_until: u64,
    decisions: Vec<Decision>,
}

impl Play {
    fn new(slowness: &[f64], work: u64) -> Self {
        let rig = Rig::new(u32::try_from(slowness.len()).expect("few workers"));
        Self {
            ends: BTreeMap::new(),
            elapsed: 0,
            rig,
            runs: BTreeMap::new(),
            slowness: slowness.to_vec(),
            work,
            paced: false,
            delay: None,
            predecessor_until: 0,
            decisions: Vec::new(),
        }
    }

    fn percent(&self, task: &TaskId, run: &Run) -> u8 {
        let gang = self.runs.iter().filter(|(other, _)| other.job == task.job);
        let slowest = gang.map(|(_, run)| self.slowness[run.worker as usize]).fold(0.0, f64::max);
        let own = self.slowness[run.worker as usize];
        let factor = if self.paced { slowest } else { own };
        let elapsed = run.begun.map_or(0, |begun| self.elapsed - begun);
        (elapsed as f64 * 100.0 / (self.work as f64 * factor)).min(100.0) as u8
    }

    /// Returns the progress that the worker reports, which may be late.
    fn reported_percent(&self, task: &TaskId, run: &Run) -> u8 {
        let percent = self.percent(task, run);
        let Some((_, _, delay)) =
            self.delay.filter(|(late, at, _)| *late == run.worker && *at == self.elapsed)
        else {
            return percent;
        };
        let slowness = self.slowness[run.worker as usize];
        let missing = delay as f64 * 100.0 / (self.work as f64 * slowness);
        percent.saturating_sub(missing as u8)
    }

    /// Lets the workers carry out their orders and report, for one interval.
    fn advance(&mut self) {
        self.elapsed += INTERVAL;
        if self.elapsed > self.predecessor_until {
            self.rig.core.end_predecessor(self.rig.now);
        }
        let mut ends: BTreeMap<u32, Vec<RunEnd>> = BTreeMap::new();
        let members = self.runs.len();
        let all_present = |job: &str, runs: &BTreeMap<TaskId, Run>| {
            runs.keys().filter(|task| task.job == job).count() == members
        };
        let complete: Vec<bool> =
            self.runs.iter().map(|(task, run)| self.percent(task, run) == 100).collect();
        let done = !complete.is_empty() && complete.iter().all(|complete| *complete);
        let mut ended = Vec::new();
        for (task, run) in &self.runs {
            let stopped = run.stop_at.is_some_and(|at| at <= self.elapsed);
            if done || stopped {
                let kind = if done { EndKind::Done } else { EndKind::Stopped };
                let checkpoint = String::new();
                let end = RunEnd { checkpoint, kind, run: run.number, task: task.clone() };
                ends.entry(run.worker).or_default().push(end);
                ended.push(task.clone());
            }
        }
        for task in ended {
            self.runs.remove(&task);
        }
        for number in 0..self.slowness.len() as u32 {
            let status = worker(number, 1);
            let running = self.runs.iter().filter(|(_, run)| run.worker == number);
            let running = running.map(|(task, run)| RunReport {
                checkpoint: String::new(),
                percent: self.reported_percent(task, run),
                run: run.number,
                task: task.clone(),
            });
            let running: Vec<RunReport> = running.collect();
            let ended = ends.remove(&number).unwrap_or_default();
            let through = self.ends.entry(number).or_default();
            *through += ended.len() as u64;
            let report =
                WorkerReport { ended, ended_through: *through, running, ..report(&status, &[]) };
            self.rig.core.report(self.rig.now, &report);
        }
        self.rig.advance(INTERVAL);
        self.rig.place_and_commit();
        for (task, number) in self.rig.stops() {
            let until = self.elapsed + STOP;
            if let Some(run) = self.runs.get_mut(&task).filter(|run| run.number == number) {
                run.stop_at.get_or_insert(until);
            }
        }
        for (id, task, number) in self.rig.starts() {
            let worker = id[1..].parse().expect("a number");
            let run = Run { begun: None, number, stop_at: None, worker };
            self.runs.entry(task).or_insert(run);
        }
        let jobs: Vec<String> = self.runs.keys().map(|task| task.job.clone()).collect();
        for job in jobs {
            if all_present(&job, &self.runs) || members == 0 {
                for run in self.runs.values_mut() {
                    run.begun.get_or_insert(self.elapsed);
                }
            }
        }
        self.decisions.extend(self.rig.core.take_decisions());
    }

    /// Advances until the job has ended; returns the time since its submission in milliseconds.
    fn run(&mut self, job: Job) -> u64 {
        let id = job.id.clone();
        let since = self.elapsed;
        self.rig.submit(job);
        for _ in 0..600 {
            self.advance();
            let is_end =
                |decision: &Decision| decision.id == id && decision.kind == DecisionKind::Ended;
            if self.decisions.iter().any(is_end) {
                return self.elapsed - since;
            }
        }
        panic!("the job has not ended: {:?}", self.decisions);
    }

    fn restarts(&self) -> Vec<&Decision> {
        let is_restart = |decision: &&Decision| {
            decision.kind == DecisionKind::Stopped && decision.detail.starts_with("restarted")
        };
        self.decisions.iter().filter(is_restart).collect()
    }

    fn slowness(&self, number: u32) -> Normal {
        self.rig.core.worker_slowness(&format!("w{number}"), self.rig.now)
    }
}

/// An urgent gang of five whole workers.
fn gang(id: &str, estimate_ms: u64) -> Job {
    let members = Step { estimate_ms, gang: true, ..step(5, 8) };
    Job { slack: 1.5, target_ms: 250, ..job(id, 0, members) }
}

fn objective(work: u64) -> u64 {
    work * 3 / 2 + 250
}

/// Guards against an urgent gang that stays on a slow worker until it is late, while others are free.
#[test]
fn restart_slow_member() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0, 1.0, 1.0, 1.0], 8000);
    let time = play.run(gang("late", 8000));
    assert_eq!(play.restarts().len(), 1, "{:?}", play.decisions);
    assert!(time <= objective(8000), "{time} {:?}", play.decisions);
    let failed = |decision: &&Decision| decision.detail.contains("Failed");
    assert!(!play.decisions.iter().any(|decision| failed(&decision)));
}

/// Guards against a restart that has nowhere better to go: no room, or only workers that are known to
/// be slow.
#[test]
fn restart_without_room() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0], 8000);
    play.run(gang("stays", 8000));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());

    let mut play = Play::new(&[1.0, 1.0, 1.0, 1.0, 1.6, 1.6, 1.6, 1.6], 8000);
    for number in 0..3 {
        let whole = Step { estimate_ms: 8000, gang: true, ..step(8, 8) };
        play.run(job(&format!("learn{number}"), 1, whole));
    }
    play.run(gang("stays", 8000));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());
}

/// Guards against a restart near the end, which would lose the work and end later.
#[test]
fn restart_near_end() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0, 1.0, 1.0, 1.0], 8000);
    play.predecessor_until = 6000;
    play.run(gang("near", 8000));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());
}

/// Guards against a restart while an earlier leader may extend the leases of the run, so that its
/// stop may take longer than expected.
#[test]
fn restart_with_predecessor() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0, 1.0, 1.0, 1.0], 8000);
    play.predecessor_until = u64::MAX;
    play.run(gang("leased", 8000));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());
}

/// Guards against a gang that is restarted again and again.
#[test]
fn restart_once() {
    // The work is long enough that another restart would pay.
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0, 1.6, 1.6, 1.6], 30_000);
    play.run(gang("once", 30_000));
    assert_eq!(play.restarts().len(), 1, "{:?}", play.decisions);
}

/// Guards against another restart by a successor, which knows of the first one only by the number of
/// the run: it takes over after the stop and starts the gang itself.
#[test]
fn restart_once_takeover() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0, 1.6, 1.6, 1.6], 30_000);
    play.rig.submit(gang("moved", 30_000));
    while play.restarts().is_empty() || !play.runs.is_empty() {
        play.advance();
        let stops_next = |run: &Run| run.stop_at.is_some_and(|at| at <= play.elapsed + INTERVAL);
        if !play.runs.is_empty() && play.runs.values().all(stops_next) {
            play.rig.take_over();
            break;
        }
    }
    for _ in 0..100 {
        play.advance();
    }
    assert!(play.runs.values().all(|run| run.number == 2), "{:?}", play.decisions);
    assert_eq!(play.runs.len(), 5);
    assert_eq!(play.restarts().len(), 1, "{:?}", play.decisions);
}

/// Guards against restarts of single tasks that have more work than expected, on workers that
/// nothing else is known about.
#[test]
fn restart_single_unknown() {
    for estimate in [500, 4000, 8000] {
        let mut play = Play::new(&[1.0; 4], 8000);
        let alone = Step { estimate_ms: estimate, ..step(1, 8) };
        play.run(Job { slack: 1.5, target_ms: 250, ..job("single", 0, alone) });
        assert!(play.restarts().is_empty(), "{estimate} {:?}", play.restarts());
    }

    // The work of a route triples, so that its expectation weighs more than the run.
    let mut play = Play::new(&[1.0; 4], 3000);
    let single = |id: &str| Job { slack: 1.5, target_ms: 2500, ..job(id, 0, step(1, 8)) };
    for number in 0..6 {
        play.run(single(&format!("short{number}")));
    }
    play.work = 9000;
    play.run(single("long"));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());
}

/// Guards against restarts of gangs on equal workers because their estimate is wrong.
#[test]
fn restart_equal_workers() {
    for estimate in [500, 2000, 8000, 30_000] {
        let mut play = Play::new(&[1.0; 12], 8000);
        for number in 0..4 {
            play.run(gang(&format!("equal{number}"), estimate));
        }
        assert!(play.restarts().is_empty(), "{estimate} {:?}", play.restarts());
    }

    // The work of a route triples, so that its expectation weighs more than two members.
    let mut play = Play::new(&[1.0; 12], 3000);
    let pair = |id: &str| {
        let members = Step { estimate_ms: 3000, gang: true, ..step(2, 8) };
        Job { slack: 1.5, target_ms: 2500, ..job(id, 0, members) }
    };
    for number in 0..6 {
        play.run(pair(&format!("short{number}")));
    }
    play.work = 9000;
    play.run(pair("long"));
    assert!(play.restarts().is_empty(), "{:?}", play.restarts());
}

/// Guards against marking a worker as slow because one report of it arrives late, or because its
/// percentage is rounded down.
#[test]
fn restart_late_report() {
    for at in [500, 700, 800, 1000, 1200, 2000] {
        let mut play = Play::new(&[1.0; 8], 8000);
        play.delay = Some((2, at, 400));
        play.run(gang("sound", 8000));
        assert!(play.restarts().is_empty(), "{at} {:?}", play.restarts());
        for number in 0..8 {
            assert!(play.slowness(number).mean.abs() < 0.1, "{at} {number}");
        }
    }
}

/// Guards against reading a gang that its slowest member paces as one on equal workers.
#[test]
fn observe_paced_gang() {
    let mut play = Play::new(&[1.0, 1.0, 1.6, 1.0, 1.0], 8000);
    play.paced = true;
    play.run(gang("paced", 8000));
    let known = (0..5).filter(|number| play.slowness(*number).is_known_slowness()).count();
    assert!(known <= 1, "{known}");
}

/// Guards against speeds that are still unknown after each worker has run a member of a gang.
#[test]
fn observe_gang_of_each() {
    let slowness = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0];
    let mut play = Play::new(&slowness, 3000);
    let whole = Step { estimate_ms: 3000, gang: true, ..step(10, 8) };
    play.run(Job { slack: 1.5, target_ms: 250, ..job("all", 0, whole) });
    for (number, slowness) in (0..).zip(slowness) {
        let learned = play.slowness(number);
        assert!(learned.is_known_slowness(), "{number} {learned:?}");
        assert!((learned.mean - slowness.ln()).abs() < 0.2, "{number} {learned:?}");
    }
}
