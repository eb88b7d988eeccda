//! What becomes of accepted jobs when the tables change.

use skylarkpulley_jobs::{Job, JobRoute, JobTables, RouteKey, WorkerPool, WorkerStatus};

use crate::rig::{POOL, Rig, job, report, step, tables, worker};

const SELECTOR: &str = "a.example/looks/";

/// Returns tables in which one route stands where the jobs of these tests were submitted.
fn tables_with(version: u64, name: &str, pools: &[&str], pool: &str) -> JobTables {
    let route = JobRoute {
        advised: false,
        attempts: 2,
        class: 1,
        host: "a.example".to_owned(),
        name: name.to_owned(),
        open: false,
        path: "/looks/".to_owned(),
        pool: pool.to_owned(),
        slack: 3.0,
        target_ms: 1000,
    };
    let pool = |name: &&str| {
        let pool = WorkerPool { guarded: true, name: (*name).to_owned(), spare: false };
        ((*name).to_owned(), pool)
    };
    let pools = pools.iter().map(pool).collect();
    JobTables { pools, routes: vec![route], version, ..tables() }
}

fn submitted() -> Job {
    Job { selector: SELECTOR.to_owned(), ..job("a", 1, step(1, 8)) }
}

/// Returns a worker of the pool that replaces [`POOL`].
fn later_worker() -> WorkerStatus {
    WorkerStatus { pool: "later".to_owned(), ..worker(1, 1) }
}

/// Guards against accepted jobs that wait without end because their route names another service, and
/// the earlier one does not exist any more. They go to the service that the route names.
#[test]
fn pool_replaced() {
    for take_over in [false, true] {
        let mut rig = Rig::new(0);
        rig.submit(submitted());
        let later = tables_with(2, "renders", &["later"], "later");
        rig.core.set_tables(&later);
        if take_over {
            rig.take_over();
            rig.core.set_tables(&later);
        }
        rig.core.report(rig.now, &report(&later_worker(), &[]));
        rig.place_and_commit();
        let workers: Vec<String> = rig.starts().into_iter().map(|start| start.0).collect();
        assert_eq!(workers, ["w1"], "take over: {take_over}");
    }
}

/// Guards against moving accepted jobs away from a service that still exists.
#[test]
fn pool_kept() {
    let mut rig = Rig::new(1);
    rig.core.set_tables(&tables_with(2, "renders", &[POOL, "later"], "later"));
    rig.core.report(rig.now, &report(&later_worker(), &[]));
    rig.submit(submitted());
    let workers: Vec<String> = rig.starts().into_iter().map(|start| start.0).collect();
    assert_eq!(workers, ["w0"]);
}

/// Guards against jobs that a successor no longer counts for their route under another name, and
/// against jobs of an earlier build, whose rows lack the selector, that no route counts.
#[test]
fn pending_after_takeover() {
    let mut rig = Rig::new(0);
    rig.submit(submitted());
    rig.submit(job("b", 1, step(1, 8)));
    rig.take_over();
    let key = |name: &str| RouteKey { name: name.to_owned(), selector: SELECTOR.to_owned() };
    assert_eq!(rig.core.pending(&key("renders")), 1, "the job with a selector");
    assert_eq!(rig.core.pending(&key("looks")), 2, "and the one of an earlier build");
}
