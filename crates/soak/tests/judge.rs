//! Each promise that the soak checks is shown to be noticed when it is broken.

use std::time::Duration;

use skylarkpulley_platform_standins::{CallOutcome, EndKind, JobSpec, Observation, StepSpec};
use skylarkpulley_soak::{Violation, judge};

const TASK: &str = "a.0.0.0";

fn submitted(steps: usize) -> Observation {
    let step =
        |number| StepSpec { after_previous: number > 0, count: 1, work: Duration::from_secs(1) };
    Observation::Submitted(JobSpec { id: "a".to_owned(), steps: (0..steps).map(step).collect() })
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
    Observation::EndNoted { task: TASK.to_owned(), run, lapsed }
}

fn final_state(state: &str) -> Observation {
    Observation::FinalState { job: "a".to_owned(), state: state.to_owned() }
}

/// Judges observations that are one second apart, of a job that was accepted.
fn judge_accepted(steps: usize, observations: Vec<Observation>, state: &str) -> Vec<Violation> {
    let mut all = vec![submitted(steps), submit_ended(CallOutcome::Accepted)];
    all.extend(observations);
    all.push(final_state(state));
    judge_all(all)
}

fn judge_all(observations: Vec<Observation>) -> Vec<Violation> {
    let timed = observations.into_iter().enumerate().map(|(second, observation)| {
        (Duration::from_secs(u64::try_from(second).expect("a small number")), observation)
    });
    judge(&timed.collect::<Vec<_>>())
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
        let runs = vec![started(TASK, 1, "w"), started(TASK, second, "v")];
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
    let runs = vec![started(TASK, 1, "w"), started("a.0.1.0", 1, "v")];
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
        let job = "a".to_owned();
        assert_eq!(violations, [Violation::Unfinished { job, state: state.to_owned() }]);
    }
}
