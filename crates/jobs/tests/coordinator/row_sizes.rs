use skylarkpulley_jobs::{
    EndKind, Job, JobState, Limits, RowKind, RunEnd, RunReport, Step, TaskId, TaskKey, WorkerReport,
};

use crate::rig::{Rig, job, report, step, worker};

/// Entries that the store accepts in one transaction; one of them is the leader's record.
const MAX_ENTRIES: usize = 100;

/// Size in bytes that the store accepts for one transaction.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// A job of 1000 tasks on `workers` workers that have listed a checkpoint of `length` characters for
/// each task.
fn run_large_job(workers: u32, length: usize) -> Rig {
    let mut rig = Rig::new(workers);
    let mut large = step(1000, 0);
    (large.resources.cores, large.resources.memory) = (30, 10);
    rig.submit(job("large", 1, Step { checkpoints: true, ..large }));
    let starts = rig.starts();
    assert_eq!(starts.len(), 1000);
    for number in 0..workers {
        let status = worker(number, 1);
        let placed = starts.iter().filter(|(id, _, _)| *id == status.id);
        let running = placed.map(|(_, task, run)| RunReport {
            checkpoint: format!("{:0>length$}", task.key.index),
            percent: 10,
            run: *run,
            task: task.clone(),
        });
        let listed = WorkerReport { running: running.collect(), ..report(&status, &[]) };
        rig.core.report(rig.now, &listed);
    }
    rig
}

/// Restarts all workers and fences their runs there, so that the checkpoints of the runs are stored.
fn restart_workers(rig: &mut Rig, workers: u32) {
    for number in 0..workers {
        rig.restart_worker(&worker(number, 2));
    }
    assert_rows_accepted(rig);
}

/// Stores all changes, and fails if the store would refuse a row or a transaction.
fn assert_rows_accepted(rig: &mut Rig) {
    while let Some(rows) = rig.core.begin_commit() {
        assert!(rows.len() < MAX_ENTRIES, "{} rows", rows.len());
        let mut encoded = 0;
        for row in rows {
            let length = row.value.as_ref().map_or(0, Vec::len);
            assert!(length <= Limits::default().row_bytes, "{}: {length} bytes", row.key);
            encoded += length.div_ceil(3) * 4 + 100;
            match row.value {
                Some(value) => rig.rows.insert((row.kind, row.key), value),
                None => rig.rows.remove(&(row.kind, row.key)),
            };
        }
        assert!(encoded < MAX_TRANSACTION_BYTES, "{encoded} bytes");
        rig.core.end_commit();
    }
}

fn checkpoint_of(rig: &Rig, index: u32) -> Option<String> {
    let task = TaskId::new("large", TaskKey { occurrence: 0, step: 0, index });
    let ids = rig.core.worker_ids();
    let orders = ids.iter().flat_map(|id| rig.core.orders(id).start);
    orders.into_iter().find(|order| order.task == task).map(|order| order.checkpoint)
}

/// Guards against a row of a large job that exceeds the size that the store accepts (review/2): the
/// store refused the write, and nothing was stored any more. Checkpoints survive a takeover.
#[test]
fn begin_commit_large_checkpoints() {
    let mut rig = run_large_job(2, 64);
    restart_workers(&mut rig, 2);
    assert!(rig.rows_of(RowKind::Progress).len() > 1, "the state takes several rows");
    rig.take_over();
    for number in 0..2 {
        rig.core.report(rig.now, &report(&worker(number, 2), &[]));
    }
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 1000);
    for index in [0, 499, 500, 999] {
        assert_eq!(checkpoint_of(&rig, index), Some(format!("{index:0>64}")));
    }
}

/// Guards against a state that exceeds a whole transaction: checkpoints are left out, the tasks are
/// not.
#[test]
fn begin_commit_huge_checkpoints() {
    let mut rig = run_large_job(4, 2000);
    restart_workers(&mut rig, 4);
    rig.take_over();
    for number in 0..4 {
        rig.core.report(rig.now, &report(&worker(number, 2), &[]));
    }
    rig.place_and_commit();
    let starts = rig.starts();
    assert_eq!(starts.len(), 1000);
    assert!(starts.iter().all(|(_, _, run)| *run == 2), "no run number is used twice");
    assert_eq!(checkpoint_of(&rig, 0), Some(String::new()));
}

/// Guards against stored rows that remain when the state of a job takes fewer rows than before, or
/// when the job is no longer kept. They would be read as the state of a later job.
#[test]
fn begin_commit_fewer_rows() {
    let mut rig = run_large_job(2, 64);
    restart_workers(&mut rig, 2);
    rig.take_over();
    for number in 0..2 {
        rig.core.report(rig.now, &report(&worker(number, 2), &[]));
    }
    rig.place_and_commit();
    assert_eq!(rig.rows_of(RowKind::Progress).len(), 2);
    for number in 0..2 {
        let status = worker(number, 2);
        let runs = rig.starts().into_iter().filter(|(id, _, _)| *id == status.id);
        let ended = runs.map(|(_, task, run)| {
            let (checkpoint, kind) = (String::new(), EndKind::Done);
            RunEnd { checkpoint, kind, run, task }
        });
        let ended: Vec<RunEnd> = ended.collect();
        let ended_through = u64::try_from(ended.len()).unwrap();
        let ends = WorkerReport { ended, ended_through, ..report(&status, &[]) };
        rig.core.report(rig.now, &ends);
    }
    assert_rows_accepted(&mut rig);
    assert_eq!(rig.rows_of(RowKind::Progress).len(), 1, "done tasks need no checkpoint");
    rig.advance(Limits::default().retention.as_millis() as u64 + 1000);
    assert_rows_accepted(&mut rig);
    assert!(rig.rows.is_empty(), "{:?}", rig.rows.keys());
}

/// Guards against further rows that remain when a job is no longer kept.
#[test]
fn begin_commit_removed_job() {
    let mut rig = run_large_job(2, 64);
    restart_workers(&mut rig, 2);
    rig.take_over();
    rig.core.cancel(rig.now, "large");
    assert_rows_accepted(&mut rig);
    assert_eq!(rig.rows_of(RowKind::Progress).len(), 2);
    rig.advance(Limits::default().retention.as_millis() as u64 + 1000);
    assert_rows_accepted(&mut rig);
    assert!(rig.rows.is_empty(), "{:?}", rig.rows.keys());
}

/// Guards against a job whose rows the store rejects holding up the writes of all other jobs.
#[test]
fn reject_commit_isolates() {
    let mut rig = Rig::new(0);
    for number in 0..60 {
        rig.submit(job(&format!("j{number:02}"), 1, step(1, 0)));
    }
    for number in 0..60 {
        rig.core.cancel(rig.now, &format!("j{number:02}"));
    }
    let write = |rig: &mut Rig| {
        let mut writes = 0;
        while let Some(rows) = rig.core.begin_commit() {
            writes += 1;
            if rows.iter().any(|row| row.key == "j17") {
                assert_eq!(rig.core.reject_commit(rig.now), None, "the job is stored already");
            } else {
                rig.core.end_commit();
            }
        }
        writes
    };
    let writes = write(&mut rig);
    // Half a second at 15 ms for each write, a sixth of the time that callers wait.
    assert!(writes <= 33, "{writes} writes");
    let stored = |rig: &Rig, id: &str| rig.core.view(id).map(|view| view.state);
    for number in (0..60).filter(|number| *number != 17) {
        assert_eq!(stored(&rig, &format!("j{number:02}")), Some(JobState::Cancelled), "{number}");
    }
    assert_eq!(stored(&rig, "j17"), Some(JobState::Queued));
    rig.advance(4000);
    assert_eq!(write(&mut rig), 0);
    rig.advance(1200);
    assert_eq!(write(&mut rig), 1, "the job is written again");
}

/// Guards against orders that exceed a message to an agent (review/3): its session failed over the
/// same orders without end, and no task was started. All starts arrive in parts.
#[test]
fn orders_in_parts() {
    let mut rig = Rig::new(1);
    for id in ["a", "b"] {
        let mut large = step(620, 0);
        (large.resources.cores, large.resources.memory) = (50, 10);
        rig.submit(Job { payload: "x".repeat(3990), ..job(id, 1, large) });
    }
    let mut listed: Vec<(TaskId, u32)> = Vec::new();
    for part in 0..10 {
        let orders = rig.core.orders("w0");
        let bytes: usize = orders.start.iter().map(|order| order.text_bytes()).sum();
        assert!(bytes <= 1 << 20, "part {part}: {bytes} bytes");
        assert_eq!(orders.start.len() + orders.keep.len(), 1240, "no run is left out");
        listed.extend(orders.start.into_iter().map(|order| (order.task, order.run)));
        rig.core.report(rig.now, &report(&worker(0, 1), &listed));
    }
    assert_eq!(listed.len(), 1240);
}

/// Guards against a start that is never sent because it alone exceeds the limit.
#[test]
fn orders_single_large() {
    let mut rig = Rig::new(1);
    for (id, bytes) in [("a", (1 << 20) - 1), ("b", (1 << 20) + 1)] {
        rig.submit(Job { payload: "x".repeat(bytes), ..job(id, 1, step(1, 0)) });
    }
    let first = rig.core.orders("w0").start;
    assert_eq!((first.len(), first[0].task.job.as_str()), (1, "a"));
    rig.core.report(rig.now, &report(&worker(0, 1), &[(first[0].task.clone(), 1)]));
    assert_eq!(rig.core.orders("w0").start[0].task.job, "b");
}

/// Guards against runs that count as not started while their starts wait behind others for a message
/// to the agent. They were stopped after 5 s, and their worker was quarantined.
#[test]
fn orders_in_parts_slowly() {
    let mut rig = Rig::new(1);
    // Lasting tasks are not judged by their progress once they have started.
    let mut large = Step { lasting: true, ..step(640, 0) };
    (large.resources.cores, large.resources.memory) = (50, 10);
    rig.submit(Job { payload: "x".repeat(3990), ..job("a", 1, large) });
    let mut listed: Vec<(TaskId, u32)> = Vec::new();
    while listed.len() < 640 {
        let starts = rig.core.orders("w0").start;
        assert!(!starts.is_empty(), "{} of 640 starts were ordered", listed.len());
        for _ in 0..4 {
            rig.advance(900);
            rig.core.report(rig.now, &report(&worker(0, 1), &listed));
        }
        assert!(rig.stops().is_empty(), "runs are stopped after {} starts", listed.len());
        listed.extend(starts.into_iter().map(|order| (order.task, order.run)));
        rig.core.report(rig.now, &report(&worker(0, 1), &listed));
    }
}

/// Guards against a start that waits without end because the session of its agent is replaced every
/// second, for whatever reason, and the time limit begins anew each time (review/3).
#[test]
fn start_limit_over_sessions() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    for second in 0..25 {
        rig.core.report(rig.now, &report(&worker(0, 1), &[]));
        rig.advance(900);
        if !rig.stops().is_empty() {
            assert!(second >= 19, "stopped after {second} s");
            return;
        }
        rig.core.end_session("w0");
        rig.advance(100);
    }
    panic!("the run is not stopped within 25 s");
}
