use std::collections::VecDeque;
use std::time::Duration;

use skylarkpulley_jobs::{AdviceAnswer, AdviceCall, EndKind, Job, TaskId, WorkerReport};

use crate::rig::{Rig, ended, job, report, step, worker};

/// Time between two steps of the replay in milliseconds.
const STEP_MS: u64 = 10;

/// Time that the policy takes for a decision and for each worker that it is asked about.
const ADVICE_MS: (u64, u64) = (400, 100);

/// Time between two jobs in milliseconds; the policy can answer one question in 600 ms.
const GAP_MS: f64 = 714.0;

/// Run time of a job in milliseconds.
const RUN_MS: u64 = 1000;

const WORKERS: u32 = 2;

/// A policy that handles one question at a time, in the order in which they were asked.
#[derive(Default)]
struct SlowPolicy {
    /// Questions with the time at which each is answered.
    queue: VecDeque<(u64, AdviceCall)>,
}

impl SlowPolicy {
    fn ask(&mut self, now_ms: u64, call: AdviceCall) {
        let start_ms = self.queue.back().map_or(now_ms, |(end_ms, _)| now_ms.max(*end_ms));
        let workers = u64::try_from(call.workers.len()).unwrap();
        self.queue.push_back((start_ms + ADVICE_MS.0 + ADVICE_MS.1 * workers, call));
    }

    fn answered(&mut self, now_ms: u64) -> Option<AdviceCall> {
        self.queue.pop_front_if(|(end_ms, _)| *end_ms <= now_ms).map(|(_, call)| call)
    }
}

/// Jobs on two workers whose policy decides slowly.
struct Replay {
    ends: u64,
    now_ms: u64,
    policy: SlowPolicy,
    rig: Rig,
    /// Runs with their worker and the time at which they started.
    running: Vec<(u32, TaskId, u32, u64)>,
    started: usize,
}

impl Replay {
    fn new() -> Self {
        let (policy, rig) = (SlowPolicy::default(), Rig::new(WORKERS));
        Self { ends: 0, now_ms: 0, policy, rig, running: Vec::new(), started: 0 }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.rig.advance(STEP_MS);
        if let Some(call) = self.policy.answered(self.now_ms) {
            let permits = call.workers.iter().map(|id| (id.clone(), "permit".to_owned()));
            let answer = AdviceAnswer { permits: permits.collect(), valid: Duration::from_secs(3) };
            self.rig.core.handle_advice(self.rig.now, &call, Some(&answer));
        }
        self.rig.place_and_commit();
        while let Some(call) = self.rig.core.next_advice_call(self.rig.now) {
            self.policy.ask(self.now_ms, call);
        }
        for (id, task, run) in self.rig.starts() {
            let number = id[1..].parse().unwrap();
            self.running.push((number, task, run, self.now_ms));
            self.started += 1;
        }
        let due = |run: &(u32, TaskId, u32, u64)| self.now_ms >= run.3 + RUN_MS;
        let (done, running) = self.running.drain(..).partition(due);
        self.running = running;
        let done: Vec<(u32, TaskId, u32, u64)> = done;
        for number in 0..WORKERS {
            let status = worker(number, 1);
            let here = self.running.iter().filter(|run| run.0 == number);
            let listed: Vec<(TaskId, u32)> = here.map(|run| (run.1.clone(), run.2)).collect();
            self.rig.core.report(self.rig.now, &report(&status, &listed));
        }
        for (number, task, run, _) in done {
            self.ends += 1;
            let status = worker(number, 1);
            let here = self.running.iter().filter(|run| run.0 == number);
            let listed: Vec<(TaskId, u32)> = here.map(|run| (run.1.clone(), run.2)).collect();
            let end = ended(&status, self.ends, &task, run, EndKind::Done);
            let running = report(&status, &listed).running;
            self.rig.core.report(self.rig.now, &WorkerReport { running, ..end });
        }
    }

    /// Submits jobs for 56 s, 2.3 times as many from 10 to 16 s if `burst` is set, and plays 14 s
    /// more. Returns how many of them have not started.
    fn play(&mut self, burst: bool) -> usize {
        let (mut next_ms, mut submitted) = (0.0, 0);
        while self.now_ms < 70_000 {
            while next_ms < 56_000.0 && next_ms <= self.now_ms as f64 {
                let small =
                    Job { advised: true, ..job(&format!("j{submitted:03}"), 1, step(1, 0)) };
                self.rig.submit(small);
                submitted += 1;
                let in_burst = burst && (10_000.0..16_000.0).contains(&next_ms);
                next_ms += if in_burst { GAP_MS / 2.3 } else { GAP_MS };
            }
            self.step();
        }
        submitted - self.started
    }
}

/// Guards against questions to a slow placement policy that pile up after a burst: a step that waited
/// for its turn was asked about again, questions about steps that no longer waited were not withdrawn,
/// and accepted jobs had not begun 14 s after the traffic although all workers were idle.
#[test]
fn advice_after_burst() {
    assert_eq!(Replay::new().play(false), 0, "the policy can answer the usual traffic");
    assert_eq!(Replay::new().play(true), 0);
}

/// Guards against asking for what is worth least first: the open question cannot be withdrawn, the
/// next one is the most urgent.
#[test]
fn advice_most_urgent_first() {
    let mut rig = Rig::new(1);
    let ask = |rig: &mut Rig, id: &str, class: u8| {
        rig.submit(Job { advised: true, ..job(id, class, step(1, 0)) });
        rig.core.next_advice_call(rig.now).map(|call| call.step.job)
    };
    assert_eq!(ask(&mut rig, "first", 2).as_deref(), Some("first"));
    assert_eq!(ask(&mut rig, "late", 2), None);
    assert_eq!(ask(&mut rig, "gone", 0), None);
    assert_eq!(ask(&mut rig, "urgent", 1), None);
    rig.core.cancel(rig.now, "gone");
    let open = AdviceCall {
        step: skylarkpulley_jobs::StepId { job: "first".to_owned(), occurrence: 0, step: 0 },
        workers: vec!["w0".to_owned()],
    };
    rig.core.handle_advice(rig.now, &open, None);
    rig.place_and_commit();
    let next = rig.core.next_advice_call(rig.now).map(|call| call.step.job);
    assert_eq!(next.as_deref(), Some("urgent"));
}
