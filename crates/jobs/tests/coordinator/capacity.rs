use skylarkpulley_jobs::{EndKind, RefusalKind, Resources, RunRefusal, WorkerReport, WorkerStatus};

use crate::rig::{Rig, ended, job, report, step, worker};

fn with_accelerators(accelerators: i64) -> WorkerStatus {
    let status = worker(0, 1);
    WorkerStatus { resources: Resources { accelerators, ..status.resources }, ..status }
}

/// Guards against a start that exceeds the resources of a worker that has shrunk since the run was
/// placed, and against stopping runs that have started there.
#[test]
fn shrink_unstarted_withdrawn() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(4, 2)));
    let starts = rig.starts();
    let running: Vec<_> = starts[..2].iter().map(|(_, task, run)| (task.clone(), *run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &running));
    rig.core.report(rig.now, &report(&with_accelerators(4), &running));
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "no start is ordered beyond the resources");
    let stopped: Vec<_> = rig.stops().into_iter().map(|(task, _)| task).collect();
    assert_eq!(stopped, vec![starts[2].1.clone(), starts[3].1.clone()]);

    let refused = starts[2..].iter().map(|(_, task, run)| RunRefusal {
        kind: RefusalKind::Fenced,
        run: *run,
        task: task.clone(),
    });
    let refused: Vec<RunRefusal> = refused.collect();
    let shrunk = WorkerReport { refused, ..report(&with_accelerators(4), &running) };
    rig.core.report(rig.now, &shrunk);
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "the tasks wait while the worker is full");
    rig.core.report(rig.now, &report(&worker(0, 1), &running));
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 2, "they start when it has grown again");
}

/// Guards against placing work on the resources of a run that is being stopped.
#[test]
fn shrink_stopping_counts() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &report(&worker(0, 1), &[(task.clone(), run)]));
    rig.core.cancel(rig.now, "a");
    rig.submit(job("b", 1, step(1, 1)));
    assert!(rig.starts().is_empty(), "the cancelled run has not ended");
    rig.core.report(rig.now, &report(&with_accelerators(4), &[(task, run)]));
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "the worker is over its resources");
}

/// Guards against a task that waits without end for another worker than the one on which a run of
/// it has failed, although it fits nowhere else.
#[test]
fn place_after_failure() {
    let mut rig = Rig::new(2);
    rig.core.report(rig.now, &report(&with_accelerators(4), &[]));
    rig.submit(job("a", 1, step(1, 8)));
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &ended(&worker(1, 1), 1, &task, run, EndKind::Failed));
    let mut waited_ms = 0;
    while rig.starts().is_empty() && waited_ms < 60_000 {
        rig.core.report(rig.now, &report(&with_accelerators(4), &[]));
        rig.advance_reporting(100, &[1]);
        rig.place_and_commit();
        waited_ms += 100;
    }
    assert_eq!(rig.starts().len(), 1, "it starts on the same worker again");
    assert!((4900..6000).contains(&waited_ms), "after {waited_ms} ms");
}
