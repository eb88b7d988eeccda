//! Each rule of the audit fires on a state that breaks it, and on no other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Coordinator, Limits, Timestamp};
use crate::{
    Job, JobTables, Resources, RunReport, Step, Submission, TaskId, TaskKey, Violation,
    WorkerReport, WorkerStatus,
};

const LARGE: Resources = Resources { accelerators: 8, cores: 64_000, memory: 256_000 };

/// A coordinator with six workers, two of which run the members of a gang.
struct Rig {
    core: Coordinator,
    now: Timestamp,
}

fn status(number: u32) -> WorkerStatus {
    WorkerStatus {
        address: format!("10.0.0.{number}:1"),
        id: format!("w{number}"),
        incarnation: 1,
        pool: "pool".to_owned(),
        resources: LARGE,
        ..WorkerStatus::default()
    }
}

fn task(index: u32) -> TaskId {
    TaskId::new("gang", TaskKey { occurrence: 0, step: 0, index })
}

impl Rig {
    fn new() -> Self {
        let now = Timestamp { monotonic: Instant::now(), wall_ms: 1_000_000 };
        let mut rig =
            Self { core: Coordinator::new(Limits::default(), JobTables::default(), now), now };
        rig.report(|report| report);
        rig.submit("gang", 2);
        rig.core.place(now);
        assert!(rig.core.begin_commit().is_some());
        rig.core.end_commit();
        assert_eq!(rig.core.audit(now), Vec::new(), "a sound state");
        rig
    }

    fn submit(&mut self, id: &str, count: u32) {
        let resources = Resources { accelerators: 8, ..Resources::default() };
        let step = Step { count, gang: true, resources, ..Step::default() };
        let job = Job {
            accepted_ms: self.now.wall_ms,
            advised: false,
            attempts: 2,
            class: 1,
            id: id.to_owned(),
            payload: String::new(),
            pool: "pool".to_owned(),
            route: String::new(),
            schedule: None,
            selector: String::new(),
            slack: 1.0,
            steps: vec![step],
            target_ms: 0,
            team: String::new(),
        };
        assert!(matches!(self.core.submit(self.now, job), Submission::Accepted { .. }));
    }

    fn report(&mut self, change: impl Fn(WorkerReport) -> WorkerReport) {
        for number in 0..6 {
            let report = WorkerReport {
                listed: true,
                worker: Some(status(number)),
                ..WorkerReport::default()
            };
            self.core.report(self.now, &change(report));
        }
    }

    /// Reports all workers with the runs that are placed on them.
    fn list_runs(&mut self) {
        let runs: BTreeMap<String, Vec<RunReport>> = (0..6)
            .map(|number| {
                let id = status(number).id;
                let runs = &self.core.fleet.workers[&id].runs;
                let runs = runs.iter().map(|(task, run)| RunReport {
                    checkpoint: String::new(),
                    percent: 100,
                    run: *run,
                    task: task.clone(),
                });
                (id, runs.collect())
            })
            .collect();
        self.report(|report| {
            let id = report.worker.as_ref().map_or("", |status| &status.id);
            WorkerReport { running: runs[id].clone(), ..report }
        });
    }

    /// Lets time pass with an audit each second, as far as `tick` goes, until one finds something.
    fn audit_until_found(
        &mut self,
        seconds: u32,
        tick: impl Fn(&mut Self),
    ) -> (u32, Vec<Violation>) {
        for second in 1..=seconds {
            self.now.monotonic += Duration::from_secs(1);
            self.now.wall_ms += 1000;
            tick(self);
            let violations = self.core.audit(self.now);
            if !violations.is_empty() {
                return (second, violations);
            }
        }
        (seconds, Vec::new())
    }
}

/// Guards against a run that counts on a worker which does not have it, and one that counts for
/// another incarnation.
#[test]
fn audit_unbooked() {
    let mut rig = Rig::new();
    let id = rig.core.placement(&task(0)).expect("a run").worker.clone();
    let worker = rig.core.fleet.workers.get_mut(&id).expect("its worker");
    worker.status.incarnation = 2;
    let violations = rig.core.audit(rig.now);
    assert!(
        matches!(violations.as_slice(), [Violation::UnbookedRun { current: Some(2), .. }]),
        "{violations:?}"
    );
    rig.core.fleet.workers.remove(&id);
    let violations = rig.core.audit(rig.now);
    assert!(
        matches!(violations.as_slice(), [Violation::UnbookedRun { current: None, .. }]),
        "{violations:?}"
    );
}

/// Guards against a run that stays in the book of a worker after its end.
#[test]
fn audit_stray() {
    let mut rig = Rig::new();
    let resources = Resources { accelerators: 1, ..Resources::default() };
    rig.core.fleet.occupy("w5", &task(0), 1, &resources);
    let violations = rig.core.audit(rig.now);
    assert!(
        matches!(
            violations.as_slice(),
            [Violation::StrayRun { .. }, Violation::Occupied { booked, .. }] if *booked == resources
        ),
        "{violations:?}"
    );
}

/// Guards against resources that count as occupied without a run.
#[test]
fn audit_occupied() {
    let mut rig = Rig::new();
    let worker = rig.core.fleet.workers.get_mut("w5").expect("a worker");
    worker.occupied.accelerators = 3;
    let violations = rig.core.audit(rig.now);
    assert!(matches!(violations.as_slice(), [Violation::Occupied { .. }]), "{violations:?}");
}

/// Guards against a job that drops out of planning.
#[test]
fn audit_unplanned() {
    let mut rig = Rig::new();
    rig.submit("other", 2);
    rig.core.waiting_jobs.remove("other");
    let violations = rig.core.audit(rig.now);
    assert!(matches!(violations.as_slice(), [Violation::UnplannedTask { .. }]), "{violations:?}");
}

/// Guards against a job that is done and never ends.
#[test]
fn audit_unended() {
    let mut rig = Rig::new();
    rig.submit("other", 2);
    rig.core.jobs.get_mut("other").expect("a job").cancelled = true;
    let violations = rig.core.audit(rig.now);
    assert!(matches!(violations.as_slice(), [Violation::UnendedJob { .. }]), "{violations:?}");
}

/// Guards against a member of a gang that runs on without the others.
#[test]
fn audit_partial_gang() {
    let mut rig = Rig::new();
    let placement =
        rig.core.jobs.get_mut("gang").and_then(|entry| entry.take_placement(&task(1).key));
    let worker = placement.expect("a run").worker;
    let resources = Resources { accelerators: 8, ..Resources::default() };
    rig.core.fleet.release(&worker, &task(1), 1, &resources);
    let violations = rig.core.audit(rig.now);
    assert!(
        matches!(violations.as_slice(), [Violation::PartialGang { members: 2, placed: 1, .. }]),
        "{violations:?}"
    );
    let entry = rig.core.jobs.get_mut("gang").expect("a job");
    entry.placement_mut(&task(0).key).expect("a run").stopping = true;
    assert_eq!(rig.core.audit(rig.now), Vec::new(), "the rest is stopping");
}

/// Guards against an agent that reports and never settles a run.
#[test]
fn audit_unsettled() {
    let mut rig = Rig::new();
    let (second, violations) = rig.audit_until_found(60, |rig| {
        rig.report(|report| report);
        rig.core.tick(rig.now);
    });
    assert!(
        matches!(violations.first(), Some(Violation::UnsettledRun { stopping: true, .. })),
        "{violations:?}"
    );
    assert!(second > 20, "{second} s");
}

/// Guards against an agent that reports its worker as unreached, and never that its leases lapse.
#[test]
fn audit_unsettled_unreached() {
    let mut rig = Rig::new();
    let (_, violations) = rig.audit_until_found(60, |rig| {
        rig.report(|report| WorkerReport { unreached: true, ..report });
        rig.core.tick(rig.now);
    });
    assert!(
        matches!(
            violations.first(),
            Some(Violation::UnsettledRun { observed: Duration::ZERO, .. })
        ),
        "{violations:?}"
    );
}

/// Guards against work that waits beside idle workers: here no planning takes place.
#[test]
fn audit_waiting() {
    let mut rig = Rig::new();
    rig.submit("other", 2);
    let (second, violations) = rig.audit_until_found(60, Rig::list_runs);
    assert!(
        matches!(violations.as_slice(), [Violation::WaitingUnit { tasks: 2, .. }]),
        "{violations:?}"
    );
    assert_eq!(second, 21, "the first second after all waits that are intended");
}

/// Guards against a report of work that waits beside workers that are too small together.
#[test]
fn audit_waiting_full() {
    let mut rig = Rig::new();
    rig.submit("other", 3);
    let (_, violations) = rig.audit_until_found(25, Rig::list_runs);
    assert_eq!(violations, Vec::new(), "four workers are idle, and six are twice as many");
}
