//! Work that could start, and the rules that make it wait for something that does not come.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkpulley_jobs::{AdviceAnswer, Job, Resources, Step, WorkerReport, WorkerStatus};

use crate::rig::{Rig, job, report, step, worker};

/// Longest wait of work that has room twice over, the sum of all rules that hold it back.
const MAX_WAIT_MS: u64 = 15_000;

/// Number of workers that are reported in a test; racks have three.
const WORKERS: u32 = 12;

fn rack_gang() -> Step {
    Step { gang: true, same_rack: true, ..step(3, 8) }
}

/// Advances the time until starts are ordered, and returns their number. All workers report without
/// runs; `closed` ones do not answer their agents.
fn await_starts(rig: &mut Rig, closed: &[u32], millis: u64) -> usize {
    for _ in 0..millis / 100 {
        for number in 0..WORKERS {
            let unreached = closed.contains(&number);
            let report = report(&worker(number, 1), &[]);
            rig.core.report(rig.now, &WorkerReport { listed: !unreached, unreached, ..report });
        }
        rig.advance(100);
        rig.place_and_commit();
        if !rig.starts().is_empty() {
            break;
        }
    }
    rig.starts().len()
}

/// Answers the open question to the placement policy, which permits the workers that `permits`
/// names.
fn answer_policy(rig: &mut Rig, permits: impl Fn(u32) -> bool) {
    let Some(call) = rig.core.next_advice_call(rig.now) else { return };
    let number = |id: &str| id[1..].parse().expect("a number");
    let permitted = call.workers.iter().filter(|id| permits(number(id)));
    let permits: BTreeMap<String, String> =
        permitted.map(|id| (id.clone(), "permit".to_owned())).collect();
    let answer = AdviceAnswer { permits, valid: Duration::from_secs(600) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.place_and_commit();
}

/// Guards against a gang that waits for ever for a whole rack, because workers that are gone for
/// good count as able to run it.
#[test]
fn rack_workers_gone() {
    let mut rig = Rig::new(WORKERS);
    let gone = [0, 3, 6, 9];
    await_starts(&mut rig, &gone, 1000);
    rig.submit(job("gang", 1, rack_gang()));
    assert_eq!(await_starts(&mut rig, &gone, MAX_WAIT_MS), 3);
}

/// Guards against a gang that waits for as long as small work comes and goes on each rack, while the
/// resources of the pool are free twice over.
#[test]
fn rack_workers_in_use() {
    let mut rig = Rig::new(WORKERS);
    let racks = (0..4).map(|rack| Step { near_rack: Some(format!("r{rack}")), ..step(1, 1) });
    rig.submit(Job { steps: racks.collect(), ..job("small", 1, step(1, 1)) });
    let small = rig.starts();
    assert_eq!(small.len(), 4, "one on each rack");
    let gang = Step { estimate_ms: 60_000, ..rack_gang() };
    rig.submit(job("gang", 1, gang));
    for _ in 0..70 {
        for number in 0..WORKERS {
            let status = worker(number, 1);
            let runs = small.iter().filter(|start| start.0 == status.id);
            let runs: Vec<_> = runs.map(|start| (start.1.clone(), start.2)).collect();
            let mut report = report(&status, &runs);
            report.running.iter_mut().for_each(|run| run.percent = 50);
            rig.core.report(rig.now, &report);
        }
        rig.advance(100);
        rig.place_and_commit();
    }
    assert_eq!(rig.starts().len(), 3);
}

/// Guards against a gang that waits for ever for a rack of which the placement policy permits only
/// a part.
#[test]
fn rack_workers_rejected() {
    let mut rig = Rig::new(WORKERS);
    rig.submit(Job { advised: true, ..job("gang", 1, rack_gang()) });
    for _ in 0..MAX_WAIT_MS / 1000 {
        answer_policy(&mut rig, |number| number % 3 > 0);
        if await_starts(&mut rig, &[], 1000) > 0 {
            break;
        }
    }
    assert_eq!(rig.starts().len(), 3);
}

/// Guards against a step that asks for no further permits while lasting work holds all workers that
/// it has permits for.
#[test]
fn permitted_workers_held() {
    // More workers than one question names.
    let mut rig = Rig::new(40);
    rig.submit(Job { advised: true, ..job("advised", 1, step(1, 8)) });
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    rig.submit(job("lasting", 1, Step { lasting: true, ..step(1, 8) }));
    let held = rig.starts()[0].0.clone();
    assert!(call.workers.contains(&held));
    let permits = [(held, "permit".to_owned())].into();
    let answer = AdviceAnswer { permits, valid: Duration::from_secs(600) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.place_and_commit();
    let further = rig.core.next_advice_call(rig.now).expect("a question about the other workers");
    assert!(further.workers.iter().all(|id| !call.workers.contains(id)));
}

/// Guards against a wait for a rack near the data that never ends, because an entry whose clock is
/// ahead accepted the job.
#[test]
fn near_rack_clock_ahead() {
    let mut rig = Rig::new(WORKERS);
    let gone = [0, 1, 2];
    await_starts(&mut rig, &gone, 1000);
    let near = Step { near_rack: Some("r0".to_owned()), ..step(1, 1) };
    let ahead = Job { accepted_ms: rig.now.wall_ms + 60_000, ..job("near", 1, near) };
    rig.core.submit(rig.now, ahead);
    rig.place_and_commit();
    assert_eq!(await_starts(&mut rig, &gone, MAX_WAIT_MS), 1);
}

/// Guards against small tasks that wait beside idle workers, because only workers that cannot run
/// them are left after the reservation for larger tasks.
#[test]
fn small_tasks_workers_shrunk() {
    let mut rig = Rig::new(WORKERS);
    let shrunk = Resources { accelerators: 0, ..worker(0, 1).resources };
    for number in 3..WORKERS {
        let status = WorkerStatus { resources: shrunk, ..worker(number, 1) };
        rig.core.report(rig.now, &report(&status, &[]));
    }
    let small = Step { estimate_ms: 20_000, ..step(2, 1) };
    rig.submit(Job { slack: 20.0, ..job("small", 2, small) });
    assert_eq!(rig.starts().len(), 2);
}

/// Guards against small tasks that wait beside an idle worker, because lasting tasks hold the others
/// that the reservation for larger tasks leaves.
#[test]
fn small_tasks_workers_held() {
    let mut rig = Rig::new(3);
    rig.submit(job("lasting", 1, Step { lasting: true, ..step(2, 8) }));
    let small = Step { estimate_ms: 20_000, ..step(2, 1) };
    rig.submit(Job { slack: 20.0, ..job("small", 2, small) });
    let starts = rig.starts();
    assert_eq!(starts.iter().filter(|start| start.1.job == "small").count(), 2, "{starts:?}");
}

/// Guards against a gang that waits for a whole rack without asking about further workers, because
/// it has permits for as many workers as it has tasks, but not for twice as many.
#[test]
fn rack_few_permitted() {
    // More workers than one question names; on each rack one is held for a minute.
    let mut rig = Rig::new(48);
    for rack in 0..16 {
        let near_rack = Some(format!("r{rack}"));
        let held = Step { estimate_ms: 60_000, near_rack, ..step(1, 4) };
        rig.submit(job(&format!("held-{rack}"), 0, held));
    }
    let held = rig.starts();
    assert_eq!(held.len(), 16);
    rig.submit(Job { advised: true, ..job("gang", 1, rack_gang()) });
    let permitted = [1, 4, 7, 10, 46, 47];
    for _ in 0..MAX_WAIT_MS / 100 {
        for number in 0..48 {
            let status = worker(number, 1);
            let runs = held.iter().filter(|(id, ..)| *id == status.id);
            let runs: Vec<_> = runs.map(|(_, task, run)| (task.clone(), *run)).collect();
            rig.core.report(rig.now, &report(&status, &runs));
        }
        rig.advance(100);
        answer_policy(&mut rig, |number| permitted.contains(&number));
        rig.place_and_commit();
        if !rig.starts().is_empty() {
            break;
        }
    }
    assert_eq!(rig.starts().len(), 3);
}
