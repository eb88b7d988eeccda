use std::collections::BTreeSet;
use std::time::Duration;

use skylarkpulley_jobs::{
    Coordinator, DecisionKind, Evacuations, JobTables, Limits, RowKind, Step, TaskId, Timestamp,
    WorkerStatus,
};

use crate::rig::{Rig, job, report, step, tables, worker};

/// Returns worker `number` of the failure domain `d0`, `d1` or `d2`.
fn member(number: u32) -> WorkerStatus {
    WorkerStatus { domain: format!("d{}", number % 3), ..worker(number, 1) }
}

fn rig_of(workers: u32) -> Rig {
    let mut rig = Rig::new(0);
    report_all(&mut rig, workers, &[]);
    rig
}

/// Lets all workers report; those that hold runs of `running` list them.
fn report_all(rig: &mut Rig, workers: u32, running: &[(String, TaskId, u32)]) {
    for number in 0..workers {
        let status = member(number);
        let runs = running.iter().filter(|(id, ..)| *id == status.id);
        let runs: Vec<(TaskId, u32)> = runs.map(|(_, task, run)| (task.clone(), *run)).collect();
        rig.core.report(rig.now, &report(&status, &runs));
    }
}

fn evacuated(domains: &[&str], version: u64) -> JobTables {
    let domains: BTreeSet<String> = domains.iter().map(|name| (*name).to_owned()).collect();
    JobTables { evacuated: Evacuations::new(domains, version), ..tables() }
}

fn evacuate(rig: &mut Rig, domains: &[&str], version: u64) {
    rig.core.set_tables(&evacuated(domains, version));
    rig.place_and_commit();
}

/// Returns the failure domains in which starts are ordered.
fn start_domains(rig: &Rig) -> BTreeSet<String> {
    let number = |id: &str| id[1..].parse::<u32>().expect("a number");
    rig.starts().iter().map(|(id, ..)| member(number(id)).domain).collect()
}

fn names(domains: &[&str]) -> BTreeSet<String> {
    domains.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against starts in an evacuated failure domain, against workers that stay closed after its
/// return, and against a name without workers that closes any.
#[test]
fn evacuate_close_and_return() {
    let mut rig = rig_of(6);
    evacuate(&mut rig, &["d0", "elsewhere"], 5);
    rig.submit(job("a", 1, step(6, 4)));
    assert_eq!(start_domains(&rig), names(&["d1", "d2"]));
    let summary = rig.core.summary(rig.now);
    let closed = summary.workers.iter().filter(|worker| worker.state == "evacuated");
    assert_eq!(closed.count(), 2);
    let counts: Vec<(&str, usize)> =
        summary.evacuated.iter().map(|domain| (domain.domain.as_str(), domain.workers)).collect();
    assert_eq!(counts, [("d0", 2), ("elsewhere", 0)]);
    evacuate(&mut rig, &[], 6);
    rig.submit(job("b", 1, step(2, 8)));
    assert_eq!(start_domains(&rig), names(&["d0", "d1", "d2"]));
    let decisions = rig.core.take_decisions();
    let of_kind = |kind| decisions.iter().filter(move |decision| decision.kind == kind);
    assert_eq!(of_kind(DecisionKind::DomainEvacuated).count(), 2);
    assert_eq!(of_kind(DecisionKind::DomainReturned).count(), 2);
    assert!(of_kind(DecisionKind::DomainEvacuated).all(|line| line.detail.contains("version 5")));
}

/// Guards against a worker that reports for the first time, or with another failure domain, after the
/// request and gets work.
#[test]
fn evacuate_worker_joins() {
    let mut rig = rig_of(0);
    evacuate(&mut rig, &["d0"], 5);
    rig.submit(job("a", 1, step(1, 4)));
    report_all(&mut rig, 1, &[]);
    rig.place_and_commit();
    assert!(rig.starts().is_empty());
    rig.core.report(rig.now, &report(&WorkerStatus { domain: "d1".to_owned(), ..member(0) }, &[]));
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against starts that are carried out after the request, against stops of runs that go on, and
/// against a gang of which some members stay behind.
#[test]
fn evacuate_withdraw_unlisted() {
    let mut rig = rig_of(3);
    rig.submit(job("listed", 1, Step { gang: true, ..step(3, 5) }));
    let listed = rig.starts();
    assert_eq!(start_domains(&rig), names(&["d0", "d1", "d2"]));
    report_all(&mut rig, 3, &listed);
    rig.submit(job("gang", 1, Step { gang: true, ..step(3, 3) }));
    assert_eq!(rig.starts().len(), 3);
    rig.core.set_tables(&evacuated(&["d0"], 5));
    let stops: BTreeSet<String> = rig.stops().into_iter().map(|(task, _)| task.job).collect();
    assert_eq!(stops, names(&["gang"]), "the listed gang continues");
    assert_eq!(rig.stops().len(), 3, "the gang is withdrawn whole");
    assert!(rig.starts().is_empty());
    let decisions = rig.core.take_decisions();
    let reason = "its failure domain is evacuated";
    assert!(decisions.iter().any(|decision| decision.detail == reason), "{decisions:?}");
    assert_eq!(rig.core.summary(rig.now).evacuated[0].runs, 1);
}

/// Guards against a successor that stops runs in an evacuated failure domain because their workers
/// have not listed them to it yet, and against one that orders their starts again.
#[test]
fn evacuate_take_over() {
    let mut rig = rig_of(3);
    rig.submit(job("a", 1, step(1, 8)));
    rig.submit(job("b", 1, step(1, 8)));
    let runs = rig.starts();
    let domains: Vec<String> = start_domains(&rig).into_iter().collect();
    assert_eq!((runs.len(), domains.len()), (2, 2));
    let names: Vec<&str> = domains.iter().map(String::as_str).collect();
    let mut core = Coordinator::new(Limits::default(), evacuated(&names, 5), rig.now);
    let progress = rig.rows_of(RowKind::Progress);
    for (key, value) in rig.rows_of(RowKind::Job) {
        core.restore(&key, &value, &progress, rig.now).expect("readable rows");
    }
    rig.core = core;
    for number in 0..3 {
        let unread =
            skylarkpulley_jobs::WorkerReport { listed: false, ..report(&member(number), &[]) };
        rig.core.report(rig.now, &unread);
    }
    assert!(rig.stops().is_empty() && rig.starts().is_empty());
    let held: usize = rig.core.worker_ids().iter().map(|id| rig.core.orders(id).held.len()).sum();
    assert_eq!(held, 2, "agents learn which starts an earlier process may have sent");
    report_all(&mut rig, 3, &runs[..1]);
    assert_eq!(rig.stops(), [(runs[1].1.clone(), 1)], "only the start that is not listed");
}

/// Guards against jobs that are refused or lost while all failure domains are evacuated, and against
/// work that never starts after that.
#[test]
fn evacuate_all() {
    let mut rig = rig_of(3);
    evacuate(&mut rig, &["d0", "d1", "d2"], 5);
    rig.submit(job("a", 0, step(3, 8)));
    for _ in 0..100 {
        report_all(&mut rig, 3, &[]);
        rig.advance(100);
    }
    assert!(rig.starts().is_empty());
    let lines = rig.core.explain_waiting(rig.now, "a");
    assert!(lines[0].detail.contains("evacuated 3 (w0 w1 w2)"), "{lines:?}");
    evacuate(&mut rig, &["d1"], 6);
    assert_eq!(start_domains(&rig), names(&["d0", "d2"]));
}

/// Guards against a guaranteed claim that waits for an evacuated failure domain instead of preempting
/// in the others.
#[test]
fn evacuate_guaranteed_claim() {
    let mut rig = rig_of(3);
    let bulk = skylarkpulley_jobs::Job {
        team: "south".to_owned(),
        ..job("bulk", 2, Step { estimate_ms: 60_000, ..step(3, 8) })
    };
    rig.submit(bulk);
    let runs = rig.starts();
    report_all(&mut rig, 3, &runs);
    evacuate(&mut rig, &["d0"], 5);
    rig.submit(job("claim", 0, Step { gang: true, ..step(2, 8) }));
    // A claim may wait for runs that end by themselves, as long as a stop still meets its bound.
    let bound = Limits::default().reclaim - Limits::default().stop;
    for _ in 0..bound.as_millis() / 100 {
        report_all(&mut rig, 3, &runs);
        rig.advance(100);
    }
    let stopped: BTreeSet<TaskId> = rig.stops().into_iter().map(|(task, _)| task).collect();
    let elsewhere = runs.iter().filter(|(id, ..)| id != "w0");
    assert_eq!(stopped, elsewhere.map(|(_, task, _)| task.clone()).collect());
}

/// Guards against work that waits for a worker near its data while that worker is evacuated.
#[test]
fn evacuate_near_data() {
    let mut rig = rig_of(3);
    let near = job("a", 1, Step { near_rack: Some("r0".to_owned()), ..step(1, 8) });
    evacuate(&mut rig, &["d0", "d1", "d2"], 5);
    rig.core.report(
        rig.now,
        &report(
            &WorkerStatus { domain: "d3".to_owned(), rack: "r9".to_owned(), ..worker(9, 1) },
            &[],
        ),
    );
    rig.submit(near);
    assert_eq!(rig.starts().len(), 1);
}

fn limited_rig() -> Rig {
    let mut rig = Rig::new(0);
    let limits = Limits { evacuation: Some(Duration::from_secs(5)), ..Limits::default() };
    rig.core = Coordinator::new(limits, tables(), rig.now);
    rig
}

/// Reports worker 0 with the given runs and advances the time in steps of 100 ms.
fn advance_listing(rig: &mut Rig, millis: u64, running: &[(TaskId, u32)]) {
    for _ in 0..millis / 100 {
        rig.core.report(rig.now, &report(&member(0), running));
        rig.advance(100);
    }
}

/// Guards against starts that a leader orders before it has read the rows, or after it was cut off
/// from the store: a failure domain may be evacuated without its knowledge. Runs go on meanwhile, and
/// workers are not blamed for starts that are held back.
#[test]
fn confirm_tables_cut_off() {
    let mut rig = limited_rig();
    advance_listing(&mut rig, 100, &[]);
    rig.submit(job("a", 1, Step { lasting: true, ..step(1, 4) }));
    assert!(rig.starts().is_empty(), "no start before the first read");
    rig.core.take_changed_workers();
    rig.core.confirm_tables(rig.now);
    assert!(rig.core.take_changed_workers().contains("w0"), "its agent gets the start at once");
    let runs = rig.starts();
    let running = [(runs[0].1.clone(), runs[0].2)];
    advance_listing(&mut rig, 2000, &running);
    rig.submit(job("b", 1, step(1, 4)));
    assert_eq!(rig.starts().len(), 1, "2 s after the confirmation");
    advance_listing(&mut rig, 100, &running);
    assert!(rig.starts().is_empty());
    advance_listing(&mut rig, 25_000, &running);
    let orders = rig.core.orders("w0");
    assert_eq!((orders.keep.len(), orders.stop.len()), (2, 0));
    assert_eq!(rig.core.summary(rig.now).workers[0].state, "serving");
    rig.core.confirm_tables(rig.now);
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against a successor that orders starts by the tables of its predecessor, or by an answer
/// that is too old.
#[test]
fn confirm_tables_take_over() {
    let mut rig = limited_rig();
    let earlier = rig.now;
    advance_listing(&mut rig, 2500, &[]);
    rig.core.confirm_tables(rig.now);
    rig.submit(job("a", 1, step(1, 4)));
    assert_eq!(rig.starts().len(), 1);
    let rows = (rig.rows_of(RowKind::Job), rig.rows_of(RowKind::Progress));
    let mut successor = limited_rig();
    successor.now = rig.now;
    for (key, value) in &rows.0 {
        successor.core.restore(key, value, &rows.1, rig.now).expect("readable rows");
    }
    advance_listing(&mut successor, 100, &[]);
    assert!(successor.starts().is_empty());
    successor.core.confirm_tables(Timestamp { monotonic: earlier.monotonic, ..rig.now });
    successor.core.check_tables(successor.now);
    assert!(successor.starts().is_empty(), "the answer is older than 2 s");
    successor.core.confirm_tables(successor.now);
    assert_eq!(successor.starts().len(), 1);
}

/// Guards against deployments without the setting whose starts depend on the tables.
#[test]
fn confirm_tables_not_set() {
    let mut rig = rig_of(3);
    rig.advance(60_000);
    report_all(&mut rig, 3, &[]);
    rig.submit(job("a", 1, step(1, 4)));
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against an older set that replaces a newer one, and against a change of the tables or of the
/// set that is lost because the other one is not newer.
#[test]
fn adopt_newer_each() {
    let mut current = JobTables { version: 4, body_limit: 1, ..evacuated(&["d0"], 10) };
    let older_set = JobTables { version: 5, body_limit: 2, ..evacuated(&["d1"], 9) };
    let change = current.adopt_newer(&older_set);
    assert!(change.tables && !change.evacuated);
    assert_eq!((current.version, current.body_limit), (5, 2));
    assert!(current.evacuated.contains("d0") && !current.evacuated.contains("d1"));
    let older_tables = JobTables { version: 1, body_limit: 3, ..evacuated(&[], 11) };
    let change = current.adopt_newer(&older_tables);
    assert!(!change.tables && change.evacuated);
    assert_eq!((current.version, current.body_limit), (5, 2));
    assert_eq!(current.evacuated, Evacuations::new(BTreeSet::new(), 11));
    assert!(!current.adopt_newer(&current.clone()).any());
}

/// Guards against tables of earlier builds, which hold no set, that cannot be read.
#[test]
fn tables_without_evacuations() {
    let text = r#"{"body_limit":1,"pools":{},"routes":[],"teams":[],"version":3}"#;
    let tables: JobTables = serde_json::from_str(text).expect("tables of an earlier build");
    assert_eq!((tables.version, tables.evacuated), (3, Evacuations::default()));
}
