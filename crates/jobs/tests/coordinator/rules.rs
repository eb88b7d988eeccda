use std::time::Duration;

use skylarkpulley_jobs::{
    AdviceAnswer, EndKind, JobState, RefusalKind, Resources, RunRefusal, Schedule, Step, TaskId,
    WorkerReport,
};

use crate::rig::{Rig, ended, job, report, step, worker};

/// Guards against a start whose row is not stored. A successor would not know of the run.
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

/// Guards against acknowledging an end whose row is not stored. The worker would delete the end.
#[test]
fn ends_acked_after_row() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 1)));
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &ended(&worker(0, 1), 7, &task, run, EndKind::Done));
    assert_eq!(rig.core.orders("w0").ended_through, 0);
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Running));
    rig.place_and_commit();
    assert_eq!(rig.core.orders("w0").ended_through, 7);
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Completed));
}

/// Guards against starting only some members of a gang, and against members with different run
/// numbers.
#[test]
fn place_gang_whole() {
    let mut rig = Rig::new(2);
    rig.submit(job("full", 1, step(1, 8)));
    rig.submit(job("gang", 1, Step { gang: true, ..step(2, 8) }));
    assert_eq!(rig.starts().len(), 1, "no member of the gang starts");
    let (id, task, run) = rig.starts().remove(0);
    let number = id[1..].parse().expect("a number");
    rig.core.report(rig.now, &ended(&worker(number, 1), 1, &task, run, EndKind::Done));
    rig.place_and_commit();
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(_, task, run)| task.job == "gang" && *run == 1));
}

/// Guards against members of a gang that continue after another one has failed, and against
/// counting one failed run of a gang once per member.
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
        rig.place_and_commit();
    }
    assert_eq!(rig.core.view("gang").map(|view| view.state), Some(JobState::Running));
    assert!(
        rig.starts().iter().all(|(_, _, run)| *run == 2),
        "the second run of the gang is ordered"
    );
}

/// Guards against more failed runs than the route allows, and against a failed job that continues.
#[test]
fn end_attempts_spent() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 1)));
    for number in 1..=2 {
        let (id, task, run) = rig.starts().remove(0);
        let worker_number = id[1..].parse().expect("a number");
        rig.core.report(
            rig.now,
            &ended(&worker(worker_number, 1), number, &task, run, EndKind::Failed),
        );
        rig.place_and_commit();
    }
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Failed));
    assert!(rig.starts().is_empty());
}

/// Guards against starting the tasks of a step before the steps that it depends on are done.
#[test]
fn place_after_steps() {
    let mut rig = Rig::new(1);
    let mut two = job("a", 1, step(1, 1));
    two.steps.push(Step { after: vec![0], ..step(2, 1) });
    rig.submit(two);
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    rig.core.report(rig.now, &ended(&worker(0, 1), 1, &starts[0].1, 1, EndKind::Done));
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 2);
}

/// Guards against occurrences that start too early or never.
#[test]
fn place_when_due() {
    let mut rig = Rig::new(1);
    let mut timed = job("a", 1, step(1, 1));
    let start_ms = rig.now.wall_ms + 1000;
    timed.schedule = Some(Schedule { start_ms, interval_ms: 500, times: 2 });
    rig.submit(timed);
    rig.advance(900);
    rig.place_and_commit();
    assert!(rig.starts().is_empty());
    rig.advance(200);
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 1);
    rig.advance(500);
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 2, "occurrences may overlap");
}

/// Guards against new work for a worker whose agent loses its connection without a reset. Its
/// session then seems open until the leases lapse, and each task placed there is delayed until
/// then.
#[test]
fn place_silent_agent() {
    let mut rig = Rig::new(2);
    rig.advance_reporting(2000, &[1]);
    rig.submit(job("a", 1, step(2, 8)));
    let workers: Vec<String> = rig.starts().into_iter().map(|start| start.0).collect();
    assert_eq!(workers, vec!["w1".to_owned()], "one of two tasks waits");
    rig.advance_reporting(200, &[0, 1]);
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 2, "its agent has reported again");
}

/// Guards against a run that waits without end on a worker that neither starts nor refuses it (one
/// run of mix 14183 of novias-vc ended with such a task), and against counting the time of a store
/// outage.
#[test]
fn tick_never_starts() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 8)));
    let (id, task, run) = rig.starts().remove(0);
    rig.advance_reporting(4800, &[0, 1]);
    assert_eq!(rig.stops(), vec![]);
    rig.advance_reporting(400, &[0, 1]);
    assert_eq!(rig.stops(), vec![(task.clone(), run)]);
    let number = id[1..].parse().expect("a number");
    let mut refused = report(&worker(number, 1), &[]);
    refused.refused = vec![RunRefusal { kind: RefusalKind::Fenced, run, task }];
    rig.core.report(rig.now, &refused);
    rig.place_and_commit();
    let starts = rig.starts();
    assert!(starts.len() == 1 && starts[0].0 != id, "{starts:?}");

    let mut stored_late = job("b", 1, step(1, 8));
    stored_late.accepted_ms = rig.now.wall_ms;
    rig.core.submit(rig.now, stored_late);
    rig.core.place(rig.now);
    rig.advance_reporting(6000, &[0, 1]);
    rig.place_and_commit();
    assert!(rig.stops().iter().all(|(task, _)| task.job != "b"), "its start was not ordered yet");
}

/// Guards against runs that count as stalled because their worker did not report for a while. A
/// healthy worker would then be quarantined when it reports again.
#[test]
fn tick_silence_is_no_stall() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    for _ in 0..30 {
        rig.advance(200);
    }
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    rig.advance(200);
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against a guaranteed claim that waits for work on borrowed resources, and against
/// stopping more runs than the claim needs.
#[test]
fn reclaim_guarantee() {
    let mut rig = Rig::new(3);
    for number in 0..24 {
        let mut bulk = job(&format!("bulk{number}"), 2, step(1, 1));
        bulk.team = "south".to_owned();
        rig.submit(bulk);
    }
    // The emptiest worker is reserved for larger tasks for a while.
    rig.advance_reporting(2100, &[0, 1, 2]);
    rig.place_and_commit();
    assert_eq!(rig.starts().len(), 24, "the pool is full");
    for id in rig.core.worker_ids() {
        let runs: Vec<_> = rig.starts().into_iter().filter(|start| start.0 == id).collect();
        let number = id[1..].parse().expect("a number");
        let runs: Vec<_> = runs.into_iter().map(|(_, task, run)| (task, run)).collect();
        rig.core.report(rig.now, &report(&worker(number, 1), &runs));
    }
    rig.submit(job("claim", 0, Step { gang: true, ..step(2, 8) }));
    rig.advance(300);
    rig.place_and_commit();
    assert_eq!(rig.stops().len(), 16);
}

/// Guards against work beyond a team's guarantee that preempts guaranteed work.
#[test]
fn reclaim_beyond_guarantee() {
    let mut rig = Rig::new(2);
    rig.submit(job("claim", 0, Step { gang: true, ..step(2, 8) }));
    let mut more = job("more", 0, step(1, 8));
    more.team = "south".to_owned();
    rig.submit(more);
    rig.advance(2000);
    rig.place_and_commit();
    assert!(rig.stops().is_empty());
}

/// Guards against placing work on a worker that its agent cannot reach. One run after the other was
/// lost there (trouble-3 --seed 44 of menza-grid).
#[test]
fn place_unreached_worker() {
    let mut rig = Rig::new(1);
    let unreached =
        skylarkpulley_jobs::WorkerReport { unreached: true, ..report(&worker(0, 1), &[]) };
    rig.core.report(rig.now, &unreached);
    rig.submit(job("a", 1, step(1, 1)));
    assert!(rig.starts().is_empty());
}

/// Guards against waiting a whole lease for the runs of an incarnation although a later incarnation
/// has its address.
#[test]
fn report_later_incarnation_same_address() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    assert_eq!(rig.starts().len(), 1);
    let mut later = worker(0, 2);
    later.id = "w0-again".to_owned();
    rig.core.report(rig.now, &report(&later, &[]));
    rig.place_and_commit();
    let starts = rig.starts();
    assert_eq!((starts[0].0.as_str(), starts[0].2), ("w0-again", 2));
    rig.core.report(rig.now, &report(&worker(0, 1), &[]));
    rig.submit(job("b", 1, step(1, 8)));
    assert!(
        rig.starts().iter().all(|start| start.0 == "w0-again"),
        "the earlier incarnation is gone"
    );
}

/// Guards against starting a task elsewhere while a silent worker may still run it, before and
/// after a takeover.
#[test]
fn expire_silent_worker() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    rig.take_over();
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    for _ in 0..20 {
        rig.advance(1000);
        rig.core.report(rig.now, &report(&worker(5, 1), &[]));
        rig.place_and_commit();
        assert!(rig.starts().iter().all(|start| start.2 == 1), "its lease may not have lapsed");
    }
    rig.advance(2000);
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    rig.place_and_commit();
    assert!(rig.starts().iter().any(|start| start.0 == "w5" && start.2 == 2));
}

/// Guards against waiting for leases that the predecessor cannot have extended.
#[test]
fn expire_after_predecessor() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 8)));
    rig.take_over();
    rig.core.end_predecessor(rig.now);
    rig.advance(9500);
    rig.core.report(rig.now, &report(&worker(5, 1), &[]));
    rig.place_and_commit();
    assert!(rig.starts().iter().any(|start| start.0 == "w5" && start.2 == 2));
}

/// Guards against a task that is lost because its start was refused, and against reusing its run
/// number.
#[test]
fn refusal_requeues() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(1, 1)));
    let (_, task, run) = rig.starts().remove(0);
    let mut refused = report(&worker(0, 1), &[]);
    refused.refused = vec![RunRefusal { kind: RefusalKind::Room, run, task }];
    rig.core.report(rig.now, &refused);
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "the unknown use of resources has not ended");
    rig.advance_reporting(1000, &[0]);
    rig.place_and_commit();
    assert_eq!(rig.starts()[0].2, 2);
}

/// Guards against runs of a cancelled job that start or continue.
#[test]
fn cancel_stops() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(2, 1)));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &runs));
    assert!(rig.core.cancel(rig.now, "a").is_some());
    rig.place_and_commit();
    assert_eq!(rig.stops().len(), 2);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.core.view("a").map(|view| view.state), Some(JobState::Cancelled));
}

/// Guards against starting an advised step without a permit, on a worker that the policy has
/// rejected, or with an expired permit.
#[test]
fn place_advised_step() {
    let mut rig = Rig::new(2);
    let mut advised = job("a", 1, step(1, 8));
    advised.advised = true;
    rig.submit(advised);
    assert!(rig.starts().is_empty());
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    assert_eq!(call.workers.len(), 2);
    let permits = [("w1".to_owned(), "permit".to_owned())].into();
    let answer = AdviceAnswer { permits, valid: Duration::from_secs(3) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.place_and_commit();
    assert_eq!(rig.starts()[0].0, "w1");
    assert_eq!(rig.core.orders("w1").start[0].permit, "permit");
    let (_, task, run) = rig.starts().remove(0);
    rig.core.report(rig.now, &ended(&worker(1, 1), 1, &task, run, EndKind::Failed));
    rig.advance(4000);
    for number in [0, 1] {
        rig.core.report(rig.now, &report(&worker(number, 1), &[]));
    }
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "the permit has expired");
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    assert_eq!(call.workers, vec!["w1".to_owned()], "a rejection does not change");
}

/// Guards against requests without a delay to a placement policy that does not answer.
#[test]
fn advice_unanswered() {
    let mut rig = Rig::new(1);
    let mut advised = job("a", 1, step(1, 8));
    advised.advised = true;
    rig.submit(advised);
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    rig.core.handle_advice(rig.now, &call, None);
    rig.advance(100);
    assert_eq!(rig.core.next_advice_call(rig.now), None);
    rig.advance(600);
    assert!(rig.core.next_advice_call(rig.now).is_some());
    assert_eq!(rig.core.next_advice_call(rig.now), None, "one question is open at a time");
}

/// Guards against filling tasks on the worker of a serving task while another worker is free.
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

/// Guards against filling tasks that never run because every worker runs a serving task. They share
/// a worker with the serving tasks, and the agent is told of both so that it can slow them down.
#[test]
fn place_fill_all_serving() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 1, Step { lasting: true, response_ms: 50, ..step(1, 1) }));
    assert_eq!(rig.core.orders("w0").sharing, vec![], "no filling task runs");
    rig.submit(job("fill", 2, Step { fills: true, ..step(2, 1) }));
    let sharing = rig.core.orders("w0").sharing;
    let responses: Vec<_> = sharing.iter().map(|run| run.response).collect();
    assert_eq!(responses, vec![None, None, Some(Duration::from_millis(50))]);
    rig.take_over();
    rig.core.report(rig.now, &report(&worker(0, 1), &[]));
    assert_eq!(rig.core.orders("w0").sharing, sharing, "the successor restores them from the rows");
}

/// Guards against placing filling tasks on a worker with few free cores while another has more.
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

/// Guards against moving a filling task as stalled while the other runs on its worker use all
/// cores.
#[test]
fn tick_fill_stands_still() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 1, Step { lasting: true, response_ms: 50, ..step(1, 1) }));
    rig.submit(job("fill", 2, Step { fills: true, ..step(1, 1) }));
    let runs: Vec<_> = rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    for _ in 0..10 {
        rig.core.report(rig.now, &report(&worker(0, 1), &runs));
        rig.advance(1000);
    }
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against stopping lasting tasks for urgent work outside a guarantee.
#[test]
fn reclaim_spares_lasting() {
    let mut rig = Rig::new(1);
    rig.submit(job("serve", 2, Step { lasting: true, ..step(1, 8) }));
    let mut urgent = job("urgent", 0, step(1, 8));
    urgent.team = "south".to_owned();
    rig.submit(urgent);
    rig.advance(2000);
    rig.place_and_commit();
    assert!(rig.stops().is_empty());
}

/// Guards against a guaranteed claim that never starts because lasting tasks occupy its
/// accelerators, and against more absences at the same time than such a step allows.
#[test]
fn reclaim_lasting_for_guarantee() {
    for (may_miss, all_working, stops) in [(0, true, 2), (1, true, 1), (2, true, 2), (1, false, 0)]
    {
        let mut rig = Rig::new(2);
        rig.submit(job("serve", 2, Step { lasting: true, may_miss, ..step(4, 4) }));
        let starts = rig.starts();
        assert_eq!(starts.len(), 4);
        for number in 0..2 {
            let own = starts.iter().filter(|start| start.0 == format!("w{number}"));
            let runs: Vec<_> = own.map(|(_, task, run)| (task.clone(), *run)).collect();
            let mut listed = report(&worker(number, 1), &runs);
            for (index, run) in listed.running.iter_mut().enumerate() {
                run.percent = if all_working || number + index as u32 > 0 { 100 } else { 0 };
            }
            rig.core.report(rig.now, &listed);
        }
        rig.submit(job("claim", 0, step(2, 4)));
        rig.advance(100);
        rig.advance(100);
        let case = format!("{may_miss} may be absent, all working: {all_working}");
        // Each of the two tasks of the claim stops one lasting task if the step allows it.
        assert_eq!(rig.stops().len(), stops, "{case}");
    }
}

/// Guards against runs that are lost with a draining worker although they could have moved in time.
#[test]
fn tick_leaves_draining() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 8)));
    let (id, task, run) = rig.starts().remove(0);
    let number = id[1..].parse().expect("a number");
    rig.core.report(rig.now, &report(&worker(number, 1), &[(task.clone(), run)]));
    rig.advance(1000);
    let mut leaving = worker(number, 1);
    leaving.draining = true;
    leaving.remaining = Some(Duration::from_secs(2));
    rig.core.report(rig.now, &report(&leaving, &[(task, run)]));
    rig.advance(100);
    assert_eq!(rig.stops().len(), 1, "10% in 1 s means 9 s more");
}

/// Guards against rows that the store refuses. The state of the largest job must fit into 64 KiB,
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

/// Guards against stopping runs, and blaming their worker, because their ends wait behind those that
/// the worker lists (review/4).
#[test]
fn report_truncated_ends() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, step(2, 0)));
    let runs: Vec<(TaskId, u32)> =
        rig.starts().into_iter().map(|(_, task, run)| (task, run)).collect();
    rig.core.report(rig.now, &report(&worker(0, 1), &runs[..1]));
    let play = |rig: &mut Rig, truncated: bool| {
        for _ in 0..100 {
            let listed = WorkerReport { ends_truncated: truncated, ..report(&worker(0, 1), &[]) };
            rig.core.report(rig.now, &listed);
            rig.advance(100);
        }
    };
    play(&mut rig, true);
    assert!(rig.stops().is_empty(), "neither the listed run nor the one that was not listed yet");
    play(&mut rig, false);
    assert_eq!(rig.stops().len(), 2);
}

/// Guards against a late copy of a start that the next incarnation of its worker carries out beside
/// the next run, where the agent has started again as well and knows of no copy. The run counts until
/// it is fenced there, also over a takeover.
#[test]
fn restart_fences_runs() {
    let mut rig = Rig::new(2);
    rig.submit(job("a", 1, step(1, 8)));
    let (id, task, run) = rig.starts().remove(0);
    let number = u32::from(id == "w1");
    rig.core.report(rig.now, &report(&worker(number, 2), &[]));
    rig.place_and_commit();
    assert!(rig.starts().is_empty(), "a copy of run 1 may be on its way");
    assert_eq!(rig.stops(), vec![(task.clone(), run)]);
    rig.take_over();
    for other in 0..2 {
        rig.core.report(rig.now, &report(&worker(other, 1 + u64::from(other == number)), &[]));
    }
    rig.place_and_commit();
    assert!(rig.starts().is_empty());
    rig.restart_worker(&worker(number, 2));
    rig.place_and_commit();
    assert_eq!(rig.starts()[0].2, 2);
}

/// Guards against a wait for fences where no copy of a start can be on its way any more.
#[test]
fn restart_long_run_ends_at_once() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, Step { lasting: true, ..step(1, 8) }));
    let (_, task, run) = rig.starts().remove(0);
    for _ in 0..400 {
        rig.core.report(rig.now, &report(&worker(0, 1), &[(task.clone(), run)]));
        rig.advance(100);
    }
    rig.core.report(rig.now, &report(&worker(0, 2), &[]));
    rig.place_and_commit();
    assert_eq!(rig.starts()[0].2, 2, "it starts again at once");
}
