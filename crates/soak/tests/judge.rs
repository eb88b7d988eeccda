//! Each promise that the soak checks is shown to be noticed when it is broken.

use std::time::Duration;

use skylarkpulley_platform_standins::{CallOutcome, EndKind, JobSpec, Observation, StepSpec};
use skylarkpulley_soak::{JudgeLimits, OpenTask, Violation, judge};

const TASK: &str = "a.0.0.0";

fn step(after: &[usize], count: u32, gang: bool) -> StepSpec {
    StepSpec { after: after.to_vec(), count, gang, work: Duration::from_secs(1) }
}

fn submitted_steps(steps: Vec<StepSpec>) -> Observation {
    Observation::Submitted(JobSpec { crashes: false, id: "a".to_owned(), steps })
}

/// A job of single tasks, each of which follows the one before.
fn submitted(steps: usize) -> Observation {
    let after = |number: usize| number.checked_sub(1).into_iter().collect::<Vec<_>>();
    submitted_steps((0..steps).map(|number| step(&after(number), 1, false)).collect())
}

fn gang() -> Observation {
    submitted_steps(vec![step(&[], 2, true)])
}

fn submit_ended(outcome: CallOutcome) -> Observation {
    Observation::SubmitEnded { job: "a".to_owned(), outcome }
}

fn started(task: &str, run: u32, worker: &str) -> Observation {
    Observation::Started { epoch: 1, task: task.to_owned(), run, worker: worker.to_owned() }
}

fn ended(task: &str, run: u32, worker: &str, kind: EndKind) -> Observation {
    Observation::Ended { kind, task: task.to_owned(), run, worker: worker.to_owned() }
}

fn noted(run: u32, lapsed: bool) -> Observation {
    Observation::EndNoted { task: TASK.to_owned(), run, lapsed, worker: "w".to_owned() }
}

fn final_state(state: &str) -> Observation {
    Observation::FinalState { job: "a".to_owned(), state: state.to_owned() }
}

/// Judges observations that are one second apart, of a job that was accepted.
fn judge_accepted(steps: usize, observations: Vec<Observation>, state: &str) -> Vec<Violation> {
    judge_job(submitted(steps), observations, state)
}

fn judge_job(job: Observation, observations: Vec<Observation>, state: &str) -> Vec<Violation> {
    let mut all = vec![job, submit_ended(CallOutcome::Accepted)];
    all.extend(observations);
    all.push(final_state(state));
    judge_all(all)
}

fn judge_all(observations: Vec<Observation>) -> Vec<Violation> {
    judge_limited(observations, JudgeLimits::default())
}

fn judge_limited(observations: Vec<Observation>, limits: JudgeLimits) -> Vec<Violation> {
    let timed = observations.into_iter().enumerate().map(|(second, observation)| {
        (Duration::from_secs(u64::try_from(second).expect("a small number")), observation)
    });
    judge(&timed.collect::<Vec<_>>(), limits)
}

/// Guards against a judge that complains about a job that ran once, or again after its lease had
/// lapsed.
#[test]
fn judge_kept() {
    let once = vec![started(TASK, 1, "w"), ended(TASK, 1, "w", EndKind::Done), noted(1, false)];
    assert_eq!(judge_accepted(1, once, "completed"), []);
    let lapsed = vec![
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Done),
        started(TASK, 2, "v"),
        noted(1, true),
        ended(TASK, 2, "v", EndKind::Done),
    ];
    assert_eq!(judge_accepted(1, lapsed, "completed"), []);
    let stopped = vec![
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Stopped),
        started(TASK, 2, "v"),
        ended(TASK, 2, "v", EndKind::Done),
    ];
    assert_eq!(judge_accepted(1, stopped, "completed"), []);
}

/// Guards against overlooking two runs of a task at the same time, also of one number on two
/// workers.
#[test]
fn judge_overlap() {
    for second in [1, 2] {
        let runs = vec![
            started(TASK, 1, "w"),
            started(TASK, second, "v"),
            ended(TASK, 1, "w", EndKind::Done),
            ended(TASK, second, "v", EndKind::Done),
        ];
        let violations = judge_accepted(1, runs, "completed");
        let expected = Violation::Overlap {
            at: Duration::from_secs(3),
            task: TASK.to_owned(),
            first: 1,
            second,
        };
        assert_eq!(violations, [expected]);
    }
}

/// Guards against overlooking a start after an end that was taken note of later.
#[test]
fn judge_start_after_done() {
    let runs = vec![
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Done),
        started(TASK, 2, "v"),
        ended(TASK, 2, "v", EndKind::Stopped),
        noted(1, false),
    ];
    let violations = judge_accepted(1, runs, "completed");
    assert!(
        matches!(violations.as_slice(), [Violation::StartAfterDone { done: 1, run: 2, .. }]),
        "{violations:?}"
    );
}

/// Guards against overlooking a step that begins before the one before it is done.
#[test]
fn judge_order() {
    let runs = vec![
        started(TASK, 1, "w"),
        started("a.0.1.0", 1, "v"),
        ended(TASK, 1, "w", EndKind::Done),
        ended("a.0.1.0", 1, "v", EndKind::Done),
    ];
    let violations = judge_accepted(2, runs, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Order { step: 0, .. }]), "{violations:?}");
}

/// Guards against overlooking a job that was refused and ran, and one that nobody has submitted.
#[test]
fn judge_refused() {
    let refused = vec![submitted(1), submit_ended(CallOutcome::Refused), started(TASK, 1, "w")];
    assert!(matches!(judge_all(refused).as_slice(), [Violation::Refused { .. }]));
    let unknown = vec![submitted(1), submit_ended(CallOutcome::Unknown), started(TASK, 1, "w")];
    assert_eq!(judge_all(unknown), []);
    assert!(matches!(
        judge_all(vec![started(TASK, 1, "w")]).as_slice(),
        [Violation::Unasked { .. }]
    ));
}

/// Guards against overlooking an accepted job that does not end, or that no entry knows.
#[test]
fn judge_unfinished() {
    for state in ["running", ""] {
        let violations = judge_accepted(1, Vec::new(), state);
        let tasks = vec![OpenTask::NotStarted { task: TASK.to_owned() }];
        let (job, state) = ("a".to_owned(), state.to_owned());
        assert_eq!(violations, [Violation::Unfinished { job, state, tasks }]);
    }
}

/// Guards against a verdict that does not tell where a job that did not end has stopped.
#[test]
fn judge_open_tasks() {
    let (task, worker, run) = (TASK.to_owned(), "w".to_owned(), 1);
    let at = Duration::from_secs(3);
    let kind = EndKind::Done;
    let not_started = |task: &str| OpenTask::NotStarted { task: task.to_owned() };
    let follows = OpenTask::Follows { step: 0, task: "a.0.1.0".to_owned() };
    let begun = started(TASK, 1, "w");
    let done = ended(TASK, 1, "w", EndKind::Done);
    let stopped = ended(TASK, 1, "w", EndKind::Stopped);
    for (observations, expected) in [
        (vec![], vec![not_started(TASK), follows.clone()]),
        (
            vec![begun.clone()],
            vec![
                OpenTask::NotEnded {
                    at: Duration::from_secs(2),
                    run,
                    task: task.clone(),
                    worker: worker.clone(),
                },
                follows.clone(),
            ],
        ),
        (
            vec![begun.clone(), done.clone()],
            vec![
                OpenTask::NotNoted { at, kind, run, task: task.clone(), worker: worker.clone() },
                follows.clone(),
            ],
        ),
        (
            vec![begun.clone(), stopped, noted(1, false)],
            vec![OpenTask::NotRestarted { at, kind: EndKind::Stopped, run, task, worker }, follows],
        ),
        (vec![begun, done, noted(1, false)], vec![not_started("a.0.1.0")]),
    ] {
        let violations = judge_accepted(2, observations, "running");
        let [Violation::Unfinished { tasks, .. }] = violations.as_slice() else {
            panic!("{violations:?}")
        };
        assert_eq!(*tasks, expected);
    }
}

/// Guards against a job that crashes workers and is not given up, or is shown as completed.
#[test]
fn judge_crashing() {
    let job = || {
        let steps = vec![step(&[], 1, false)];
        Observation::Submitted(JobSpec { crashes: true, id: "a".to_owned(), steps })
    };
    assert_eq!(judge_job(job(), Vec::new(), "failed"), []);
    for state in ["running", "completed"] {
        let violations = judge_job(job(), Vec::new(), state);
        assert!(matches!(violations.as_slice(), [Violation::Unfinished { .. }]), "{violations:?}");
    }
    let violations = judge_accepted(1, Vec::new(), "failed");
    assert!(matches!(violations.as_slice(), [Violation::Unfinished { .. }]), "{violations:?}");
}

/// Guards against an end that is attributed to an earlier incarnation of a worker, whose run had the
/// same number.
#[test]
fn judge_same_run_after_crash() {
    let runs = vec![
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Crashed),
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Done),
        noted(1, false),
    ];
    assert_eq!(judge_accepted(1, runs, "completed"), []);
}

/// Guards against a step that is taken for done before all the steps that it follows are, and
/// against waiting for each member of a gang.
#[test]
fn judge_after() {
    let job =
        || submitted_steps(vec![step(&[], 2, true), step(&[], 1, false), step(&[0, 1], 1, false)]);
    let mut runs = vec![
        started(TASK, 1, "w"),
        started("a.0.0.1", 1, "v"),
        started("a.0.1.0", 1, "v"),
        ended(TASK, 1, "w", EndKind::Done),
        ended("a.0.1.0", 1, "v", EndKind::Done),
        started("a.0.2.0", 1, "w"),
        ended("a.0.0.1", 1, "v", EndKind::Done),
        ended("a.0.2.0", 1, "w", EndKind::Done),
    ];
    assert_eq!(judge_job(job(), runs.clone(), "completed"), []);
    runs.swap(4, 5);
    let violations = judge_job(job(), runs, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Order { step: 1, .. }]), "{violations:?}");
}

/// Guards against overlooking a gang whose members are in different runs, one that was done in part,
/// and one that starts again although one of its members was done.
#[test]
fn judge_gang() {
    let other = "a.0.0.1";
    let whole = vec![
        started(TASK, 1, "w"),
        ended(TASK, 1, "w", EndKind::Alone),
        started(TASK, 2, "w"),
        started(other, 2, "v"),
        ended(TASK, 2, "w", EndKind::Done),
        ended(other, 2, "v", EndKind::Done),
    ];
    assert_eq!(judge_job(gang(), whole, "completed"), []);
    let split = vec![
        started(TASK, 1, "w"),
        started(other, 2, "v"),
        ended(TASK, 1, "w", EndKind::Broken),
        ended(other, 2, "v", EndKind::Broken),
    ];
    let violations = judge_job(gang(), split, "completed");
    assert!(
        matches!(violations.as_slice(), [Violation::Split { run: 2, earlier: 1, .. }]),
        "{violations:?}"
    );
    let partial = vec![started(TASK, 1, "w"), ended(TASK, 1, "w", EndKind::Done)];
    let violations = judge_job(gang(), partial, "completed");
    assert!(matches!(violations.as_slice(), [Violation::Partial { .. }]), "{violations:?}");
    let repeated = vec![
        started(TASK, 1, "w"),
        started(other, 1, "v"),
        ended(TASK, 1, "w", EndKind::Done),
        ended(other, 1, "v", EndKind::Crashed),
        noted(1, false),
        started(other, 2, "v"),
        ended(other, 2, "v", EndKind::Broken),
    ];
    let violations = judge_job(gang(), repeated, "completed");
    assert!(
        matches!(violations.as_slice(), [Violation::StartAfterDone { done: 1, run: 2, .. }]),
        "{violations:?}"
    );
}

/// Guards against overlooking a worker that has more runs than accelerators.
#[test]
fn judge_room() {
    let joined = |accelerators| Observation::Joined { accelerators, worker: "w".to_owned() };
    let second = "a.0.1.0";
    let runs = vec![
        started(TASK, 1, "w"),
        started(second, 1, "w"),
        ended(TASK, 1, "w", EndKind::Done),
        ended(second, 1, "w", EndKind::Done),
    ];
    let job = || submitted_steps(vec![step(&[], 1, false), step(&[], 1, false)]);
    let judged = |accelerators| {
        let observations = [vec![joined(accelerators)], runs.clone()].concat();
        judge_job(job(), observations, "completed")
    };
    assert_eq!(judged(2), []);
    assert!(matches!(judged(1).as_slice(), [Violation::Overfull { runs: 2, .. }]));
}

/// Guards against overlooking a run that goes on after its job has ended or long after its cancel,
/// and a cancel that has no effect.
#[test]
fn judge_cancel() {
    let cancelled = |rest: Vec<Observation>, state: &str, limit: Option<u64>| {
        let job = || "a".to_owned();
        let mut all = vec![
            submitted(1),
            submit_ended(CallOutcome::Accepted),
            started(TASK, 1, "w"),
            Observation::CancelSent { job: job() },
            Observation::CancelEnded { job: job() },
        ];
        all.extend(rest);
        all.push(final_state(state));
        let cancel = limit.map(Duration::from_secs);
        judge_limited(all, JudgeLimits { cancel, idle: None })
    };
    let stopped = || vec![ended(TASK, 1, "w", EndKind::Stopped)];
    assert_eq!(cancelled(stopped(), "cancelled", Some(1)), []);
    let late = cancelled(stopped(), "cancelled", Some(0));
    assert!(matches!(late.as_slice(), [Violation::Left { .. }]), "{late:?}");
    assert_eq!(cancelled(stopped(), "cancelled", None), []);
    let left = cancelled(Vec::new(), "cancelled", None);
    assert!(matches!(left.as_slice(), [Violation::Left { .. }]), "{left:?}");
    let running = cancelled(stopped(), "running", None);
    assert!(matches!(running.as_slice(), [Violation::NotCancelled { .. }]), "{running:?}");
    let completed = judge_accepted(1, vec![started(TASK, 1, "w")], "completed");
    assert!(matches!(completed.as_slice(), [Violation::Left { .. }]), "{completed:?}");
}

/// Guards against overlooking a task that waits while most of the room is free, and against blaming
/// one that waits for its submission, an earlier step or the end
/// of a fault, or whose job was given up.
#[test]
fn judge_idle() {
    let joined = Observation::Joined { accelerators: 3, worker: "w".to_owned() };
    let limits = JudgeLimits { cancel: None, idle: Some(Duration::from_secs(2)) };
    let calm = Observation::FaultsEnded;
    let judged_as = |observations: Vec<Observation>, state| {
        let mut all = vec![joined.clone(), submitted(2), submit_ended(CallOutcome::Accepted)];
        all.extend(observations);
        all.push(final_state(state));
        judge_limited(all, limits)
    };
    let judged = |observations| judged_as(observations, "completed");
    let filler = |seconds| vec![submit_ended(CallOutcome::Unknown); seconds];
    let first = vec![started(TASK, 1, "w"), ended(TASK, 1, "w", EndKind::Done)];
    let second = vec![started("a.0.1.0", 1, "w"), ended("a.0.1.0", 1, "w", EndKind::Done)];
    let prompt = [vec![calm.clone()], first.clone(), second.clone()].concat();
    assert_eq!(judged(prompt), []);
    let mut later = vec![joined.clone(), calm.clone()];
    later.extend([filler(5), vec![submitted(2), submit_ended(CallOutcome::Accepted)]].concat());
    later.extend([first.clone(), second.clone(), vec![final_state("completed")]].concat());
    assert_eq!(judge_limited(later, limits), []);
    let fault = [filler(5), vec![calm.clone()], first.clone(), second.clone()].concat();
    assert_eq!(judged(fault), []);
    let long_step = [vec![calm.clone(), started(TASK, 1, "w")], filler(5), first[1..].to_vec()];
    assert_eq!(judged([long_step.concat(), second.clone()].concat()), []);
    let late = [vec![calm.clone()], first.clone(), filler(5), second].concat();
    let violations = judged(late);
    let [Violation::Idle { task, waited, .. }] = violations.as_slice() else {
        panic!("{violations:?}")
    };
    assert_eq!((task.as_str(), *waited), ("a.0.1.0", Duration::from_secs(6)));
    let never = [vec![calm], first, filler(5)].concat();
    let violations = judged_as(never.clone(), "running");
    assert!(
        matches!(violations.as_slice(), [Violation::Idle { .. }, Violation::Unfinished { .. }]),
        "{violations:?}"
    );
    let violations = judged_as(never, "failed");
    assert!(matches!(violations.as_slice(), [Violation::Unfinished { .. }]), "{violations:?}");
}
