//! Each check of gangs, capacity, cancels and unfinished jobs notices a stand-in that is wrong.

use std::time::{Duration, Instant};

use skylarkpulley_platform_standins::{
    CallOutcome, Gangs, JobSpec, Observation, Observations, StartAnswer, StartOrder, StepSpec,
    Worker, WorkerLimits,
};
use skylarkpulley_soak::{JudgeLimits, OpenTask, Violation, judge};

const SECOND: Duration = Duration::from_secs(1);

const RIGHT: WorkerLimits = WorkerLimits {
    accelerators: 1,
    clock_rate: 1.0,
    enforced: true,
    gang_wait: Duration::from_secs(3),
    longest_lease: Duration::from_secs(60),
    stop: Duration::from_millis(200),
};

/// Two workers, and an accepted job of two tasks.
struct Setting {
    observations: Observations,
    start: Instant,
    workers: [Worker; 2],
}

impl Setting {
    fn new(limits: WorkerLimits, gangs: [&Gangs; 2], gang: bool) -> Self {
        let start = Instant::now();
        let observations = Observations::new(start);
        let step = StepSpec { after: Vec::new(), count: 2, gang, work: SECOND };
        let job = JobSpec { crashes: false, id: "a".to_owned(), steps: vec![step] };
        observations.record(start, Observation::Submitted(job));
        let (job, outcome) = ("a".to_owned(), CallOutcome::Accepted);
        observations.record(start, Observation::SubmitEnded { job, outcome });
        let worker = |id, gangs: &Gangs| Worker::new(id, limits, gangs.clone(), start);
        let workers = [worker("v", gangs[0]), worker("w", gangs[1])];
        Self { observations, start, workers }
    }

    fn start(&mut self, worker: usize, task: &str, run: u32, gang: Option<u32>) -> StartAnswer {
        let order = StartOrder {
            accelerators: 1,
            crashes: false,
            deadline_ms: Some(60_000),
            epoch: 1,
            gang,
            run,
            task: task.to_owned(),
            work: SECOND,
        };
        self.workers[worker].start(self.start, &order)
    }

    /// Advances the workers and judges what was observed. The state of the job is seen 5 s later.
    fn judge(mut self, advanced: Duration, state: &str) -> Vec<Violation> {
        for worker in &mut self.workers {
            worker.advance(self.start + advanced);
            for (at, observation) in worker.take_observed() {
                self.observations.record(at, observation);
            }
        }
        let (job, state) = ("a".to_owned(), state.to_owned());
        self.observations.record(self.start + SECOND * 5, Observation::FinalState { job, state });
        judge(&self.observations.snapshot(), JudgeLimits::default())
    }
}

/// Guards against checks that object to stand-ins that are right.
#[test]
fn right_standins() {
    let gangs = Gangs::default();
    let mut setting = Setting::new(RIGHT, [&gangs, &gangs], true);
    assert_eq!(setting.start(0, "a.0.0.0", 1, Some(2)), StartAnswer::Started);
    assert_eq!(setting.start(0, "a.0.0.1", 1, Some(2)), StartAnswer::Refused("room"));
    assert_eq!(setting.start(1, "a.0.0.1", 1, Some(2)), StartAnswer::Started);
    assert_eq!(setting.judge(SECOND * 2, "completed"), []);
}

/// Guards against overlooking a worker that takes one member of a gang for the whole.
#[test]
fn worker_ends_gang_alone() {
    let gangs = Gangs::default();
    let mut setting = Setting::new(RIGHT, [&gangs, &gangs], true);
    setting.start(0, "a.0.0.0", 1, Some(1));
    let violations = setting.judge(SECOND * 2, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Partial { .. }]), "{violations:?}");
}

/// Guards against overlooking workers that do not tell each other of the members of a gang.
#[test]
fn workers_split_gang() {
    let mut setting = Setting::new(RIGHT, [&Gangs::default(), &Gangs::default()], true);
    setting.start(0, "a.0.0.0", 1, Some(2));
    setting.start(1, "a.0.0.1", 2, Some(2));
    let violations = setting.judge(SECOND * 4, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Split { .. }, ..]), "{violations:?}");
}

/// Guards against overlooking a worker that starts more than fits.
#[test]
fn worker_takes_too_much() {
    let gangs = Gangs::default();
    let limits = WorkerLimits { enforced: false, ..RIGHT };
    let mut setting = Setting::new(limits, [&gangs, &gangs], false);
    setting.start(0, "a.0.0.0", 1, None);
    assert_eq!(setting.start(0, "a.0.0.1", 1, None), StartAnswer::Started);
    let violations = setting.judge(SECOND * 2, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Overfull { .. }]), "{violations:?}");
}

/// Guards against overlooking a worker that does not carry out a stop.
#[test]
fn worker_ignores_stop() {
    let gangs = Gangs::default();
    let limits = WorkerLimits { stop: Duration::from_secs(600), ..RIGHT };
    let mut setting = Setting::new(limits, [&gangs, &gangs], false);
    setting.start(0, "a.0.0.0", 1, None);
    let job = "a".to_owned();
    setting.observations.record(setting.start, Observation::CancelSent { job: job.clone() });
    assert!(setting.workers[0].stop(setting.start, 1, "a.0.0.0", 1));
    setting.observations.record(setting.start, Observation::CancelEnded { job });
    let violations = setting.judge(SECOND / 2, "cancelled");
    assert!(matches!(violations.as_slice(), [Violation::Left { .. }]), "{violations:?}");
}

/// Guards against a verdict on a lost job that does not tell an end that nobody took note of from a
/// task that never started.
#[test]
fn ends_not_noted() {
    let gangs = Gangs::default();
    let mut setting = Setting::new(RIGHT, [&gangs, &gangs], false);
    setting.start(0, "a.0.0.0", 1, None);
    let violations = setting.judge(SECOND * 2, "running");
    let [Violation::Unfinished { tasks, .. }] = violations.as_slice() else {
        panic!("{violations:?}")
    };
    assert!(
        matches!(tasks.as_slice(), [OpenTask::NotNoted { .. }, OpenTask::NotStarted { .. }]),
        "{tasks:?}"
    );
}
