use skylarkpulley_jobs::{RunReport, Step, TaskId, WorkerReport, WorkerStatus};

use crate::rig::{Rig, job, report, step, worker};

const WIDTH: u32 = 25;

/// Returns the report of a worker that lists one run at `percent`.
fn at_percent(status: &WorkerStatus, task: &TaskId, run: u32, percent: u8) -> WorkerReport {
    let checkpoint = String::new();
    let running = vec![RunReport { checkpoint, percent, run, task: task.clone() }];
    WorkerReport { running, ..report(status, &[]) }
}

/// Starts a gang of [`WIDTH`] members, one on each worker, and returns the runs by worker.
fn start_gang(rig: &mut Rig, gang: Step) -> Vec<(u32, TaskId, u32)> {
    rig.submit(job("gang", 1, gang));
    let starts = rig.starts();
    assert_eq!(starts.len(), WIDTH as usize);
    let number = |id: &str| id[1..].parse().expect("a number");
    starts.into_iter().map(|(id, task, run)| (number(&id), task, run)).collect()
}

/// Lets the members report every 100 ms for `millis` at the percent that `percent_at` returns for
/// an index and the time that has passed.
fn advance_members(
    rig: &mut Rig,
    runs: &[(u32, TaskId, u32)],
    millis: u64,
    percent_at: impl Fn(u32, u64) -> u8,
) {
    for tenth in 0..millis / 100 {
        for (number, task, run) in runs {
            let percent = percent_at(task.key.index, tenth * 100);
            rig.core.report(rig.now, &at_percent(&worker(*number, 1), task, *run, percent));
        }
        rig.advance(100);
    }
}

fn gang_step() -> Step {
    Step { gang: true, ..step(WIDTH, 8) }
}

/// Guards against stopping a gang because its members with less work are complete and wait for the
/// others: 16 such stops destroyed 309,000 core-seconds on the users' day trouble-2 of 240 workers.
#[test]
fn stall_members_complete() {
    let mut rig = Rig::new(WIDTH);
    let runs = start_gang(&mut rig, gang_step());
    // Member 0 has five times the work of the others.
    advance_members(&mut rig, &runs, 9000, |index, elapsed| {
        let duration = if index == 0 { 10_000 } else { 2000 };
        u8::try_from((elapsed * 100 / duration).min(100)).expect("a percentage")
    });
    assert!(rig.stops().is_empty(), "{:?}", rig.core.take_decisions());
}

/// Guards against stopping the members that are present while another one starts late. None of them
/// can make progress before.
#[test]
fn stall_member_late() {
    let mut rig = Rig::new(WIDTH);
    let runs = start_gang(&mut rig, gang_step());
    let (late, present) = runs.split_last().expect("members");
    for _ in 0..42 {
        advance_members(&mut rig, present, 100, |_, _| 0);
        rig.core.report(rig.now, &report(&worker(late.0, 1), &[]));
    }
    assert!(rig.stops().is_empty(), "{:?}", rig.core.take_decisions());
    advance_members(&mut rig, &runs, 2000, |_, _| 0);
    assert!(rig.stops().is_empty(), "{:?}", rig.core.take_decisions());
}

/// Guards against a gang that waits for ever for a member on a worker whose runs stand still, and
/// against blaming the workers of the complete members for it.
#[test]
fn stall_member_stuck() {
    let mut rig = Rig::new(WIDTH);
    let runs = start_gang(&mut rig, gang_step());
    advance_members(&mut rig, &runs, 5000, |index, elapsed| match index {
        3 => 20,
        _ => u8::try_from((elapsed / 20).min(100)).expect("a percentage"),
    });
    assert_eq!(rig.stops().len(), WIDTH as usize);
    let stuck = runs.iter().find(|(_, task, _)| task.key.index == 3).expect("the stuck member");
    let summary = rig.core.summary(rig.now);
    let quarantined = summary.workers.iter().filter(|worker| worker.state == "quarantined");
    let ids: Vec<&str> = quarantined.map(|worker| worker.id.as_str()).collect();
    assert_eq!(ids, [format!("w{}", stuck.0)]);
}

/// Guards against moving a complete member off a draining worker when the slowest member of its
/// gang ends in time, and against leaving it there when the slowest does not.
#[test]
fn drain_members_complete() {
    for (remaining_ms, stops) in [(3000, 0), (500, WIDTH as usize)] {
        let mut rig = Rig::new(WIDTH);
        let runs = start_gang(&mut rig, gang_step());
        let percent = |index: u32, elapsed: u64| {
            let duration = if index == 0 { 4000 } else { 1000 };
            u8::try_from((elapsed * 100 / duration).min(100)).expect("a percentage")
        };
        advance_members(&mut rig, &runs, 2500, percent);
        let (number, task, run) =
            runs.iter().find(|(_, task, _)| task.key.index == 5).expect("a complete member");
        let remaining = Some(std::time::Duration::from_millis(remaining_ms));
        let status = WorkerStatus { draining: true, remaining, ..worker(*number, 1) };
        rig.core.report(rig.now, &at_percent(&status, task, *run, 100));
        rig.advance(50);
        assert_eq!(rig.stops().len(), stops, "{remaining_ms} ms remain");
    }
}
