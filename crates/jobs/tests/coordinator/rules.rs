use std::time::Duration;

use skylarkpulley_jobs::{
    AdviceAnswer, EndKind, JobState, RefusalKind, Resources, RunRefusal, Schedule, Step,
};

use crate::rig::{Rig, ended, job, report, step, worker};

/// Guards against a start whose row is not stored: a successor would not know of the run.
#[test]
fn orders_after_row() {
    let mut rig = Rig::new(1);
    let mut submission = job("a", 1, step(1, 1));
    submission.accepted_ms = rig.now.wall_ms;
    rig.core.submit(rig.now, submission);
    rig.core.place(rig.now);
    assert!(rig.starts().is_empty());
    rig.commit();
    assert_eq!(rig.starts().len(), 1);
}

/// Guards against acknowledging an end whose row is not stored: the worker would forget it.
#[test]
fn ends_acked_after_row() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 1)));
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &ended(&worker(0, 1), 7, &task, run, EndKind::Done));
    assert_eq!(rig.core.orders("w0").ended_through, 0);
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Running));
    rig.settle();
    assert_eq!(rig.core.orders("w0").ended_through, 7);
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Completed));
}

/// Guards against a gang that starts in part, or whose members have different run numbers.
#[test]
fn place_gang_whole() {
    let mut rig = Rig::new(2);
    rig.submit(job("full", 1, step(1, 8)));
    rig.submit(job("gang", 1, Step { gang: true, ..step(2, 8) }));
    assert_eq!(rig.starts().len(), 1, "the gang waits whole");
    let (id, task, run) = rig.starts().remove(0);
    let number = id[1..].parse().expect("a number");
    rig.core.report(rig.now, &ended(&worker(number, 1), 1, &task, run, EndKind::Done));
    rig.settle();
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(_, task, run)| task.job == "gang" && *run == 1));
}

/// Guards against the other members of a gang running on after one has failed, and against counting
/// one failed run of a gang once for each member.
#[test]
fn end_gang_member_failed() {
    let mut rig = Rig::new(2);
    rig.submit(job("gang", 1, Step { gang: true, ..step(2, 8) }));
    let starts = rig.starts();
    for (id, task, run) in &starts {
        let number = id[1..].parse().expect("a number");
        rig.core.report(rig.now, &report(&worker(number, 1), &[(task.clone(), *run)]));
    }
    for (id, task, run) in &starts {
        let number = id[1..].parse().expect("a number");
        rig.core.report(rig.now, &ended(&worker(number, 1), 1, task, *run, EndKind::Failed));
        rig.settle();
    }
    assert_eq!(rig.core.view("gang").map(|view| view.state), Some(JobState::Running));
    assert!(rig.starts().iter().all(|(_, _, run)| *run == 2), "a second attempt");
}

/// Guards against exceeding the attempts of a route, and against a failed job that runs on.
#[test]
fn end_attempts_spent() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 1)));
    for number in 1..=2 {
        let (id, task, run) = rig.starts().remove(0);
        let at = id[1..].parse().expect("a number");
        rig.core.report(rig.now, &ended(&worker(at, 1), number, &task, run, EndKind::Failed));
        rig.settle();
    }
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Failed));
    assert!(rig.starts().is_empty());
}

/// Guards against starting the tasks of a step before the steps that it waits for are done.
#[test]
fn place_after_steps() {
    let mut rig = Rig::new(1);
    let mut two = job("a", 1, step(1, 1));
    two.steps.push(Step { after: vec![0], ..step(2, 1) });
    rig.submit(two);
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    rig.core.report(rig.now, &ended(&worker(0, 1), 1, &starts[0].1, 1, EndKind::Done));
    rig.settle();
    assert_eq!(rig.starts().len(), 2);
}

/// Guards against occurrences that start early or not at all.
#[test]
fn place_when_due() {
    let mut rig = Rig::new(1);
    let mut timed = job("a", 1, step(1, 1));
    let start_ms = rig.now.wall_ms + 1000;
    timed.schedule = Some(Schedule { start_ms, interval_ms: 500, times: 2 });
    rig.submit(timed);
    rig.pass(900);
    rig.settle();
    assert!(rig.starts().is_empty());
    rig.pass(200);
    rig.settle();
    assert_eq!(rig.starts().len(), 1);
    rig.pass(500);
    rig.settle();
    assert_eq!(rig.starts().len(), 2, "occurrences may overlap");
}

/// Guards against new work for a worker whose agent is cut off without a reset: its session looks
/// open for as long as the leases last, and each task placed there is lost for that time.
#[test]
fn place_silent_agent() {
    let mut rig = Rig::new(2);
    rig.pass_reporting(2000, &[1]);
    rig.submit(job("a", 1, step(2, 8)));
    let workers: Vec<String> = rig.starts().into_iter().map(|start| start.0).collect();
    assert_eq!(workers, vec!["w1".to_owned()], "one of two tasks waits");
    rig.pass_reporting(200, &[0, 1]);
    rig.settle();
    assert_eq!(rig.starts().len(), 2, "it has reported again");
}

/// Guards against a run that waits for ever on a worker that neither starts nor refuses it (one play
/// of mix 14183 of novias-vc ended with such a task), and against counting the time of an outage of
/// the store.
#[test]
fn tick_never_starts() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 8)));
    let (id, task, run) = rig.starts().remove(0);
    rig.pass_reporting(4800, &[0, 1]);
    assert_eq!(rig.stops(), vec![]);
    rig.pass_reporting(400, &[0, 1]);
    assert_eq!(rig.stops(), vec![(task.clone(), run)]);
    let number = id[1..].parse().expect("a number");
    let mut refused = report(&worker(number, 1), &[]);
    refused.refused = vec![RunRefusal { kind: RefusalKind::Fenced, run, task }];
    rig.core.report(rig.now, &refused);
    rig.settle();
    let starts = rig.starts();
    assert!(starts.len() == 1 && starts[0].0 != id, "{starts:?}");

    let mut stored_late = job("b", 1, step(1, 8));
    stored_late.accepted_ms = rig.now.wall_ms;
    rig.core.submit(rig.now, stored_late);
    rig.core.place(rig.now);
    rig.pass_reporting(6000, &[0, 1]);
    rig.settle();
    assert!(rig.stops().iter().all(|(task, _)| task.job != "b"), "it was not ordered yet");
}

/// Guards against runs that count as standing still for the time in which nothing was heard of their
/// worker, so that a healthy worker is given up when it comes back.
#[test]
fn tick_silence_is_no_stall() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    for _ in 0..30 {
        rig.pass(200);
    }
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    rig.pass(200);
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against a guarantee that waits behind borrowed work, and against stopping more than its
/// shape needs.
#[test]
fn reclaim_guarantee() {
    let mut rig = Rig::new(3);
    for number in 0..24 {
        let mut bulk = job(&format!("bulk{number}"), 2, step(1, 1));
        bulk.team = "south".to_owned();
        rig.submit(bulk);
    }
    // Small tasks leave the emptiest worker to larger ones for a while.
    rig.pass_reporting(2100, &[0, 1, 2]);
    rig.settle();
    assert_eq!(rig.starts().len(), 24, "the pool is full");
    for id in rig.core.worker_ids() {
        let runs: Vec<_> = rig.starts().into_iter().filter(|start| start.0 == id).collect();
        let number = id[1..].parse().expect("a number");
        let runs: Vec<_> = runs.into_iter().map(|(_, task, run)| (task, run)).collect();
        rig.core.report(rig.now, &report(&worker(number, 1), &runs));
    }
    rig.submit(job("claim", 0, Step { gang: true, ..step(2, 8) }));
    rig.pass(300);
    rig.settle();
    assert_eq!(rig.stops().len(), 16);
}

/// Guards against work beyond a team's guarantee that stops guaranteed work.
#[test]
fn reclaim_beyond_guarantee() {
    let mut rig = Rig::new(2);
    rig.submit(job("claim", 0, Step { gang: true, ..step(2, 8) }));
    let mut more = job("more", 0, step(1, 8));
    more.team = "south".to_owned();
    rig.submit(more);
    rig.pass(2000);
    rig.settle();
    assert!(rig.stops().is_empty());
}

/// Guards against work that is given to a worker which its agent does not reach: each run was lost
/// in turn (trouble-3 --seed 44 of menza-grid).
#[test]
fn place_unreached_worker() {
    let mut rig = Rig::new(1);
    let unreached =
        skylarkpulley_jobs::WorkerReport { unreached: true, ..report(&worker(0, 1), &[]) };
    rig.core.report(rig.now, &unreached);
    rig.submit(job("a", 1, step(1, 1)));
    assert!(rig.starts().is_empty());
}

/// Guards against waiting a whole lease for runs of an incarnation whose address another incarnation has.
#[test]
fn report_later_incarnation_same_address() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    assert_eq!(rig.starts().len(), 1);
    let mut later = worker(0, 2);
    later.id = "w0-again".to_owned();
    rig.core.report(rig.now, &report(&later, &[]));
    rig.settle();
    let starts = rig.starts();
    assert_eq!((starts[0].0.as_str(), starts[0].2), ("w0-again", 2));
    rig.core.report(rig.now, &report(&worker(0, 1), &[]));
    rig.submit(job("b", 1, step(1, 8)));
    assert!(
        rig.starts().iter().all(|start| start.0 == "w0-again"),
        "the earlier incarnation is gone"
    );
}

/// Guards against a task that starts elsewhere while a silent worker may still run it, before and
/// after a takeover.
#[test]
fn expire_silent_worker() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    rig.take_over();
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    for _ in 0..20 {
        rig.pass(1000);
        rig.core.report(rig.now, &report(&worker(5, 1), &[]));
        rig.settle();
        assert!(rig.starts().iter().all(|start| start.2 == 1), "its lease may last");
    }
    rig.pass(2000);
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    rig.settle();
    assert!(rig.starts().iter().any(|start| start.0 == "w5" && start.2 == 2));
}

/// Guards against waiting for leases that a predecessor cannot have extended.
#[test]
fn expire_after_predecessor() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    rig.take_over();
    rig.core.end_predecessor(rig.now);
    rig.pass(9500);
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    rig.settle();
    assert!(rig.starts().iter().any(|start| start.0 == "w5" && start.2 == 2));
}

/// Guards against losing a task whose start was refused, and against reusing its run number.
#[test]
fn refusal_requeues() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 1)));
    let (_, task, run) = rig.starts().remove(0);
    let mut refused = report(&worker(0, 1), &[]);
    refused.refused = vec![RunRefusal { kind: RefusalKind::Room, run, task }];
    rig.core.report(rig.now, &refused);
    rig.settle();
    assert!(rig.starts().is_empty(), "what takes the room is still there");
    rig.pass_reporting(1000, &[0]);
    rig.settle();
    assert_eq!(rig.starts()[0].2, 2);
}

/// Guards against runs of a cancelled job that start or go on.
#[test]
fn cancel_stops() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(2, 1)));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    assert!(rig.core.cancel(rig.now, "a").is_some());
    rig.settle();
    assert_eq!(rig.stops().len(), 2);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Cancelled));
}

/// Guards against starting an advised step without a permit, on a worker that the policy has turned
/// down, or with a permit that has expired.
#[test]
fn place_advised_step() {
    let mut rig = Rig::new(2);
    let mut advised = job("a", 1, step(1, 8));
    advised.advised = true;
    rig.submit(advised);
    assert!(rig.starts().is_empty());
    let call = rig.core.take_advice_calls().remove(0);
    assert_eq!(call.workers.len(), 2);
    let permits = [("w1".to_owned(), "permit".to_owned())].into();
    let answer = AdviceAnswer { permits, valid: Duration::from_secs(3) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.settle();
    assert_eq!(rig.starts()[0].0, "w1");
    assert_eq!(rig.core.orders("w1").start[0].permit, "permit");
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &ended(&worker(1, 1), 1, &task, run, EndKind::Failed));
    rig.pass(4000);
    for number in [0, 1] {
        rig.core.report(rig.now, &report(&worker(number, 1), &[]));
    }
    rig.settle();
    assert!(rig.starts().is_empty(), "the permit has expired");
    let call = rig.core.take_advice_calls().remove(0);
    assert_eq!(call.workers, vec!["w1".to_owned()], "a verdict does not change");
}

/// Guards against a placement policy that is asked without a pause while it does not answer.
#[test]
fn advice_unanswered() {
    let mut rig = Rig::new(1);
    let mut advised = job("a", 1, step(1, 8));
    advised.advised = true;
    rig.submit(advised);
    let call = rig.core.take_advice_calls().remove(0);
    rig.core.handle_advice(rig.now, &call, None);
    rig.pass(100);
    assert!(rig.core.take_advice_calls().is_empty());
    rig.pass(600);
    assert_eq!(rig.core.take_advice_calls().len(), 1);
}

/// Guards against tasks that use leftover room beside tasks that must respond in time.
#[test]
fn place_fill_beside_serving() {
    let mut rig = Rig::new(2);
    rig.submit(job("serve", 1, Step { lasting: true, response_ms: 50, ..step(1, 1) }));
    let serving = rig.starts()[0].0.clone();
    rig.submit(job("fill", 2, Step { fills: true, ..step(2, 1) }));
    let fills: Vec<_> = rig.starts().into_iter().filter(|start| start.1.job == "fill").collect();
    assert_eq!(fills.len(), 2);
    assert!(fills.iter().all(|start| start.0 != serving));
}

/// Guards against filling tasks that never run because every worker serves: they run beside the
/// serving tasks, and the agent learns of both, so that it can slow them down.
#[test]
fn place_fill_all_serving() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 1, Step { lasting: true, response_ms: 50, ..step(1, 1) }));
    assert_eq!(rig.core.orders("w0").sharing, vec![], "nothing fills");
    rig.submit(job("fill", 2, Step { fills: true, ..step(2, 1) }));
    let sharing = rig.core.orders("w0").sharing;
    let responses: Vec<_> = sharing.iter().map(|run| run.response).collect();
    assert_eq!(responses, vec![None, None, Some(Duration::from_millis(50))]);
    rig.take_over();
    rig.core.report(rig.now, &report(&worker(0, 1), &[]));
    assert_eq!(rig.core.orders("w0").sharing, sharing, "the successor knows them from the rows");
}

/// Guards against filling tasks on a worker whose cores are all taken, where others have cores left.
#[test]
fn place_fill_most_cores() {
    let mut rig = Rig::new(2);
    rig.submit(job(
        "busy",
        1,
        Step { resources: Resources { cores: 60_000, ..step(1, 6).resources }, ..step(1, 6) },
    ));
    let busy = rig.starts()[0].0.clone();
    rig.submit(job("fill", 2, Step { fills: true, ..step(1, 1) }));
    let fill = rig.starts().into_iter().find(|start| start.1.job == "fill").expect("a start");
    assert_ne!(fill.0, busy);
}

/// Guards against a filling task that is moved as hung while the others on its worker need all cores.
#[test]
fn tick_fill_stands_still() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 1, Step { lasting: true, response_ms: 50, ..step(1, 1) }));
    rig.submit(job("fill", 2, Step { fills: true, ..step(1, 1) }));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    for _ in 0..10 {
        rig.core.report(rig.now, &report(&worker(0, 1), &runs));
        rig.pass(1000);
    }
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against stopping tasks that last for urgent work that no guarantee covers.
#[test]
fn reclaim_spares_lasting() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 2, Step { lasting: true, ..step(1, 8) }));
    let mut urgent = job("urgent", 0, step(1, 8));
    urgent.team = "south".to_owned();
    rig.submit(urgent);
    rig.pass(2000);
    rig.settle();
    assert!(rig.stops().is_empty());
}

/// Guards against a guaranteed claim that never starts because tasks that last hold its accelerators,
/// and against more absences at once than such a step allows.
#[test]
fn reclaim_lasting_for_guarantee() {
    for (may_miss, at_work, stops) in [(0, true, 2), (1, true, 1), (2, true, 2), (1, false, 0)] {
        let mut rig = Rig::new(2);
        rig.submit(job("serve", 2, Step { lasting: true, may_miss, ..step(4, 4) }));
        let starts = rig.starts();
        assert_eq!(starts.len(), 4);
        for number in 0..2 {
            let own = starts.iter().filter(|start| start.0 == format!("w{number}"));
            let runs: Vec<_> = own.map(|(_, task, run)| (task.clone(), *run)).collect();
            let mut listed = report(&worker(number, 1), &runs);
            for (index, run) in listed.running.iter_mut().enumerate() {
                run.percent = if at_work || number + index as u32 > 0 { 100 } else { 0 };
            }
            rig.core.report(rig.now, &listed);
        }
        rig.submit(job("claim", 0, step(2, 4)));
        rig.pass(100);
        rig.pass(100);
        let case = format!("{may_miss} may be absent, all at work {at_work}");
        // Both tasks of the claim stop one lasting task each where the step allows it.
        assert_eq!(rig.stops().len(), stops, "{case}");
    }
}

/// Guards against runs that are lost with a worker that has announced its end, where they could have
/// moved.
#[test]
fn tick_leaves_draining() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 8)));
    let (id, task, run) = rig.starts().remove(0);
    let number = id[1..].parse().expect("a number");
    rig.core.report(rig.now, &report(&worker(number, 1), &[(task.clone(), run)]));
    rig.pass(1000);
    let mut leaving = worker(number, 1);
    leaving.draining = true;
    leaving.remaining = Some(Duration::from_secs(2));
    rig.core.report(rig.now, &report(&leaving, &[(task, run)]));
    rig.pass(100);
    assert_eq!(rig.stops().len(), 1, "10% in 1 s leaves 9 s");
}

/// Guards against rows that the store refuses: the state of the largest job must fit into 64 KiB,
/// and a write into a transaction.
#[test]
fn begin_commit_bounded() {
    let mut rig = Rig::new(125);
    let mut large = job("large", 1, Step { checkpoints: true, ..step(1000, 1) });
    large.accepted_ms = rig.now.wall_ms;
    rig.core.submit(rig.now, large);
    rig.core.place(rig.now);
    let rows = rig.core.begin_commit().expect("a write");
    let longest = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).max();
    assert!(longest.is_some_and(|length| length < 45_000), "{longest:?}");
    rig.core.end_commit();
    for number in 0..60 {
        let mut other = job(&format!("j{number}"), 1, step(1, 0));
        other.accepted_ms = rig.now.wall_ms;
        other.payload = "x".repeat(40_000);
        rig.core.submit(rig.now, other);
    }
    let rows = rig.core.begin_commit().expect("a write");
    let bytes: usize = rows.iter().filter_map(|row| row.value.as_ref()).map(Vec::len).sum();
    assert!(bytes < 600_000, "{bytes}");
}
